package claimer

import "time"

// Outcome says whether a call ran, as in the header Geraniumladder-Outcome.
type Outcome string

// The outcomes.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Sent says what the sender of a run message knows about it after an error.
type Sent int

// What became of a run message. The message is sent once, on one connection.
const (
	// Broken means that the connection had been opened, so that the message may have arrived.
	Broken Sent = iota
	// NeverOpened means that no connection was opened, so that nothing was sent.
	NeverOpened
	// Refused means that the sidecar answered with the outcome not-run on the connection of the message
	// (late, voided, wrong incarnation, leaving, queue full).
	Refused
	// Failed means that the sidecar answered with the outcome ran.
	Failed
)

// VoidAnswer is what came of asking the sidecar to void the request.
type VoidAnswer int

// The answers to a void message.
const (
	VoidNotAsked VoidAnswer = iota
	VoidNotStarted
	VoidRunning
	VoidDone
	// VoidWrongIncarnation means that the process has been replaced and what the one before did is not known.
	VoidWrongIncarnation
	VoidNoAnswer
)

// AnswerOf converts the state that Guard.Void returned.
func AnswerOf(s VoidState) VoidAnswer {
	return [...]VoidAnswer{NotStarted: VoidNotStarted, Running: VoidRunning, Done: VoidDone}[s]
}

// AnswerOfJoin converts the verdict that Guard.Join returned.
func AnswerOfJoin(v Verdict) VoidAnswer {
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

// Known is what an entry knows about one attempt after an error.
type Known struct {
	Sent Sent
	Void VoidAnswer
	// Elapsed is the time from before the run message was sent until the void message was sent.
	Elapsed time.Duration
	// Remember is how long sidecars remember request IDs; DefaultRemember when 0.
	Remember time.Duration
}

// AfterError decides the outcome of one attempt. Only NotRun allows a call that may not be repeated to be sent again.
// For VoidRunning the outcome is still open: the entry joins the run for the rest of the request's time.
func AfterError(k Known) Outcome {
	switch {
	case k.Sent == Failed || k.Void == VoidDone:
		return Ran
	case k.Sent == NeverOpened || k.Sent == Refused:
		return NotRun
	case k.Void == VoidNotStarted && k.Elapsed < trusted(k.Remember):
		return NotRun
	default:
		return Unknown
	}
}

// State is the state of a claim row.
type State string

// The states of claims, as in wire.ClaimRow.
const (
	StateClaimed       State = "claimed"
	StateDone          State = "done"
	StateUnknown       State = "unknown"
	StateNotRun        State = "not-run"
	StateSettledRan    State = "settled-ran"
	StateSettledNotRun State = "settled-not-run"
)

// Sidecar names the run of a sidecar to which a claimed call was assigned.
type Sidecar struct {
	Endpoint    string
	Address     string
	Incarnation string
}

// Claim is the part of a claim row on which decisions rest.
type Claim struct {
	// RequestID is unique for each request that an entry receives, so it also marks the writer of the row.
	RequestID string
	// Digest covers method, path, query and body.
	Digest  string
	Entry   string
	Sidecar Sidecar
	// Attempt rises by 1 with each assignment of the call to a sidecar.
	Attempt int
	State   State
	Created time.Time
	// Remember is how long sidecars remember request IDs; DefaultRemember when 0.
	Remember time.Duration
}

// clockSkew is the allowed difference between the wall clocks of two VMs; signatures are refused beyond it.
const clockSkew = 30 * time.Second

// Kind tells the decisions about a claim apart.
type Kind int

// The kinds of decisions.
const (
	// Insert means that there is no claim: write one, if still absent, and then dispatch.
	Insert Kind = iota
	// Own means that the row is the asking entry's own write, whose answer was lost: dispatch unless that was done.
	Own
	// Return means that the stored response is in the row.
	Return
	// JoinAt means that Decision.Sidecar has the call. Join there, and give an answer other than a response to AfterVoid.
	JoinAt
	// Takeover means that the call has not run: replace the row at its version by one with Decision.Attempt, then dispatch.
	Takeover
	// DigestMismatch means that the key was used for another request.
	DigestMismatch
	// Undecidable means that nobody can prove whether the call ran; operators settle it.
	Undecidable
	// SettledRan means that operators have settled the call as ran; there is no stored response.
	SettledRan
)

// Decision says what to do about a claim.
type Decision struct {
	Kind Kind
	// Sidecar and RequestID name the run to join, for JoinAt.
	Sidecar   Sidecar
	RequestID string
	// Attempt is the number for the new row, for Insert and Takeover.
	Attempt int
	// Record means that the row is to be written with StateUnknown, for Undecidable.
	Record bool
}

// Decide says what the entry that made mine does, given the row it read; existing is nil when there is none.
func Decide(existing *Claim, mine Claim, now time.Time) Decision {
	if existing == nil {
		return Decision{Kind: Insert, Attempt: 1}
	}
	if existing.Digest != mine.Digest {
		return Decision{Kind: DigestMismatch}
	}
	switch existing.State {
	case StateDone:
		return Decision{Kind: Return}
	case StateNotRun, StateSettledNotRun:
		return Decision{Kind: Takeover, Attempt: existing.Attempt + 1}
	case StateSettledRan:
		return Decision{Kind: SettledRan}
	case StateClaimed:
	default:
		return Decision{Kind: Undecidable}
	}
	if existing.RequestID == mine.RequestID && existing.Attempt == mine.Attempt {
		return Decision{Kind: Own, Attempt: existing.Attempt}
	}
	if !existing.provable(now) {
		return Decision{Kind: Undecidable, Record: true}
	}
	return existing.joined()
}

// AfterVoid says what to do about a claimed call once its sidecar has answered, or failed to answer, a join or void
// message that was sent at the time asked.
func AfterVoid(existing Claim, answer VoidAnswer, asked time.Time) Decision {
	switch {
	case answer == VoidNotStarted && existing.provable(asked):
		return Decision{Kind: Takeover, Attempt: existing.Attempt + 1}
	case answer == VoidRunning || answer == VoidDone:
		return existing.joined()
	default:
		// A sidecar that did not answer may answer the next caller, so only a replaced one is recorded.
		return Decision{Kind: Undecidable, Record: answer != VoidNoAnswer}
	}
}

// provable says whether the sidecar still remembers the call if it ran there. After that time a void message for
// a call that ran would be answered with NotStarted. The call was created before its run ended, so counting from
// its creation is safe.
func (c Claim) provable(now time.Time) bool {
	return now.Before(c.Created.Add(trusted(c.Remember)))
}

// trusted is how long an answer NotStarted proves anything. The skew covers the clocks of two entries and a sidecar.
func trusted(remember time.Duration) time.Duration {
	if remember == 0 {
		remember = DefaultRemember
	}
	return remember - 2*clockSkew
}

func (c Claim) joined() Decision {
	return Decision{Kind: JoinAt, Sidecar: c.Sidecar, RequestID: c.RequestID, Attempt: c.Attempt}
}
