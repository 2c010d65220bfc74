// Package replayer makes, records and replays traces of requests and platform events, and checks the outcomes stated for
// them. It owns nothing but the run in progress: a replay starts a fleet with its stand-ins in this process and only the
// replay's own calls write to them. A trace makes the store unavailable itself, and the replay goes on meanwhile.
package replayer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind is the kind of a line of a trace.
type Kind string

// Kinds of lines. docs/traces.md describes each.
const (
	KindFleet           Kind = "Fleet"
	KindCompletion      Kind = "Completion"
	KindBooking         Kind = "Booking"
	KindBalance         Kind = "Balance"
	KindVMArrives       Kind = "VmArrives"
	KindVMLeaves        Kind = "VmLeaves"
	KindEngineRestarts  Kind = "EngineRestarts"
	KindStoreDown       Kind = "StoreDown"
	KindStoreUp         Kind = "StoreUp"
	KindKeyWithdrawn    Kind = "KeyWithdrawn"
	KindPopularityShift Kind = "PopularityShift"
	KindQuietStarts     Kind = "QuietStarts"
	KindNeighbourStarts Kind = "NeighbourStarts"
	KindNeighbourEnds   Kind = "NeighbourEnds"
)

var kinds = []Kind{
	KindFleet, KindCompletion, KindBooking, KindBalance, KindVMArrives, KindVMLeaves, KindEngineRestarts, KindStoreDown,
	KindStoreUp, KindKeyWithdrawn, KindPopularityShift, KindQuietStarts, KindNeighbourStarts, KindNeighbourEnds,
}

// Line is one line of a trace: the fleet, a request or an event.
type Line struct {
	OffsetMs     int64
	Kind         Kind
	Organisation string `json:",omitempty"`
	Route        string `json:",omitempty"`
	KeyID        string `json:"KeyId,omitempty"`
	PromptTokens int    `json:",omitempty"`
	AnswerTokens int    `json:",omitempty"`
	PrefixID     string `json:"PrefixId,omitempty"`
	PrefixTokens int    `json:",omitempty"`
	Stream       bool   `json:",omitempty"`
	Repeatable   bool   `json:",omitempty"`
	VM           string `json:"Vm,omitempty"`
	// Outcome is what a recorded request came to; a replay ignores it.
	Outcome string `json:",omitempty"`
	Fleet   *Fleet `json:",omitempty"`
}

// Offset is the line's time from the start of the trace.
func (l Line) Offset() time.Duration { return time.Duration(l.OffsetMs) * time.Millisecond }

// IsRequest is true for a line that a caller sends.
func (l Line) IsRequest() bool {
	return l.Kind == KindCompletion || l.Kind == KindBooking || l.Kind == KindBalance
}

// Fleet is the fleet that a trace is replayed on.
type Fleet struct {
	User   string
	Seed   uint64
	Models int
	// Entries and Ledgers are the numbers of these VMs; model endpoints that arrive later come on top of Models.
	Entries, Ledgers int
	// Slots and Batch are the adapters and requests that an engine holds at once.
	Slots, Batch int
	// StepMs is the time in which an engine generates one token for each running request.
	StepMs float64
	// LoadRate is in adapter loads a second, LoadMs the time of one.
	LoadRate float64
	LoadMs   float64
	// BookingMs is how long a booking takes.
	BookingMs      float64
	FailureDomains int
	// Adapters is the number in the configuration, including those that the trace does not request.
	Adapters      int
	Organisations []Organisation
}

// Organisation is one organisation of a fleet, with its rate in tokens a second and its burst in tokens.
type Organisation struct {
	Name   string
	Rate   float64
	Burst  float64
	Weight float64
}

// Trace is a whole trace: the fleet, and requests and events in the order of their offsets.
type Trace struct {
	Fleet Fleet
	Lines []Line
}

const maxTraceLine = 1 << 20

// Read reads a trace and checks it.
func Read(file string) (Trace, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Trace{}, errors.Wrap(err, "read the trace; name a file made by 'trace make' or 'trace record'")
	}
	return Parse(file, text)
}

// Parse parses the text of a trace.
func Parse(file string, text []byte) (Trace, error) {
	var t Trace
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, maxTraceLine)
	for number := 1; lines.Scan(); number++ {
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		var l Line
		decoder := json.NewDecoder(bytes.NewReader(lines.Bytes()))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&l); err != nil {
			return t, errors.Wrapf(err, "%s:%d: not a line of a trace; see docs/traces.md", file, number)
		}
		if problem := t.add(l); problem != "" {
			return t, errors.Newf("%s:%d: %s; see docs/traces.md", file, number, problem)
		}
	}
	if err := lines.Err(); err != nil {
		return t, errors.Wrapf(err, "%s: read a line", file)
	}
	if t.Fleet.Models == 0 {
		return t, errors.Newf("%s: the first line must describe the fleet; see docs/traces.md", file)
	}
	return t, nil
}

// add appends a line, or says what is wrong with it.
func (t *Trace) add(l Line) string {
	if !slices.Contains(kinds, l.Kind) {
		return "the kind " + string(l.Kind) + " is unknown"
	}
	if l.Kind == KindFleet {
		if l.Fleet == nil || t.Fleet.Models != 0 || l.Fleet.Models < 1 || l.Fleet.Entries < 1 {
			return "a trace has one Fleet line, with at least one entry and model"
		}
		t.Fleet = *l.Fleet
		return ""
	}
	switch {
	case t.Fleet.Models == 0:
		return "the first line must describe the fleet"
	case l.OffsetMs < 0 || len(t.Lines) > 0 && l.OffsetMs < t.Lines[len(t.Lines)-1].OffsetMs:
		return "OffsetMs must not be below 0 or that of the line before"
	case l.IsRequest() && (l.Route == "" || !slices.ContainsFunc(t.Fleet.Organisations, func(o Organisation) bool { return o.Name == l.Organisation })):
		return "a request needs a Route and an Organisation of the fleet"
	case l.Kind == KindCompletion && (l.PromptTokens < 1 || l.AnswerTokens < 1):
		return "a completion needs PromptTokens and AnswerTokens above 0"
	case (l.Kind == KindVMArrives || l.Kind == KindVMLeaves || l.Kind == KindEngineRestarts) && l.VM == "":
		return "the event needs a Vm"
	case (l.Kind == KindNeighbourStarts) && l.Organisation == "":
		return "the event needs an Organisation"
	case l.Kind == KindKeyWithdrawn && (l.Organisation == "" || l.KeyID == ""):
		return "the event needs an Organisation and a KeyId"
	}
	t.Lines = append(t.Lines, l)
	return ""
}

// Write writes a trace.
func (t Trace) Write(out io.Writer) error {
	encoder := json.NewEncoder(out)
	fleet := t.Fleet
	if err := encoder.Encode(Line{Kind: KindFleet, Fleet: &fleet}); err != nil {
		return errors.Wrap(err, "write the trace")
	}
	for _, l := range t.Lines {
		if err := encoder.Encode(l); err != nil {
			return errors.Wrap(err, "write the trace")
		}
	}
	return nil
}
