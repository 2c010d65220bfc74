package forwarder

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

var errNoContinuation = errors.New("the endpoint's answer doesn't continue the stream after its last event; correct the endpoint")

// completeEventsLen returns the length of the complete events at the start of the buffer.
func completeEventsLen(buffer []byte) int {
	if i := bytes.LastIndex(buffer, eventEnd); i >= 0 {
		return i + len(eventEnd)
	}
	return 0
}

// lastEventID returns the ID of the last of the complete events. It is empty if that event has none, so that the stream
// can't be continued after it.
func lastEventID(events []byte) string {
	last := bytes.TrimSuffix(events, eventEnd)
	if i := bytes.LastIndex(last, eventEnd); i >= 0 {
		last = last[i+len(eventEnd):]
	}
	return eventID(last)
}

// eventID returns the ID of an event, or nothing if it has none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, idField); ok {
			return string(bytes.TrimSpace(id))
		}
	}
	return ""
}

// continues reports whether the events of another endpoint go on after the last event that the caller has. The text of an
// error does not, nor does a stream that begins anew.
func continues(events []byte, last string) bool {
	first, _, _ := bytes.Cut(events, eventEnd)
	for line := range bytes.SplitSeq(first, []byte("\n")) {
		if !isField(line) {
			return false
		}
	}
	id := eventID(first)
	if id == "" || last == "" {
		return false
	}
	next, err := strconv.ParseUint(id, 10, 64)
	previous, errPrevious := strconv.ParseUint(last, 10, 64)
	if err != nil || errPrevious != nil {
		return id != last
	}
	return next > previous
}

// isField reports whether a line of an event is a comment or a field, whose name has lowercase letters and dashes only.
func isField(line []byte) bool {
	name, _, hasColon := bytes.Cut(line, []byte(":"))
	for _, c := range name {
		if c != '-' && (c < 'a' || c > 'z') {
			return false
		}
	}
	return hasColon
}
