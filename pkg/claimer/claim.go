package claimer

import "time"

// Outcome states whether a call ran. It is the value of the Geraniumladder-Outcome header.
type Outcome string

// The outcomes.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// SendResult is what the sender of a run message knows about its delivery after an error.
type SendResult int

// The delivery states of a run message, which is sent once, on one connection.
const (
	// Broken means that a connection was established, so the message may have arrived.
	Broken SendResult = iota
	// NotConnected means that no connection was established, so nothing was sent.
	NotConnected
	// Refused means that the sidecar replied with the outcome not-run on the message's own connection
	// (late, voided, wrong incarnation, leaving, queue full).
	Refused
	// Failed means that the sidecar replied with the outcome ran.
	Failed
)

// VoidAnswer is the result of asking a sidecar to void a request.
type VoidAnswer int

// The results of a void message.
const (
	VoidNotAsked VoidAnswer = iota
	VoidNotStarted
	VoidRunning
	VoidDone
	// VoidWrongIncarnation means that the sidecar has restarted and what its previous incarnation did is unknown.
	VoidWrongIncarnation
	VoidNoResponse
)

// VoidAnswerFromState converts a result of Guard.Void.
func VoidAnswerFromState(s VoidState) VoidAnswer {
	return [...]VoidAnswer{NotStarted: VoidNotStarted, Running: VoidRunning, Done: VoidDone}[s]
}

// VoidAnswerFromVerdict converts a result of Guard.Join.
func VoidAnswerFromVerdict(v Verdict) VoidAnswer {
	switch v {
	case Voided:
		return VoidNotStarted
	case Replay:
		return VoidDone
	case WrongIncarnation:
		return VoidWrongIncarnation
	default:
		return VoidRunning
	}
}

// DeliveryState is what an entry knows about an attempt after an error.
type DeliveryState struct {
	SendResult SendResult
	Void       VoidAnswer
	// Elapsed is the time from just before sending the run message to sending the void message.
	Elapsed time.Duration
	// Remember is the retention period of request IDs at sidecars; DefaultRetention if 0.
	Remember time.Duration
}

// AfterError returns the outcome of an attempt that failed with an error. A call that is not repeatable may be sent
// again only after NotRun. With VoidRunning the outcome is still open: the entry joins the run until the request's
// deadline.
func AfterError(k DeliveryState) Outcome {
	switch {
	case k.SendResult == Failed || k.Void == VoidDone:
		return Ran
	case k.SendResult == NotConnected || k.SendResult == Refused:
		return NotRun
	case k.Void == VoidNotStarted && k.Elapsed < proofWindow(k.Remember):
		return NotRun
	default:
		return Unknown
	}
}

// State is the state of a claim row.
type State string

// The states of claim rows, as in wire.ClaimRow.
const (
	StateClaimed       State = "claimed"
	StateDone          State = "done"
	StateUnknown       State = "unknown"
	StateNotRun        State = "not-run"
	StateSettledRan    State = "settled-ran"
	StateSettledNotRun State = "settled-not-run"
)

// Sidecar identifies the sidecar incarnation to which a claimed call was assigned.
type Sidecar struct {
	Endpoint    string
	Address     string
	Incarnation string
}

// Claim holds the fields of a claim row that Decide and AfterVoid evaluate.
type Claim struct {
	// RequestID is unique for each request that an entry receives, so it also identifies the writer of the row.
	RequestID string
	// Digest is a hash over method, path, query and body.
	Digest  string
	Entry   string
	Sidecar Sidecar
	// Attempt increases by 1 with each assignment of the call to a sidecar.
	Attempt int
	State   State
	Created time.Time
	// Remember is the retention period of request IDs at sidecars; DefaultRetention if 0.
	Remember time.Duration
}

// MaxClockSkew is the allowed difference between the wall clocks of two VMs. Signatures with a larger one are rejected.
const MaxClockSkew = 30 * time.Second

// Kind is the kind of a Decision.
type Kind int

