// Package replayer generates, records and replays traces of requests and platform events, and checks a replay against
// its stated outcomes. A replay starts a fleet with its stand-ins in this process; only the replay's own requests write
// to them, and no state outlives it. A trace may make the store unavailable; the replay continues during the outage.
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

// Kind is the kind of a trace line.
type Kind string

// Kinds of trace lines, described in docs/traces.md.
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
	// Outcome is the outcome of a recorded request; a replay ignores it.
	Outcome string `json:",omitempty"`
	Fleet   *Fleet `json:",omitempty"`
}

// Offset is the line's time from the start of the trace.
func (l Line) Offset() time.Duration { return time.Duration(l.OffsetMs) * time.Millisecond }

// IsRequest reports whether the line is a request of a caller rather than the fleet or an event.
func (l Line) IsRequest() bool {
	return l.Kind == KindCompletion || l.Kind == KindBooking || l.Kind == KindBalance
}

// Fleet is the fleet that a trace is replayed on.
type Fleet struct {
	User   string
	Seed   uint64
	Models int
	// Entries, Models and Ledgers are the numbers of VMs at the start. Models does not include model endpoints that
	// arrive later.
	Entries, Ledgers int
	// Slots is the number of adapters that an engine can hold, Batch the number of requests that it can run at once.
	Slots, Batch int
	// StepMs is the time of one decoding step, which generates one token for each running request.
	StepMs float64
	// LoadRate is the limit of adapter loads per second, LoadMs the time of one load.
	LoadRate float64
	LoadMs   float64
	// BookingMs is the processing time of a booking.
	BookingMs      float64
	FailureDomains int
	// Adapters is the number of configured adapters, including those that the trace does not request.
	Adapters      int
	Organisations []Organisation
}

// Organisation is an organisation of a fleet. Rate is in tokens per second, Burst in tokens.
type Organisation struct {
	Name   string
	Rate   float64
	Burst  float64
	Weight float64
}

// Trace consists of the fleet and of the requests and events in the order of their offsets.
type Trace struct {
	Fleet Fleet
	Lines []Line
}

const maxTraceLine = 1 << 20

// Read reads and validates a trace file.
func Read(file string) (Trace, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Trace{}, errors.Wrap(err, "read the trace; it must be a file written by 'trace make' or 'trace record'")
	}
	return Parse(file, text)
}

// Parse parses and validates a trace. file is used in error messages.
func Parse(file string, text []byte) (Trace, error) {
	var t Trace
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, maxTraceLine)
	for number := 1; scanner.Scan(); number++ {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		var l Line
		decoder := json.NewDecoder(bytes.NewReader(scanner.Bytes()))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&l); err != nil {
			return t, errors.Wrapf(err, "%s:%d: invalid trace line; see docs/traces.md", file, number)
		}
		if problem := t.add(l); problem != "" {
			return t, errors.Newf("%s:%d: %s; see docs/traces.md", file, number, problem)
		}
	}
	if err := scanner.Err(); err != nil {
		return t, errors.Wrapf(err, "%s: read a line", file)
	}
	if t.Fleet.Models == 0 {
		return t, errors.Newf("%s: the first line must describe the fleet; see docs/traces.md", file)
	}
	return t, nil
}

// add appends a line, or returns a description of what makes it invalid.
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
		return "OffsetMs must not be negative or less than on the previous line"
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

// Write writes the trace as JSON Lines.
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
