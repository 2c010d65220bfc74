package inspector_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"geraniumladder/internal/inspector"
	"geraniumladder/internal/storer"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/claimer"
)

var created = time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)

func tableWithClaim(t *testing.T, state wire.ClaimRowState) *storer.MemoryPlatform {
	t.Helper()
	data, err := json.Marshal(wire.ClaimRow{
		RequestID: "req-1", State: state, CreatedMs: created.UnixMilli(), DeadlineMs: created.Add(time.Minute).UnixMilli(),
	})
	assert.NilError(t, err)
	table := storer.NewMemoryPlatform()
	assert.NilError(t, table.Put(t.Context(), storer.Row{Pk: "claim", Sk: "accra/order/17", Data: data}, 0))
	return table
}

// Guards against settling a call as not run while it may still be running, which would let a retry run it a second
// time, also while this wall clock is ahead of the entry's, and against overwriting an outcome that is already known.
func TestSettle(t *testing.T) {
	const refused = wire.ClaimRowState("")
	for _, c := range []struct {
		name    string
		state   wire.ClaimRowState
		elapsed time.Duration
		ran     bool
		want    wire.ClaimRowState
	}{
		{"unknown, found to have run", wire.ClaimRowStateUnknown, time.Second, true, wire.ClaimRowStateSettledRan},
		{"unknown, may still run", wire.ClaimRowStateUnknown, 10*time.Minute + claimer.MaxClockSkew, false, refused},
		{"unknown, can no longer run", wire.ClaimRowStateUnknown, 10*time.Minute + claimer.MaxClockSkew + time.Second, false, wire.ClaimRowStateSettledNotRun},
		{"claimed, before its deadline", wire.ClaimRowStateClaimed, time.Minute + claimer.MaxClockSkew, true, refused},
		{"claimed, after its deadline", wire.ClaimRowStateClaimed, time.Minute + claimer.MaxClockSkew + time.Second, true, wire.ClaimRowStateSettledRan},
		{"claimed, may still run", wire.ClaimRowStateClaimed, 2 * time.Minute, false, refused},
		{"done", wire.ClaimRowStateDone, time.Hour, false, refused},
		{"settled before", wire.ClaimRowStateSettledRan, time.Hour, false, refused},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := tableWithClaim(t, c.state)
			i := inspector.New(inspector.Config{Platform: table, Now: func() time.Time { return created.Add(c.elapsed) }})
			err := i.Settle(t.Context(), "accra", "order/17", c.ran, "the ledger was read")
			if c.want == refused {
				var settle *inspector.SettleError
				assert.Assert(t, errors.As(err, &settle), "%v", err)
				c.want = c.state
			} else {
				assert.NilError(t, err)
			}
			calls, err := i.Calls(t.Context(), c.want)
			assert.NilError(t, err)
			assert.Equal(t, len(calls), 1)
			assert.Equal(t, calls[0].Organisation, "accra")
			assert.Equal(t, calls[0].Key, "order/17")
		})
	}
}

// Guards against calls that are missing when the claim rows span several pages, and against an unavailable table
// service that is not reported as an error.
func TestCallsReadsAllPages(t *testing.T) {
	table := tableWithClaim(t, wire.ClaimRowStateUnknown)
	for n := range 1_200 {
		data, err := json.Marshal(wire.ClaimRow{State: wire.ClaimRowStateDone, CreatedMs: created.UnixMilli()})
		assert.NilError(t, err)
		sk := "accra/" + time.Duration(n).String()
		assert.NilError(t, table.Put(t.Context(), storer.Row{Pk: "claim", Sk: sk, Data: data}, 0))
	}
	i := inspector.New(inspector.Config{Platform: table})
	done, err := i.Calls(t.Context(), wire.ClaimRowStateDone)
	assert.NilError(t, err)
	assert.Equal(t, len(done), 1_200)
	table.SetFault(storer.Fault{Down: true})
	_, err = i.Calls(t.Context(), wire.ClaimRowStateDone)
	assert.Assert(t, storer.IsKind(err, storer.Unavailable), "%v", err)
}
