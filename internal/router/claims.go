package router

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"geraniumladder/internal/storer"
	"geraniumladder/internal/wire"
	"geraniumladder/pkg/claimer"
)

const (
	// ClaimPartitionKey is the partition key of the claim rows.
	ClaimPartitionKey = "claim"
	// responsePrefix starts the object keys of stored responses that are too long for a row.
	responsePrefix = "answer/"
	// maxInlineResponse is the size up to which a response is stored in its claim row.
	maxInlineResponse      = 64 << 10
	maxIdempotencyKeyBytes = 255
	// maxClaimAttempts bounds how often a claim is read again after another entry has changed it.
	maxClaimAttempts = 20
	claimRetryDelay  = 25 * time.Millisecond
	// recordTimeout bounds the recording of a call's outcome, which continues after its caller has disconnected.
	recordTimeout = 10 * time.Second
)

var (
	errClaimContended = failed(http.StatusConflict, unknown, "claim_contended",
		"other retries of this call are under way; send it again with the same Idempotency-Key")
	errClaimUnavailable = unavailable("claim_unavailable",
		"the call cannot be claimed while the table service does not answer; send it again later with the same Idempotency-Key")
)

// storedClaim is the claim row of one call as last read or written by this entry.
type storedClaim struct {
	sk      string
	row     wire.ClaimRow
	version int64
	exists  bool
}

// runClaimed runs a call with an idempotency key. The call is claimed in the table service before it is sent, so that a
// retry through any entry finds it.
func (r *Router) runClaimed(ctx context.Context, cl *call, key string, sink *serviceSink) *callError {
	if len(key) > maxIdempotencyKeyBytes || strings.ContainsAny(key, "\r\n\x00") {
		return invalid(http.StatusBadRequest, "bad_idempotency_key", "the Idempotency-Key is longer than %d bytes or holds control characters", maxIdempotencyKeyBytes)
	}
	sink.keepBody = true
	newClaim := claimer.Claim{
		RequestID: cl.id, Digest: requestDigest(cl, cl.body), Entry: r.config.Settings.VM, Attempt: 1, State: claimer.StateClaimed, Created: cl.arrived,
	}
	sk := cl.organisation.Name + "/" + key
	for range maxClaimAttempts {
		c, failure := r.readClaim(ctx, sk)
		if failure != nil {
			return failure
		}
		if wait := r.claims.waitAfterOutage(r.now()); wait > 0 {
			if failure := r.sleep(ctx, wait); failure != nil {
				return failure
			}
			continue
		}
		failure, reread := r.applyDecision(ctx, cl, c, claimer.Decide(c.asClaim(), newClaim, r.now()), newClaim, sink)
		if !reread {
			return failure
		}
		if failure := r.sleep(ctx, claimRetryDelay); failure != nil {
			return failure
		}
	}
	return errClaimContended
}

// requestDigest hashes every part of a request that must be the same when its idempotency key is used again.
func requestDigest(cl *call, body []byte) string {
	h := sha256.New()
	for _, part := range []string{cl.route.Name, cl.method, cl.target, string(body)} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil))
}

// applyDecision carries out a decision about a claim. reread means that the claim must be read and decided on again.
func (r *Router) applyDecision(ctx context.Context, cl *call, c storedClaim, d claimer.Decision, newClaim claimer.Claim, sink *serviceSink) (failure *callError, reread bool) {
	switch d.Kind {
	case claimer.Insert, claimer.Takeover, claimer.OwnWrite:
		return r.claimAndRun(ctx, cl, c, d.Attempt, newClaim, sink)
	case claimer.ReturnStored:
		return r.replayResponse(ctx, cl, c, sink), false
	case claimer.JoinAt:
		return r.joinClaimedRun(ctx, cl, c, newClaim, sink)
	case claimer.DigestMismatch:
		return invalid(http.StatusUnprocessableEntity, "idempotency_key_reused",
			"the Idempotency-Key was used for another request; use a new key for each call"), false
	case claimer.SettledRan:
		return failed(http.StatusConflict, ran, "settled_ran", "the operators have settled this call as run; its answer was not kept, read the state of the call"), false
	case claimer.Undecidable:
	}
	if d.Record {
		r.recordOutcome(ctx, &c, func(row *wire.ClaimRow) { row.State = wire.ClaimRowStateUnknown })
	}
	return failed(http.StatusConflict, unknown, "outcome_unknown",
		"it is not known whether the call ran; ask the operators to settle it with 'geraniumladder calls settle'"), false
}

