// Package leaser implements leases that are stored as rows of the table service and changed by conditional writes. It
// owns the lease rows: the holder renews and releases its row, and any candidate may take over an expired one. While the
// table service is unavailable, the holder keeps its lease until the time to live has elapsed, and no lease can be
// acquired.
package leaser

import (
	"strconv"
	"strings"
	"time"
)

// Defaults of Config.
const (
	DefaultTTL        = 30 * time.Second
	DefaultRenewEvery = 10 * time.Second
	// DefaultDriftMargin is the maximum relative difference between the clock rates of two VMs.
	DefaultDriftMargin = 0.001
	// DefaultRetryEvery is the retry interval while the table service does not respond.
	DefaultRetryEvery = 500 * time.Millisecond
)

// Config configures a Lease. Zero fields take their defaults.
type Config struct {
	// Name is the sort key of the lease row: the part after the slash in lease/NAME.
	Name string
	// Holder identifies this run of the process. It is unique across restarts.
	Holder string
	TTL    time.Duration
	// RenewEvery is the renewal interval; a third of TTL if it is 0 or not below TTL.
	RenewEvery  time.Duration
	DriftMargin float64
	RetryEvery  time.Duration
}

// Row is the content of a lease row. Rows are never deleted, so that fencing tokens are never reused.
type Row struct {
	Holder string
	// Fence is the fencing token. It increases with each acquisition.
	Fence int64
	TTL   time.Duration
	// Released is true if the holder released the lease before it expired.
	Released bool
	// Mark identifies the write: HOLDER/NUMBER, unique for each write.
	Mark string
}

// Kind is the kind of an Action.
type Kind int

// The kinds of actions.
const (
	// Wait means that nothing is to be done before Action.Until.
	Wait Kind = iota
	// Read means: read the row and report the result with RowRead or ResponseLost.
	Read
	// Write means: write Action.Row on condition that the row's version is still Action.Version, and report the result with
	// Written, ConditionFailed or ResponseLost.
	Write
	// Ended means that the release is complete.
	Ended
)

// Action is the next step that the caller of Next has to perform.
type Action struct {
	Kind    Kind
	Version int64
	Row     Row
	Until   time.Duration
}

// pendingCall is a call to the table service whose response has not arrived.
type pendingCall struct {
	sentAt  time.Duration
	isWrite bool
	row     Row
	// expectedVersion is the row version on which the write is conditional.
	expectedVersion int64
}

// Lease is the immutable state of one candidate or holder. All times are readings of its own monotonic clock.
//
// At most one process holds a lease at a time. For the holder, the lease expires after the time to live less the drift
// margin, counted from before it sent the write that acquired or renewed the lease. For other candidates, it expires
// after the time to live plus the drift margin, counted from when they received the row; they then replace the row only
// if it has not changed since.
type Lease struct {
	config Config
	// isRowCurrent is false until the row has been read, and again after a call without a response or a failed condition.
	isRowCurrent bool
	rowExists    bool
	row          Row
	version      int64
	// observedAt is when this process first received the row at this version.
	observedAt time.Duration
	// fence and heldUntil describe the lease held; fence is 0 if none was acquired or it was released.
	fence     int64
	heldUntil time.Duration
	// highestFence is the highest token seen. A row with a lower one was set back by a restore of the table.
	highestFence int64
	// inFlight is the outstanding call; nil if there is none.
	inFlight *pendingCall
	// unacknowledged holds the writes without a response, until a row at a higher version shows which of them took effect.
	unacknowledged []pendingCall
	// writeCount is the number in the mark of the last write.
	writeCount int64
	// notBefore is the earliest time of the next call.
	notBefore time.Duration
	releasing bool
	ended     bool
}

// New returns the state of a newly started process, which holds no lease.
func New(c Config) Lease {
	if c.TTL == 0 {
		c.TTL = DefaultTTL
	}
	if c.RenewEvery == 0 || c.RenewEvery >= c.TTL {
		c.RenewEvery = c.TTL / 3
	}
	if c.DriftMargin == 0 {
		c.DriftMargin = DefaultDriftMargin
	}
	if c.RetryEvery == 0 {
		c.RetryEvery = DefaultRetryEvery
	}
	return Lease{config: c}
}

// Held returns the fencing token and true while the lease is held. Call it immediately before each order, so that a
// process that was paused detects that its lease has expired.
func (l Lease) Held(now time.Duration) (int64, bool) {
	if l.releasing || l.fence == 0 || now >= l.heldUntil {
		return 0, false
	}
	return l.fence, true
}

// WithRelease starts the release of the lease at a planned shutdown: Held returns false from then on, and Next returns
// the write that releases the row.
func (l Lease) WithRelease() Lease {
	l.releasing = true
	l.notBefore = 0
	return l
}

