package replayer_test

import (
	"bytes"
	"context"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"geraniumladder/internal/replayer"
)

// Guards against wrong, truncated or mixed-up answers, and against bookings that run twice or run after a refusal,
// while VMs arrive, an engine restarts, the store is unavailable, a key is withdrawn and a VM shuts down
// gracefully. Only counts are checked.
func TestReplayMeetsCountedOutcomes(t *testing.T) {
	trace, err := replayer.Make(replayer.MakeConfig{User: "vunidawa", Seed: 3, Duration: 12 * time.Second})
	assert.NilError(t, err)
	// Parsing the full number of adapters is slow under the race detector; full replays cover it.
	trace.Fleet.Adapters = 300
	log := zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.ErrorLevel)
	report, err := replayer.Replay(context.Background(), replayer.Config{
		Trace: trace, Speed: replayer.FastSpeed, Log: log,
		Outcomes: replayer.Outcomes{"WrongAnswers": 0, "CutStreams": 0, "DoubledRuns": 0, "FalseNotRun": 0, "MissingBookings": 0, "UnloadedInUse": 0},
	})
	assert.NilError(t, err)
	assert.NilError(t, report.Failure(), "%v", report.Summary.Faults)
	assert.Check(t, report.Summary.Bookings.Acknowledged > 0)
	assert.Check(t, report.Summary.OK > 0)
}

// Guards against generated traces that differ between two runs with the same seed, and against traces that change when
// they are written, parsed and written again.
func TestGeneratedTracesAreReproducible(t *testing.T) {
	for _, user := range []string{"vunidawa", "accra"} {
		var texts [2]bytes.Buffer
		for i := range texts {
			trace, err := replayer.Make(replayer.MakeConfig{User: user, Seed: 9, Duration: 20 * time.Second})
			assert.NilError(t, err)
			assert.NilError(t, trace.Write(&texts[i]))
		}
		assert.Check(t, bytes.Equal(texts[0].Bytes(), texts[1].Bytes()))
		parsed, err := replayer.Parse("made", texts[0].Bytes())
		assert.NilError(t, err)
		var again bytes.Buffer
		assert.NilError(t, parsed.Write(&again))
		assert.Check(t, bytes.Equal(again.Bytes(), texts[0].Bytes()))
	}
}

// Guards against replaying only the readable part of a damaged trace, which would pass with fewer requests.
func TestInvalidTracesAreRejected(t *testing.T) {
	const fleet = `{"Kind":"Fleet","Fleet":{"Models":1,"Entries":1,"Organisations":[{"Name":"o","Rate":1,"Burst":1}]}}` + "\n"
	tests := map[string]struct{ text, want string }{
		"no fleet":             {`{"Kind":"StoreDown"}`, "t:1: the first line must describe the fleet"},
		"two fleets":           {fleet + fleet, "t:2: a trace has one Fleet line"},
		"unknown kind":         {fleet + `{"Kind":"Nap"}`, "the kind Nap is unknown"},
		"unknown field":        {fleet + `{"Kind":"StoreDown","Naps":1}`, "t:2: invalid trace line"},
		"backwards":            {fleet + `{"Kind":"StoreDown","OffsetMs":5}` + "\n" + `{"Kind":"StoreUp","OffsetMs":4}`, "t:3: OffsetMs"},
		"unknown organisation": {fleet + `{"Kind":"Booking","Organisation":"p","Route":"r"}`, "a request needs a Route and an Organisation"},
		"empty completion":     {fleet + `{"Kind":"Completion","Organisation":"o","Route":"r"}`, "PromptTokens"},
		"event without VM":     {fleet + `{"Kind":"VmLeaves"}`, "needs a Vm"},
		"key not named":        {fleet + `{"Kind":"KeyWithdrawn","Organisation":"o"}`, "KeyId"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := replayer.Parse("t", []byte(test.text))
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// Guards against an outcome that counts as met although its value exceeds the bound or was not measured.
func TestVerdicts(t *testing.T) {
	m := replayer.Measured{WorstRatio: 1.3, SecondsForce: math.NaN(), SecondsWithdrawn: 4}
	outcomes := replayer.Outcomes{"WorstOrganisationRatio": 1.25, "SecondsUntilInForce": 4, "SecondsUntilWithdrawnKeyRefused": 4}
	got := map[string]bool{}
	for _, v := range outcomes.Verdicts(m) {
		if _, stated := outcomes[v.Name]; stated {
			got[v.Name] = v.Met
		}
	}
	assert.DeepEqual(t, got, map[string]bool{"WorstOrganisationRatio": false, "SecondsUntilInForce": false, "SecondsUntilWithdrawnKeyRefused": true})
	_, err := replayer.Replay(context.Background(), replayer.Config{Outcomes: replayer.Outcomes{"Misspelt": 1}})
	assert.ErrorContains(t, err, "Misspelt")
}

// Guards against recorded traces that lose a request or classify a booking as a read.
func TestRecordConvertsRequestLog(t *testing.T) {
	const log = `{"level":"info","message":"entry: started"}
{"level":"debug","message":"entry: request ended","ArrivedMs":1500,"Kind":"POST","Organisation":"o","Route":"o-ledger","Repeatable":false,"Outcome":"ok"}
not JSON
{"level":"debug","message":"entry: request ended","ArrivedMs":1000,"Kind":"Completion","Stream":true,"Organisation":"o","Route":"m","Repeatable":true,"PromptTokens":7,"AnswerTokens":2,"MaxTokens":4,"Outcome":"ran"}
{"level":"debug","message":"entry: request ended","ArrivedMs":1700,"Kind":"GET","Organisation":"p","Route":"p-ledger","Repeatable":true,"Outcome":"not-run"}
`
	trace, err := replayer.Record(strings.NewReader(log), replayer.Fleet{Models: 1, Entries: 1}, replayer.Organisation{Rate: 10, Burst: 20})
	assert.NilError(t, err)
	assert.DeepEqual(t, trace.Lines, []replayer.Line{
		{Kind: replayer.KindCompletion, Organisation: "o", Route: "m", PromptTokens: 7, AnswerTokens: 4, Stream: true, Repeatable: true, Outcome: "ran"},
		{OffsetMs: 500, Kind: replayer.KindBooking, Organisation: "o", Route: "o-ledger", Outcome: "ok"},
		{OffsetMs: 700, Kind: replayer.KindBalance, Organisation: "p", Route: "p-ledger", Repeatable: true, Outcome: "not-run"},
	})
	assert.Check(t, cmp.Len(trace.Fleet.Organisations, 2))
	_, err = replayer.Record(strings.NewReader("{}"), replayer.Fleet{}, replayer.Organisation{})
	assert.ErrorContains(t, err, "LogLevel: debug")
}