// claimAndRun claims the call for an endpoint and runs it there.
func (r *Router) claimAndRun(ctx context.Context, cl *call, c storedClaim, attempt int, newClaim claimer.Claim, sink *serviceSink) (failure *callError, reread bool) {
	// owned is set once this call has written the row. A row written by another call must not be changed.
	contended, owned := false, false
	failure = r.runOnce(ctx, cl, sink, func(d dispatch) *callError {
		row := newClaimRow(cl, newClaim, d, attempt)
		attempt++
		written, refusal := r.writeClaim(ctx, &c, row)
		if refusal != nil {
			return refusal
		}
		if !written {
			contended = true
			return errTakenOver
		}
		owned = true
		return nil
	})
	switch {
	case contended || failure == errTakenOver:
		return nil, true
	case failure == nil:
		r.storeResponse(ctx, &c, sink)
		return nil, false
	case failure.outcome == unknown:
		r.recordOutcome(ctx, &c, func(row *wire.ClaimRow) { row.State = wire.ClaimRowStateUnknown })
	case failure.outcome == notRun && owned:
		r.recordOutcome(ctx, &c, func(row *wire.ClaimRow) { row.State = wire.ClaimRowStateNotRun })
	}
	return failure, false
}

func newClaimRow(cl *call, newClaim claimer.Claim, d dispatch, attempt int) wire.ClaimRow {
	return wire.ClaimRow{
		RequestID: d.runID, Digest: newClaim.Digest, Entry: newClaim.Entry, Endpoint: d.endpoint.VM, Address: d.endpoint.Address,
		Incarnation: d.endpoint.Incarnation, Attempt: attempt, State: wire.ClaimRowStateClaimed,
		CreatedMs: newClaim.Created.UnixMilli(), DeadlineMs: cl.deadline.UnixMilli(), //nolint:forbidigo // Readers allow for claimer.MaxClockSkew.
	}
}

// asClaim returns the fields on which decisions are based; nil if there is no row.
func (c storedClaim) asClaim() *claimer.Claim {
	if !c.exists {
		return nil
	}
	return &claimer.Claim{
		RequestID: c.row.RequestID, Digest: c.row.Digest, Entry: c.row.Entry, Attempt: c.row.Attempt,
		Sidecar: claimer.Sidecar{Endpoint: c.row.Endpoint, Address: c.row.Address, Incarnation: c.row.Incarnation},
		State:   claimer.State(c.row.State), Created: time.UnixMilli(c.row.CreatedMs), //nolint:forbidigo // The claim outlives processes; claimer allows for MaxClockSkew.
	}
}

// sequence returns the number of times the claim was written. Rows of earlier releases have only a version.
func (c storedClaim) sequence() int64 {
	if c.row.Sequence == nil {
		return c.version
	}
	return *c.row.Sequence
}

// readClaim reads a claim. One that this entry has written and a restore of the table has taken back is written again first.
func (r *Router) readClaim(ctx context.Context, sk string) (storedClaim, *callError) {
	for range maxClaimAttempts {
		known, isKnown := r.claims.get(sk)
		c, failure := r.loadClaim(ctx, sk)
		if failure != nil || !isKnown || c.sequence() >= known.sequence {
			return c, failure
		}
		r.claims.setRestored(true)
		r.log.Warn().Str("RequestId", known.row.RequestID).Int64("Sequence", known.sequence).Int64("Read", c.sequence()).
			Msg("entry: the table was restored from an earlier copy; a claim that it lacks is written again")
		if written, failure := r.putClaim(ctx, &c, known.row); written || failure != nil {
			return c, failure
		}
	}
	return storedClaim{sk: sk}, errClaimContended
}

