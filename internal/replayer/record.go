package replayer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
)

// requestEnded is the message of the entry's log line for each request.
const requestEnded = "entry: request ended"

// logLine is the part of an entry's log line that a trace keeps.
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

// Record makes a trace from the JSON logs of entries at level debug. Each organisation gets its rate and burst from the
// fleet when it is named there, and otherwise the rate and burst given as fallback.
func Record(logs io.Reader, fleet Fleet, fallback Organisation) (Trace, error) {
	t := Trace{Fleet: fleet}
	lines := bufio.NewScanner(logs)
	lines.Buffer(nil, maxTraceLine)
	var all []logLine
	for lines.Scan() {
		start := bytes.IndexByte(lines.Bytes(), '{')
		var l logLine
		if start < 0 || json.Unmarshal(lines.Bytes()[start:], &l) != nil || l.Message != requestEnded || l.Route == "" {
			continue
		}
		all = append(all, l)
	}
	if err := lines.Err(); err != nil {
		return t, errors.Wrap(err, "read the log")
	}
	if len(all) == 0 {
		return t, errors.Newf("the log holds no line %q; run the entry with LogLevel: debug and JSON output", requestEnded)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return int(a.ArrivedMs - b.ArrivedMs) })
	for _, l := range all {
		known := slices.ContainsFunc(t.Fleet.Organisations, func(o Organisation) bool { return o.Name == l.Organisation })
		if !known {
			o := fallback
			o.Name = l.Organisation
			t.Fleet.Organisations = append(t.Fleet.Organisations, o)
		}
		line := Line{
			OffsetMs: l.ArrivedMs - all[0].ArrivedMs, Organisation: l.Organisation, Route: l.Route,
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
