package dispatcher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"geraniumladder/internal/messenger"
	"geraniumladder/internal/wire"
)

// HeartbeatPath is where an entry takes the heartbeats of sidecars.
const HeartbeatPath = messenger.PathPrefix + "heartbeat"

const (
	// heartbeatTimeout bounds one push, so that one silent entry does not delay the others' news.
	heartbeatTimeout = 2 * time.Second
	// listEvery paces the look for entries, by which the first one is found in the platform's list.
	listEvery = 2 * time.Second
	// relistEvery is how often the list is read while an entry answers, whose answers name the others. Reading it
	// each time would be nine tenths of a sidecar's control bytes at 750 VMs (docs/CAPACITY.md).
	relistEvery = time.Minute
	// relistSpread spreads these reads, so that sidecars that were started together do not read together.
	relistSpread = 20 * time.Second
	// answeredWithin is how recent an entry's answer must be for the list to be left alone: two of the longest
	// heartbeat intervals.
	answeredWithin = time.Minute
	// unreachableFor is how long an entry is pushed to without an answer before only the list brings it back.
	unreachableFor = time.Minute
)

// entryList holds the entries that heartbeats go to.
type entryList struct {
	mu sync.Mutex
	// peers by address.
	peers map[string]*peer
}

// peer is one entry as the sidecar knows it.
type peer struct {
	address string
	// hash is that of the descriptor that the entry has.
	hash string
	// resident is the residency that the entry has, after deltas changes since its descriptor.
	resident []string
	deltas   int64
	// answered is the time of the last answer, or of the discovery; heard says that there was an answer.
	answered time.Duration
	heard    bool
	// busy says that a push is under way; again asks for another one after it.
	busy, again bool
}

func newEntryList() *entryList { return &entryList{peers: map[string]*peer{}} }

func (l *entryList) add(address string, now time.Duration) (added bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if address == "" || l.peers[address] != nil {
		return false
	}
	l.peers[address] = &peer{address: address, answered: now}
	return true
}

func (l *entryList) all() []*peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	peers := make([]*peer, 0, len(l.peers))
	for _, p := range l.peers {
		peers = append(peers, p)
	}
	return peers
}

func (l *entryList) answered(p *peer, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.answered, p.heard = now, true
}

func (l *entryList) lastAnswer(p *peer) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return p.answered
}

func (l *entryList) remove(address string) {
	l.mu.Lock()
	delete(l.peers, address)
	l.mu.Unlock()
}

// claim says whether the caller may push to p now; otherwise the push under way is followed by another.
func (l *entryList) claim(p *peer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.busy {
		p.again = true
		return false
	}
	p.busy, p.again = true, false
	return true
}

func (l *entryList) done(p *peer) (again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.busy = false
	return p.again
}

// quiet says whether no push is under way.
func (l *entryList) quiet() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		if p.busy {
			return false
		}
	}
	return true
}

// push sends the news to all entries and returns at once; the pushes end by themselves within heartbeatTimeout.
func (d *Dispatcher) push() {
	for _, p := range d.entries.all() {
		if !d.entries.claim(p) {
			continue
		}
		d.spawn(func(ctx context.Context) {
			for {
				d.pushTo(ctx, p)
				if !d.entries.done(p) || ctx.Err() != nil || !d.entries.claim(p) {
					return
				}
			}
		})
	}
}

func (d *Dispatcher) pushTo(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	beat, hash, resident := d.heartbeat(p)
	var reply wire.HeartbeatReply
	err := d.config.Messenger.Call(ctx, p.address, HeartbeatPath, beat, &reply)
	now := d.elapsed()
	if err != nil {
		d.log.Debug().Err(err).Str("Entry", p.address).Msg("sidecar: heartbeat not answered")
		// What the entry has is not known, so it gets the full descriptor next.
		p.hash = ""
		if now-d.entries.lastAnswer(p) > unreachableFor {
			d.entries.remove(p.address)
		}
		return
	}
	d.entries.answered(p, now)
	p.hash, p.resident = hash, resident
	if reply.WantDescriptor {
		p.hash = ""
		d.wake()
	}
	for _, address := range reply.Entries {
		if d.entries.add(address, now) {
			d.wake()
		}
	}
	d.observe(reply.Freshness)
}