// The kinds of decisions.
const (
	// Insert means that no claim exists: insert one if it is still absent, then dispatch.
	Insert Kind = iota
	// OwnWrite means that the row is the caller's own write whose response was lost: dispatch unless already done.
	OwnWrite
	// ReturnStored means that the call has completed: return the response stored for the row.
	ReturnStored
	// JoinAt means that the call was assigned to Decision.Sidecar: join the run there, and pass any answer other than
	// a response to AfterVoid.
	JoinAt
	// Takeover means that the call has not run: replace the row, conditional on its version, by one with
	// Decision.Attempt, then dispatch.
	Takeover
	// DigestMismatch means that the idempotency key was used for a different request.
	DigestMismatch
	// Undecidable means that it cannot be proven whether the call ran; an operator has to settle it.
	Undecidable
	// SettledRan means that an operator has settled the call as run; there is no stored response.
	SettledRan
)

// Decision is the next step for a claimed call.
type Decision struct {
	Kind Kind
	// Sidecar and RequestID identify the run to join, for JoinAt.
	Sidecar   Sidecar
	RequestID string
	// Attempt is the attempt number of the row to write (Insert, Takeover) or of the existing row (Own, JoinAt).
	Attempt int
	// Record means that StateUnknown is to be written to the row, for Undecidable.
	Record bool
}

// Decide returns the next step for the entry that made the claim mine, given the row it read; existing is nil if there
// is no row.
func Decide(existing *Claim, mine Claim, now time.Time) Decision {
	if existing == nil {
		return Decision{Kind: Insert, Attempt: 1}
	}
	if existing.Digest != mine.Digest {
		return Decision{Kind: DigestMismatch}
	}
	switch existing.State {
	case StateDone:
		return Decision{Kind: ReturnStored}
	case StateNotRun, StateSettledNotRun:
		return Decision{Kind: Takeover, Attempt: existing.Attempt + 1}
	case StateSettledRan:
		return Decision{Kind: SettledRan}
	case StateClaimed:
	default:
		return Decision{Kind: Undecidable}
	}
	if existing.RequestID == mine.RequestID && existing.Attempt == mine.Attempt {
		return Decision{Kind: OwnWrite, Attempt: existing.Attempt}
	}
	if !existing.isProvable(now) {
		return Decision{Kind: Undecidable, Record: true}
	}
	return existing.joinDecision()
}

// AfterVoid returns the next step for a claimed call once its sidecar has answered, or failed to answer, a join or void
// message sent at askedAt.
func AfterVoid(existing Claim, answer VoidAnswer, askedAt time.Time) Decision {
	switch {
	case answer == VoidNotStarted && existing.isProvable(askedAt):
		return Decision{Kind: Takeover, Attempt: existing.Attempt + 1}
	case answer == VoidRunning || answer == VoidDone:
		return existing.joinDecision()
	default:
		// A sidecar that did not answer may still answer a later caller, so the row is left as it is in that case.
		return Decision{Kind: Undecidable, Record: answer != VoidNoResponse}
	}
}

// isProvable reports whether the sidecar still has a record of the call if the call ran there. Once the record has
// expired, a void message for a call that ran would be answered with NotStarted. Counting from the creation of the
// claim is safe, because it precedes the end of the run.
func (c Claim) isProvable(now time.Time) bool {
	return now.Before(c.Created.Add(proofWindow(c.Remember)))
}

// proofWindow is how long the answer NotStarted proves that a call has not run. It is shorter than the retention period
// by twice the clock skew, to cover the clocks of two entries and a sidecar.
func proofWindow(remember time.Duration) time.Duration {
	if remember == 0 {
		remember = DefaultRetention
	}
	return remember - 2*MaxClockSkew
}

func (c Claim) joinDecision() Decision {
	return Decision{Kind: JoinAt, Sidecar: c.Sidecar, RequestID: c.RequestID, Attempt: c.Attempt}
}
