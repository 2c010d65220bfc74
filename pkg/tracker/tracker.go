// Package tracker joins the platform's VM list, descriptors and heartbeats into the members as one process sees
// them. It owns that table as an immutable Table value; only the process that receives the messages may replace it.
// It uses no store: heartbeats come from the members themselves, so an unavailable store changes nothing.
package tracker

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// State is the state of a member.
type State int

// The states of a member.
const (
	// Starting means that the member is listed but has not been heard of, that its descriptor is missing, or that
	// it says so itself (its engine restarts).
	Starting State = iota + 1
	// Live means that the member may get work.
	Live
	// Suspect means that the member has not been heard of for Config.SuspectAfter.
	Suspect
	// Leaving means that the member stops; it stays so until a newer incarnation is heard of.
	Leaving
	// Gone means that the member has not been heard of for Config.ForgetAfter, or that it is silent and off the list.
	Gone
)

// String returns the state's name as the messages have it.
func (s State) String() string {
	names := [...]string{"none", "starting", "live", "suspect", "leaving", "gone"}
	if s < 0 || int(s) >= len(names) {
		return "none"
	}
	return names[s]
}

// Role is the kind of process.
type Role string

// The roles.
const (
	Entry   Role = "entry"
	Sidecar Role = "sidecar"
)

// Config configures a Table.
type Config struct {
	// HeartbeatEvery is the time between a member's heartbeats; 5 s when 0.
	HeartbeatEvery time.Duration
	// SuspectAfter is the silence after which a member is suspect; 2.5 times HeartbeatEvery when 0, so that one lost
	// heartbeat makes no member suspect.
	SuspectAfter time.Duration
	// ForgetAfter is the silence after which a member is gone; 12 times HeartbeatEvery when 0.
	ForgetAfter time.Duration
	// ProtocolMin and ProtocolMax are the protocol versions that this process speaks; 1 when 0.
	ProtocolMin, ProtocolMax int
}

// Listed is one VM of the platform's list.
type Listed struct {
	VM            string
	Address       string
	FailureDomain string
	Role          Role
	Leaving       bool
}

// Descriptor is a member's description, of which the table reads the named fields; Detail is kept for the caller.
type Descriptor[D any] struct {
	Role          Role
	FailureDomain string
	ProtocolMin   int
	ProtocolMax   int
	Detail        D
}

// Heartbeat is one message of a member.
type Heartbeat[D any] struct {
	VM string
	// Incarnation sorts by the start time of the process, as a string.
	Incarnation string
	Address     string
	// State is Starting, Live or Leaving.
	State State
	// Sequence rises with each heartbeat of one incarnation (Load.Sequence on the wire).
	Sequence int64
	// Hash is that of the member's current descriptor.
	Hash string
	// Descriptor is nil when the member believes that the receiver has it.
	Descriptor *Descriptor[D]
}

// Reply is what the receiver of a heartbeat does about it.
type Reply struct {
	// WantDescriptor asks the member to send its descriptor.
	WantDescriptor bool
	// Dropped means that the message was older than what is known, and changed nothing.
	Dropped bool
	// NewIncarnation means that this is the first message of a process.
	NewIncarnation bool
	// NewDescriptor means that the member's descriptor was replaced.
	NewDescriptor bool
}

// Member is one member as of the time passed to Members.
type Member[D any] struct {
	VM            string
	Address       string
	FailureDomain string
	Role          Role
	State         State
	// Incarnation is empty for a VM that is only listed.
	Incarnation string
	// Hash is that of the descriptor held; empty without one.
	Hash string
	// Detail is the descriptor's; the zero value when Hash is empty.
	Detail D
	// Silence is the time since the last message that was not dropped; 0 for a VM that is only listed.
	Silence time.Duration
	// Listed means that the VM is on the platform's last list.
	Listed bool
}

// IncompatibleError means that a member speaks no protocol version of this process.
type IncompatibleError struct {
	VM                 string
	TheirMin, TheirMax int
	OurMin, OurMax     int
}

// Error names both ranges and the remedy.
func (e *IncompatibleError) Error() string {
	return fmt.Sprintf("%s speaks protocol versions %d to %d and this process %d to %d: run releases whose ranges overlap",
		e.VM, e.TheirMin, e.TheirMax, e.OurMin, e.OurMax)
}

// record is what is known of one VM.
type record[D any] struct {
	vm          string
	incarnation string
	address     string
	state       State // Starting, Live or Leaving; Leaving is final for the incarnation.
	sequence    int64
	heard       time.Duration
	hash        string
	descriptor  Descriptor[D]
	// list is the VM's last list entry. listed: it is on the last list; wasListed: it was on some list.
	list              Listed
	listed, wasListed bool
}

// Table is the members as one process sees them. It is immutable: each method returns a new value.
type Table[D any] struct {
	config Config
	// records is sorted by VM.
	records []*record[D]
}

// New returns an empty table.
func New[D any](c Config) Table[D] {
	if c.HeartbeatEvery <= 0 {
		c.HeartbeatEvery = 5 * time.Second
	}
	if c.SuspectAfter <= 0 {
		c.SuspectAfter = c.HeartbeatEvery * 5 / 2
	}
	if c.ForgetAfter <= 0 {
		c.ForgetAfter = c.HeartbeatEvery * 12
	}
	c.ProtocolMin = max(c.ProtocolMin, 1)
	c.ProtocolMax = max(c.ProtocolMax, c.ProtocolMin)
	return Table[D]{config: c}
}