// heartbeat builds the news for one entry: the full descriptor only when the entry does not have it, residency as
// the difference from what the entry has.
func (d *Dispatcher) heartbeat(p *peer) (beat wire.Heartbeat, hash string, resident []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	descriptor := d.descriptor()
	resident = d.held()
	bare := descriptor
	bare.Resident = []wire.Residency{}
	hash = hashOf(bare)
	beat = wire.Heartbeat{
		VM: descriptor.VM, Incarnation: d.incarnation, Address: descriptor.Address, State: d.state(),
		DescriptorHash: hash, Load: d.currentLoad(), Freshness: d.freshness(),
	}
	switch {
	case p.hash != hash:
		beat.Descriptor = &descriptor
		p.deltas = 0
	case !slices.Equal(p.resident, resident):
		p.deltas++
		beat.ResidencyDelta = &wire.ResidencyDelta{
			Sequence: p.deltas, Added: missingFrom(p.resident, resident), Removed: missingFrom(resident, p.resident),
		}
	}
	return beat, hash, resident
}

// missingFrom returns the elements of list that have lacks; both are sorted.
func missingFrom(have, list []string) []string {
	missing := []string{}
	for _, name := range list {
		if _, found := slices.BinarySearch(have, name); !found {
			missing = append(missing, name)
		}
	}
	return missing
}

// hashLength keeps heartbeats small; 64 bits tell the descriptors of one sidecar apart.
const hashLength = 16

func hashOf(descriptor wire.Descriptor) string {
	// A Descriptor holds only strings, numbers and slices of them, which always encode.
	text, _ := json.Marshal(descriptor)
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])[:hashLength]
}

// freshness relays the best proof known, with its age.
func (d *Dispatcher) freshness() wire.Freshness {
	f := d.proof
	if f.AgeMs >= 0 {
		f.AgeMs += d.now().Sub(d.proofAt).Milliseconds()
	}
	return f
}

// observe takes in a proof of the newest revision.
func (d *Dispatcher) observe(f wire.Freshness) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeRevision(f.Revision)
	current := d.freshness()
	if f.AgeMs >= 0 && (f.Revision > current.Revision || f.Revision == current.Revision && (current.AgeMs < 0 || f.AgeMs < current.AgeMs)) {
		d.proof, d.proofAt = f, d.now()
	}
}

// answering says whether an entry has answered lately.
func (l *entryList) answering(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		if p.heard && now-p.answered < answeredWithin {
			return true
		}
	}
	return false
}

// findEntries adds the entries of the platform's list.
func (d *Dispatcher) findEntries(ctx context.Context) {
	now := d.elapsed()
	if now < d.relistAt && d.entries.answering(now) {
		return
	}
	d.relistAt = now + relistEvery + rand.N(relistSpread)
	list, err := d.config.Platform.List(ctx)
	if err != nil {
		d.log.Debug().Err(err).Msg("sidecar: list of VMs not read")
		return
	}
	for _, vm := range list {
		if vm.Role == string(wire.DescriptorRoleEntry) && d.entries.add(vm.Address, d.elapsed()) {
			d.wake()
		}
	}
}

// heartbeats pushes the news at each interval and whenever something has changed.
func (d *Dispatcher) heartbeats(ctx context.Context) error {
	every := time.NewTicker(d.config.Settings.Heartbeat)
	defer every.Stop()
	for {
		select {
		case <-every.C:
		case <-d.kick:
		case <-ctx.Done():
			return ctx.Err()
		}
		d.push()
	}
}