func (r *Router) loadClaim(ctx context.Context, sk string) (storedClaim, *callError) {
	c := storedClaim{sk: sk}
	stored, err := r.config.Platform.Get(ctx, ClaimPartitionKey, sk)
	if storer.IsKind(err, storer.NotFound) {
		return c, nil
	}
	if storer.IsKind(err, storer.Unavailable) && ctx.Err() == nil {
		r.claims.noteAway(r.now())
	}
	if err == nil {
		err = json.Unmarshal(stored.Data, &c.row)
	}
	if err != nil {
		return c, errClaimUnavailable
	}
	c.exists, c.version = true, stored.Version
	return c, nil
}

// writeClaim replaces the row. written is false if another entry wrote it first.
func (r *Router) writeClaim(ctx context.Context, c *storedClaim, row wire.ClaimRow) (written bool, failure *callError) {
	next := c.sequence() + 1
	row.Sequence = &next
	return r.putClaim(ctx, c, row)
}

// putClaim is writeClaim for a row with a sequence. If the table service's response is lost, the row is read back.
func (r *Router) putClaim(ctx context.Context, c *storedClaim, row wire.ClaimRow) (written bool, failure *callError) {
	data, err := json.Marshal(row)
	if err != nil {
		return false, invalid(http.StatusBadRequest, "bad_request", "the claim cannot be encoded: %v", err)
	}
	mark := row.RequestID + "/" + string(row.State) + "/" + row.Incarnation
	err = r.config.Platform.Put(ctx, storer.Row{Pk: ClaimPartitionKey, Sk: c.sk, Data: data, Mark: mark}, c.version)
	if storer.IsKind(err, storer.Unavailable) {
		if ctx.Err() == nil {
			r.claims.noteAway(r.now())
		}
		stored, readErr := r.config.Platform.Get(ctx, ClaimPartitionKey, c.sk)
		switch {
		case readErr == nil && stored.Mark == mark && stored.Version == c.version+1:
			err = nil
		case readErr == nil && stored.Version > c.version:
			return false, nil
		}
	}
	switch {
	case err == nil:
		c.row, c.exists = row, true
		c.version++
		r.claims.put(claimRecord{sk: c.sk, sequence: c.sequence(), row: row, at: r.now()})
		return true, nil
	case storer.IsKind(err, storer.Conflict):
		return false, nil
	default:
		return false, errClaimUnavailable
	}
}

// recordOutcome records the end of a claimed call, even if the caller has disconnected. If the write is lost, a retry
// joins the run at the sidecar.
func (r *Router) recordOutcome(ctx context.Context, c *storedClaim, change func(*wire.ClaimRow)) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
	defer cancel()
	row := c.row
	change(&row)
	if _, failure := r.writeClaim(ctx, c, row); failure != nil {
		r.log.Warn().Str("RequestId", row.RequestID).Str("State", string(row.State)).Msg("entry: could not record the outcome of a claimed call")
	}
}

// storeResponse stores the complete response of a call, so that a retry gets the same one.
func (r *Router) storeResponse(ctx context.Context, c *storedClaim, sink *serviceSink) {
	header := map[string]string{}
	for name := range sink.header {
		header[name] = sink.header.Get(name)
	}
	object := ""
	if len(sink.body) > maxInlineResponse {
		object = responsePrefix + c.row.RequestID
		putCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
		err := r.config.Platform.PutObject(putCtx, object, sink.body)
		cancel()
		if err != nil {
			// The claim remains, and a retry joins the run at the sidecar for as long as the sidecar keeps the
			// response.
			r.log.Warn().Err(err).Str("RequestId", c.row.RequestID).Msg("entry: could not store the response of a claimed call")
			return
		}
	}
	r.recordOutcome(ctx, c, func(row *wire.ClaimRow) {
		row.State, row.Status, row.Header = wire.ClaimRowStateDone, &sink.status, &header
		if object != "" {
			row.Object = &object
		} else {
			row.Body = &sink.body
		}
	})
}