// Next returns the next action. A Read or Write counts as sent at now, so it must be sent immediately, and its result
// must be reported.
func (l Lease) Next(now time.Duration) (Lease, Action) {
	switch {
	case l.ended:
		return l, Action{Kind: Ended}
	case l.inFlight != nil:
		return l, Action{Kind: Wait, Until: now + l.config.RetryEvery}
	case now < l.notBefore:
		return l, Action{Kind: Wait, Until: l.notBefore}
	case !l.isRowCurrent:
		l.inFlight = &pendingCall{sentAt: now}
		return l, Action{Kind: Read}
	}
	isHolder := l.rowExists && l.row.Holder == l.config.Holder && !l.row.Released
	if l.releasing {
		if !isHolder {
			l.ended = true
			return l, Action{Kind: Ended}
		}
		return l.withWrite(Row{Fence: l.row.Fence, Released: true}, now)
	}
	if isHolder {
		_, held := l.Held(now)
		renewAt := l.heldUntil - l.holdDuration() + l.config.RenewEvery
		switch {
		case held && now < renewAt:
			return l, Action{Kind: Wait, Until: renewAt}
		case held:
			return l.withWrite(Row{Fence: l.fence}, now)
		default:
			// The lease expired without a renewal, so this is a new acquisition.
			return l.withWrite(Row{Fence: l.highestFence + 1}, now)
		}
	}
	if l.rowExists && !l.row.Released {
		takeoverAt := l.observedAt + time.Duration(float64(l.row.TTL)*(1+l.config.DriftMargin))
		if now < takeoverAt {
			// Keep polling the row, because the holder may release it early.
			l.isRowCurrent, l.notBefore = false, min(takeoverAt, now+l.config.RetryEvery)
			return l, Action{Kind: Wait, Until: l.notBefore}
		}
	}
	return l.withWrite(Row{Fence: l.highestFence + 1}, now)
}

// withWrite returns the write of row, with this process as its holder and a new mark.
func (l Lease) withWrite(row Row, now time.Duration) (Lease, Action) {
	l.writeCount++
	row.Holder, row.TTL = l.config.Holder, l.config.TTL
	row.Mark = l.config.Holder + "/" + strconv.FormatInt(l.writeCount, 10)
	l.inFlight = &pendingCall{sentAt: now, isWrite: true, row: row, expectedVersion: l.version}
	return l, Action{Kind: Write, Version: l.version, Row: row}
}

// holdDuration is how long the holder relies on the lease after sending a write.
func (l Lease) holdDuration() time.Duration {
	return time.Duration(float64(l.config.TTL) * (1 - l.config.DriftMargin))
}

// RowRead reports the result of a Read; row is nil if there is no row.
func (l Lease) RowRead(row *Row, version int64, now time.Duration) Lease {
	l.inFlight = nil
	if row == nil {
		l.isRowCurrent, l.rowExists, l.row, l.version = true, false, Row{}, 0
		return l
	}
	if !l.rowExists || version != l.version {
		l.observedAt = now
	}
	l.isRowCurrent, l.rowExists, l.row, l.version = true, true, *row, version
	l.highestFence = max(l.highestFence, row.Fence)
	for _, call := range l.unacknowledged {
		if call.row.Mark == row.Mark {
			l = l.withApplied(call, version)
			break
		}
	}
	if row.Holder != l.config.Holder || row.Released {
		l.fence = 0
	}
	// An unacknowledged write can no longer take effect once the row is past the version that it expects.
	var unresolved []pendingCall
	for _, call := range l.unacknowledged {
		if call.expectedVersion >= version {
			unresolved = append(unresolved, call)
		}
	}
	l.unacknowledged = unresolved
	return l
}

// Written reports that the Write took effect.
func (l Lease) Written(now time.Duration) Lease {
	call := l.inFlight
	l.inFlight = nil
	if call == nil || !call.isWrite {
		return l
	}
	l.observedAt = now
	return l.withApplied(*call, call.expectedVersion+1)
}

// withApplied records that a write of this process took effect and gave the row the version.
func (l Lease) withApplied(call pendingCall, version int64) Lease {
	l.isRowCurrent, l.rowExists, l.row, l.version = true, true, call.row, version
	l.highestFence = max(l.highestFence, call.row.Fence)
	if call.row.Released {
		l.fence = 0
		return l
	}
	l.fence = call.row.Fence
	l.heldUntil = call.sentAt + l.holdDuration()
	return l
}

// ConditionFailed reports that the condition of a Write failed, because the row was not at the expected version.
func (l Lease) ConditionFailed() Lease {
	l.inFlight = nil
	l.isRowCurrent = false
	return l
}

// ResponseLost reports that a Read or Write got no response. A Write may have taken effect or may still do so.
func (l Lease) ResponseLost(now time.Duration) Lease {
	if l.inFlight != nil && l.inFlight.isWrite {
		l.unacknowledged = append(append([]pendingCall(nil), l.unacknowledged...), *l.inFlight)
	}
	l.inFlight = nil
	l.isRowCurrent = false
	l.notBefore = now + l.config.RetryEvery
	return l
}

// Name returns the sort key of the lease row.
func (l Lease) Name() string { return l.config.Name }

// String returns a description for logs, such as "model-1: holder a/3, fence 7".
func (l Lease) String() string {
	var b strings.Builder
	b.WriteString(l.config.Name + ": ")
	if !l.rowExists {
		b.WriteString("no row")
	} else {
		b.WriteString("holder " + l.row.Holder + ", fence " + strconv.FormatInt(l.row.Fence, 10))
	}
	return b.String()
}
