package replayer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// requestEndedMessage is the message of the log line that an entry writes for each request.
const requestEndedMessage = "entry: request ended"

// logLine holds the fields of an entry's log line that go into a trace.
type logLine struct {
	Message      string `json:"message"`
	ArrivedMs    int64
	Kind         string
	Organisation string
	Route        string
	Repeatable   bool
	Stream       bool
	PromptTokens int
	MaxTokens    int
	Outcome      string
}

// Record converts JSON logs of entries at level debug to a trace. Organisations that are missing from the fleet are
// added with the rate, burst and weight of fallback.
func Record(logs io.Reader, fleet Fleet, fallback Organisation) (Trace, error) {
	t := Trace{Fleet: fleet}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxTraceLine)
	var requests []logLine
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		var l logLine
		if start < 0 || json.Unmarshal(scanner.Bytes()[start:], &l) != nil || l.Message != requestEndedMessage || l.Route == "" {
			continue
		}
		requests = append(requests, l)
	}
	if err := scanner.Err(); err != nil {
		return t, errors.Wrap(err, "read the log")
	}
	if len(requests) == 0 {
		return t, errors.Newf("the log contains no %q line; run the entry with LogLevel: debug and JSON output", requestEndedMessage)
	}
	slices.SortStableFunc(requests, func(a, b logLine) int { return int(a.ArrivedMs - b.ArrivedMs) })
	for _, l := range requests {
		known := slices.ContainsFunc(t.Fleet.Organisations, func(o Organisation) bool { return o.Name == l.Organisation })
		if !known {
			o := fallback
			o.Name = l.Organisation
			t.Fleet.Organisations = append(t.Fleet.Organisations, o)
		}
		line := Line{
			OffsetMs: l.ArrivedMs - requests[0].ArrivedMs, Organisation: l.Organisation, Route: l.Route,
			Repeatable: l.Repeatable, Outcome: l.Outcome,
		}
		switch {
		case l.Kind == string(KindCompletion):
			line.Kind, line.PromptTokens, line.AnswerTokens, line.Stream = KindCompletion, max(1, l.PromptTokens), max(1, l.MaxTokens), l.Stream
		case l.Repeatable:
			line.Kind = KindBalance
		default:
			line.Kind = KindBooking
		}
		t.Lines = append(t.Lines, line)
	}
	return t, nil
}
