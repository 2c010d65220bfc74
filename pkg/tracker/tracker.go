// Package tracker implements the membership table of one process, which merges the platform's VM list with the members'
// descriptors and heartbeats. The table is an immutable Table value that only the process receiving the messages may
// replace. It depends on no store: heartbeats come directly from the members, so membership is unaffected if the store
// is unavailable.
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
	// Starting means that the member is listed but has not sent a heartbeat, that its descriptor is missing, or that it
	// reports this state itself (while its engine restarts).
	Starting State = iota + 1
	// Live means that the member may be assigned work.
	Live
	// Suspect means that no heartbeat has been accepted for Config.SuspectAfter.
	Suspect
	// Leaving means that the member is shutting down. The state lasts until a heartbeat of a newer incarnation arrives.
	Leaving
	// Gone means that no heartbeat has been accepted for Config.ForgetAfter, or for Config.SuspectAfter if the VM has been
	// removed from the list. A VM that never sent one is gone once it is removed.
	Gone
)

// String returns the state's name on the wire.
func (s State) String() string {
	names := [...]string{"none", "starting", "live", "suspect", "leaving", "gone"}
	if s < 0 || int(s) >= len(names) {
		return "none"
	}
	return names[s]
}

// Role is the role of a process in the cluster.
type Role string

// The roles.
const (
	Entry   Role = "entry"
	Sidecar Role = "sidecar"
)

// Config configures a Table.
type Config struct {
	// HeartbeatEvery is the members' heartbeat interval; 5 s if 0.
	HeartbeatEvery time.Duration
	// SuspectAfter is the time without a heartbeat after which a member is suspect; 2.5 times HeartbeatEvery if 0, so
	// that a single lost heartbeat does not make a member suspect.
	SuspectAfter time.Duration
	// ForgetAfter is the time without a heartbeat after which a member is gone; 12 times HeartbeatEvery if 0.
	ForgetAfter time.Duration
	// ProtocolMin and ProtocolMax are the range of protocol versions that this process supports. ProtocolMin is at least
	// 1, and ProtocolMax at least ProtocolMin.
	ProtocolMin, ProtocolMax int
}

// ListedVM is one entry of the platform's VM list.
type ListedVM struct {
	VM            string
	Address       string
	FailureDomain string
	Role          Role
	Leaving       bool
}

// Descriptor describes a member. The table evaluates the named fields and only stores Detail for the caller.
type Descriptor[D any] struct {
	Role          Role
	FailureDomain string
	ProtocolMin   int
	ProtocolMax   int
	Detail        D
}

// Heartbeat is one heartbeat message of a member.
type Heartbeat[D any] struct {
	VM string
	// Incarnation identifies a run of the process. Compared as strings, incarnations are in the order of start times.
	Incarnation string
	Address     string
	// State is Starting, Live or Leaving.
	State State
	// Sequence increases with each heartbeat of an incarnation (Load.Sequence on the wire).
	Sequence int64
	// Hash is the hash of the member's current descriptor.
	Hash string
	// Descriptor is nil if the member assumes that the receiver already has it.
	Descriptor *Descriptor[D]
}

// Reply is the result of processing a heartbeat.
type Reply struct {
	// WantDescriptor requests the member's descriptor.
	WantDescriptor bool
	// Dropped means that the message was outdated or incompatible and did not change the table.
	Dropped bool
	// NewIncarnation means that this is the first message of an incarnation.
	NewIncarnation bool
	// NewDescriptor means that the member's descriptor was replaced.
	NewDescriptor bool
}

// Member is the state of one member at the time passed to Members or Member.
type Member[D any] struct {
	VM            string
	Address       string
	FailureDomain string
	Role          Role
	State         State
	// Incarnation is empty for a listed VM that has not sent a heartbeat.
	Incarnation string
	// Hash is the hash of the stored descriptor; empty if there is none.
	Hash string
	// Detail is the stored descriptor's Detail; the zero value if Hash is empty.
	Detail D
	// Silence is the time since the last heartbeat that was not dropped; 0 if there was none.
	Silence time.Duration
	// Listed means that the VM is on the most recent VM list.
	Listed bool
}

// IncompatibleError means that a member and this process have no protocol version in common.
type IncompatibleError struct {
	VM                 string
	PeerMin, PeerMax   int
	LocalMin, LocalMax int
}

// Error states both version ranges and the remedy.
func (e *IncompatibleError) Error() string {
	return fmt.Sprintf("%s speaks protocol versions %d to %d and this process %d to %d: run releases whose ranges overlap",
		e.VM, e.PeerMin, e.PeerMax, e.LocalMin, e.LocalMax)
}