// replayResponse sends the stored response of a call.
func (r *Router) replayResponse(ctx context.Context, cl *call, c storedClaim, sink *serviceSink) *callError {
	var body []byte
	if c.row.Body != nil {
		body = *c.row.Body
	}
	if c.row.Object != nil {
		var err error
		if body, err = r.config.Platform.GetObject(ctx, *c.row.Object); err != nil {
			return failed(http.StatusServiceUnavailable, ran, "answer_unavailable", "the call ran; its stored answer cannot be read now, send the call again later")
		}
	}
	header := http.Header{}
	if c.row.Header != nil {
		for name, value := range *c.row.Header {
			header.Set(name, value)
		}
	}
	status := http.StatusOK
	if c.row.Status != nil {
		status = *c.row.Status
	}
	header.Set(replayedHeader, c.row.RequestID)
	sink.w.Header().Set(replayedHeader, c.row.RequestID)
	sink.begin(status, header, cl.id)
	sink.write(body)
	return nil
}

// replayedHeader names the request whose response a retry gets.
const replayedHeader = "Geraniumladder-Replayed"

// joinClaimedRun gets the response of a call that another request has dispatched, from the sidecar that runs it.
func (r *Router) joinClaimedRun(ctx context.Context, cl *call, c storedClaim, newClaim claimer.Claim, sink *serviceSink) (failure *callError, reread bool) {
	d := dispatch{runID: c.row.RequestID}
	d.endpoint.VM, d.endpoint.Address, d.endpoint.Incarnation = c.row.Endpoint, c.row.Address, c.row.Incarnation
	sink.w.Header().Set(replayedHeader, c.row.RequestID)
	// A nil runResult means that the complete response was copied.
	resp, runResult := r.join(ctx, c.row.Address, c.row.Incarnation, c.row.RequestID, 0) //nolint:bodyclose // copyServiceResponse closes it.
	if resp != nil {
		runResult = r.copyServiceResponse(resp, cl, &d, sink)
	}
	if runResult == nil {
		r.storeResponse(ctx, &c, sink)
		return nil, false
	}
	if sink.started {
		return failed(http.StatusBadGateway, ran, "answer_broken", "the answer broke off; send the call again with the same Idempotency-Key"), false
	}
	if ctx.Err() != nil {
		return r.contextError(ctx, unknown), false
	}
	askedAt := r.now()
	voidAnswer := r.void(ctx, c.row.Address, c.row.Incarnation, c.row.RequestID)
	if voidAnswer == claimer.VoidDone && runResult.runError != nil {
		// The join may have reached the sidecar before the run message. The run has completed since, so its response is
		// available now.
		if resp, runResult = r.join(ctx, c.row.Address, c.row.Incarnation, c.row.RequestID, 0); resp != nil { //nolint:bodyclose // As above.
			if runResult = r.copyServiceResponse(resp, cl, &d, sink); runResult == nil {
				r.storeResponse(ctx, &c, sink)
				return nil, false
			}
			return failed(http.StatusBadGateway, ran, "answer_broken", "the answer broke off; send the call again with the same Idempotency-Key"), false
		}
	}
	sink.w.Header().Del(replayedHeader)
	switch {
	case voidAnswer == claimer.VoidDone && runResult.runError != nil:
		return failed(http.StatusConflict, ran, "answer_not_kept", "the call ran and its answer is no longer kept; read the state of the call"), false
	case voidAnswer == claimer.VoidRunning || voidAnswer == claimer.VoidDone:
		return nil, true
	}
	return r.applyDecision(ctx, cl, c, claimer.AfterVoid(*c.asClaim(), voidAnswer, askedAt), newClaim, sink)
}
