package orderer

import (
	"time"

	"github.com/cockroachdb/errors"

	"geraniumladder/internal/registrar"
)

// FencingTokenRange is the number of tokens that one call of Config.NewFencingToken reserves. With one token for each run of
// the engine, a restart during an outage of the store needs no call.
const FencingTokenRange = 1 << 10

// versionsPerEra is the number of versions in an era of the store for which there are fencing tokens.
const versionsPerEra = 1 << 32

// maxFencingEra is the highest era for which there are fencing tokens.
const maxFencingEra = 1<<20 - 1

// FirstFencingToken returns the first token of the range that a write at the position of the store reserves. Later positions
// give higher tokens, also after a restore has set the store's version back.
func FirstFencingToken(at registrar.Position) (int64, error) {
	if at.Era < 0 || at.Era > maxFencingEra || at.Version < 0 || at.Version >= versionsPerEra {
		return 0, errors.Newf("there is no fencing token for version %d in era %d of the store; the store has outlived this program's tokens", at.Version, at.Era)
	}
	return (at.Era*versionsPerEra + at.Version) * FencingTokenRange, nil
}

// maxOrderDelay is the time after which an order without an answer is no longer carried out. Engines have been seen to carry
// out orders 12 s late.
const maxOrderDelay = 15 * time.Second

// engineRuns tells the engine's runs apart. An engine that starts again holds nothing and counts its orders anew, so that an
// order from before the start, held up on its way, can meet the number that it expects once more and overfill the engine.
// Each run therefore has a fencing token of its own: from the first order of a run on, the engine refuses those of the runs
// before. Until then it is empty, and any order fits. An engine that ignores tokens gets no orders in a new run until those
// of the run before can't arrive any more.
type engineRuns struct {
	// born and sequence are those of the last report; isKnown is false before it.
	born, sequence int64
	isKnown        bool
	// tokensLeft is the number of tokens that are reserved and higher than the current one.
	tokensLeft int
	// unansweredAt is when the last order without an answer was sent; zero if there was none.
	unansweredAt time.Time
	// holdUntil is the time before which no order is sent.
	holdUntil time.Time
}

// observeRun notes which run of the engine a report is from, and changes the fencing token in a new one.
func (o *Orderer) observeRun(r Report) {
	previous := o.runs
	o.runs.born, o.runs.sequence, o.runs.isKnown = r.Born, r.Sequence, true
	if !previous.isKnown || r.Born == previous.born && r.Sequence >= previous.sequence {
		return
	}
	switch {
	case o.fencingToken == 0:
	case previous.tokensLeft == 0:
		o.fencingToken = 0
	default:
		o.fencingToken++
		o.runs.tokensLeft--
	}
	if o.config.IgnoresFencing && !previous.unansweredAt.IsZero() {
		o.runs.holdUntil = previous.unansweredAt.Add(maxOrderDelay)
	}
	o.config.Log.Info().Int64("Born", r.Born).Int64("Was", previous.born).Int64("Sequence", r.Sequence).Int64("SequenceWas", previous.sequence).
		Int64("Fence", o.fencingToken).Time("HoldUntil", o.runs.holdUntil).Msg("orderer: engine has started again")
}