// WithHeartbeat records a member's message. A message of an older incarnation, or with a sequence that is not newer,
// is dropped. A descriptor with an incompatible protocol range is refused with an IncompatibleError and changes nothing.
func (t Table[D]) WithHeartbeat(h Heartbeat[D], now time.Duration) (Table[D], Reply, error) {
	if d := h.Descriptor; d != nil && (d.ProtocolMax < t.config.ProtocolMin || d.ProtocolMin > t.config.ProtocolMax) {
		return t, Reply{Dropped: true}, &IncompatibleError{VM: h.VM, TheirMin: d.ProtocolMin, TheirMax: d.ProtocolMax,
			OurMin: t.config.ProtocolMin, OurMax: t.config.ProtocolMax}
	}
	var next record[D]
	at, known := t.find(h.VM)
	if known {
		next = *t.records[at]
	}
	next.vm = h.VM
	reply := Reply{NewIncarnation: !known || h.Incarnation > next.incarnation}
	switch {
	case reply.NewIncarnation:
		// The list has no incarnations and lags: a VM that was first heard of while it is listed as leaving is taken
		// to leave, but a restarted process of a known VM is believed until the list changes.
		first := next.incarnation == ""
		next = record[D]{vm: h.VM, incarnation: h.Incarnation, list: next.list, listed: next.listed, wasListed: next.wasListed}
		if first && next.listed && next.list.Leaving {
			next.state = Leaving
		}
	case h.Incarnation < next.incarnation || h.Sequence <= next.sequence:
		return t, Reply{Dropped: true}, nil
	}
	next.sequence, next.heard, next.address = h.Sequence, max(next.heard, now), h.Address
	if next.state != Leaving {
		next.state = h.State
	}
	if h.Descriptor != nil && next.hash != h.Hash {
		next.descriptor, next.hash = *h.Descriptor, h.Hash
		reply.NewDescriptor = true
	}
	reply.WantDescriptor = next.hash != h.Hash
	return t.with(at, known, &next), reply, nil
}

// WithList records the platform's list, which may lag. A change of a VM to leaving on the list is final for the
// incarnation known; a VM that was listed and no longer is becomes gone once it is silent.
func (t Table[D]) WithList(list []Listed, _ time.Duration) Table[D] {
	byVM := make(map[string]Listed, len(list))
	for _, l := range list {
		byVM[l.VM] = l
	}
	records := make([]*record[D], 0, len(t.records)+len(list))
	for _, r := range t.records {
		next := *r
		l, listed := byVM[r.vm]
		delete(byVM, r.vm)
		if listed {
			if l.Leaving && (!next.wasListed || !next.list.Leaving) {
				next.state = Leaving
			}
			if next.incarnation == "" && !l.Leaving {
				next.state = Starting
			}
			next.list, next.wasListed = l, true
		}
		next.listed = listed
		records = append(records, &next)
	}
	for _, l := range byVM {
		state := Starting
		if l.Leaving {
			state = Leaving
		}
		records = append(records, &record[D]{vm: l.VM, state: state, list: l, listed: true, wasListed: true})
	}
	slices.SortFunc(records, func(a, b *record[D]) int { return cmp.Compare(a.vm, b.vm) })
	t.records = records
	return t
}

// Pruned drops the members that have been silent for ten times Config.ForgetAfter and are not listed. Until then their
// incarnations are kept, so that a late message makes no member that has left live again.
func (t Table[D]) Pruned(now time.Duration) Table[D] {
	t.records = slices.DeleteFunc(slices.Clone(t.records), func(r *record[D]) bool {
		return !r.listed && now-r.heard >= 10*t.config.ForgetAfter
	})
	return t
}

// Members returns all members with their states at now, sorted by VM.
func (t Table[D]) Members(now time.Duration) []Member[D] {
	members := make([]Member[D], 0, len(t.records))
	for _, r := range t.records {
		members = append(members, t.member(r, now))
	}
	return members
}

// Member returns one member with its state at now.
func (t Table[D]) Member(vm string, now time.Duration) (Member[D], bool) {
	at, ok := t.find(vm)
	if !ok {
		return Member[D]{}, false
	}
	return t.member(t.records[at], now), true
}

func (t Table[D]) member(r *record[D], now time.Duration) Member[D] {
	m := Member[D]{VM: r.vm, Address: r.address, FailureDomain: r.descriptor.FailureDomain, Role: r.descriptor.Role,
		State: r.state, Incarnation: r.incarnation, Hash: r.hash, Detail: r.descriptor.Detail, Listed: r.listed}
	if m.Address == "" {
		m.Address = r.list.Address
	}
	if r.hash == "" {
		m.FailureDomain, m.Role = r.list.FailureDomain, r.list.Role
	}
	if r.incarnation == "" {
		if !r.listed {
			m.State = Gone
		}
		return m
	}
	m.Silence = max(now-r.heard, 0)
	silent := m.Silence >= t.config.SuspectAfter
	switch {
	case m.Silence >= t.config.ForgetAfter, silent && r.wasListed && !r.listed:
		m.State = Gone
	case r.state == Leaving:
	case silent:
		m.State = Suspect
	case r.hash == "":
		m.State = Starting
	}
	return m
}

func (t Table[D]) find(vm string) (int, bool) {
	return slices.BinarySearchFunc(t.records, vm, func(r *record[D], vm string) int { return cmp.Compare(r.vm, vm) })
}

func (t Table[D]) with(at int, replace bool, r *record[D]) Table[D] {
	records := make([]*record[D], 0, len(t.records)+1)
	records = append(append(records, t.records[:at]...), r)
	if replace {
		at++
	}
	t.records = append(records, t.records[at:]...)
	return t
}