// record is the table's state for one VM.
type record[D any] struct {
	vm            string
	incarnation   string
	address       string
	state         State // Starting, Live or Leaving; Leaving is final for the incarnation
	sequence      int64
	lastHeartbeat time.Duration
	hash          string
	descriptor    Descriptor[D]
	// list is the VM's most recent list entry. listed means that the VM is on the most recent list, and wasListed that it
	// has been on any list.
	list              ListedVM
	listed, wasListed bool
}

// Table is the membership table of one process. It is immutable: methods that change it return a new value.
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

// WithHeartbeat applies a heartbeat. A message of an older incarnation, or whose sequence is not higher than the last
// one, is dropped. A descriptor with an incompatible protocol range is rejected with an IncompatibleError and does not
// change the table.
func (t Table[D]) WithHeartbeat(h Heartbeat[D], now time.Duration) (Table[D], Reply, error) {
	if d := h.Descriptor; d != nil && (d.ProtocolMax < t.config.ProtocolMin || d.ProtocolMin > t.config.ProtocolMax) {
		return t, Reply{Dropped: true}, &IncompatibleError{VM: h.VM, PeerMin: d.ProtocolMin, PeerMax: d.ProtocolMax,
			LocalMin: t.config.ProtocolMin, LocalMax: t.config.ProtocolMax}
	}
	var next record[D]
	index, known := t.find(h.VM)
	if known {
		next = *t.records[index]
	}
	next.vm = h.VM
	reply := Reply{NewIncarnation: !known || h.Incarnation > next.incarnation}
	switch {
	case reply.NewIncarnation:
		// The list does not contain incarnations and may be outdated. If the first heartbeat of a VM arrives while the VM
		// is listed as leaving, the member is leaving. If the process of a known VM has restarted, the state in its
		// heartbeat counts, even if the VM is listed as leaving, until the list changes.
		isFirstHeard := next.incarnation == ""
		next = record[D]{vm: h.VM, incarnation: h.Incarnation, list: next.list, listed: next.listed, wasListed: next.wasListed}
		if isFirstHeard && next.listed && next.list.Leaving {
			next.state = Leaving
		}
	case h.Incarnation < next.incarnation || h.Sequence <= next.sequence:
		return t, Reply{Dropped: true}, nil
	}
	next.sequence, next.lastHeartbeat, next.address = h.Sequence, max(next.lastHeartbeat, now), h.Address
	if next.state != Leaving {
		next.state = h.State
	}
	if h.Descriptor != nil && next.hash != h.Hash {
		next.descriptor, next.hash = *h.Descriptor, h.Hash
		reply.NewDescriptor = true
	}
	reply.WantDescriptor = next.hash != h.Hash
	return t.withRecord(index, known, &next), reply, nil
}

// WithList applies the platform's VM list, which may be outdated. If a VM changes to leaving on the list, that is final
// for its current incarnation. A VM that has been removed from the list is gone once it is without heartbeats for
// Config.SuspectAfter.
func (t Table[D]) WithList(list []ListedVM, _ time.Duration) Table[D] {
	byVM := make(map[string]ListedVM, len(list))
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

// WithoutForgotten removes the members that are not listed and have sent no heartbeat for ten times Config.ForgetAfter.
// Their incarnations are kept until then, so that a delayed message cannot make a member that has left live again.
func (t Table[D]) WithoutForgotten(now time.Duration) Table[D] {
	t.records = slices.DeleteFunc(slices.Clone(t.records), func(r *record[D]) bool {
		return !r.listed && now-r.lastHeartbeat >= 10*t.config.ForgetAfter
	})
	return t
}

// Members returns all members at the time now, sorted by VM.
func (t Table[D]) Members(now time.Duration) []Member[D] {
	members := make([]Member[D], 0, len(t.records))
	for _, r := range t.records {
		members = append(members, t.member(r, now))
	}
	return members
}

// Member returns one member at the time now.
func (t Table[D]) Member(vm string, now time.Duration) (Member[D], bool) {
	index, ok := t.find(vm)
	if !ok {
		return Member[D]{}, false
	}
	return t.member(t.records[index], now), true
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
	m.Silence = max(now-r.lastHeartbeat, 0)
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

func (t Table[D]) withRecord(index int, replace bool, r *record[D]) Table[D] {
	records := make([]*record[D], 0, len(t.records)+1)
	records = append(append(records, t.records[:index]...), r)
	if replace {
		index++
	}
	t.records = append(records, t.records[index:]...)
	return t
}
