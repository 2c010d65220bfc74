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

// HeartbeatPath is the path at which an entry receives heartbeats from sidecars.
const HeartbeatPath = messenger.PathPrefix + "heartbeat"

const (
	// heartbeatTimeout bounds one heartbeat, so that an unresponsive entry does not delay the updates of other entries.
	heartbeatTimeout = 2 * time.Second
	// discoveryInterval is the interval at which a sidecar that no entry answers looks for entries in the platform's VM
	// list.
	discoveryInterval = 2 * time.Second
	// relistInterval is how often the list is read while an entry answers, since its replies name the other entries.
	// Reading the list at every discoveryInterval would be 90% of a sidecar's control traffic at 750 VMs
	// (docs/CAPACITY.md).
	relistInterval = time.Minute
	// relistJitter spreads these reads, so that sidecars started at the same time do not read simultaneously.
	relistJitter = 20 * time.Second
	// recentAnswerWindow is how recent an entry's reply must be for relistInterval to apply. It is twice the longest
	// heartbeat interval.
	recentAnswerWindow = time.Minute
	// unreachableTimeout is how long heartbeats are sent to an entry without a reply before it is removed. Only the
	// platform's list or another entry's reply adds it again.
	unreachableTimeout = time.Minute
)

// entryList holds the entries that receive heartbeats.
type entryList struct {
	mu sync.Mutex
	// peers is keyed by address.
	peers map[string]*peer
}

// peer is the sidecar's state for one entry.
type peer struct {
	address string
	// hash is the hash of the descriptor that the entry has.
	hash string
	// resident is the residency that the entry has, after deltaSequence deltas since its last full descriptor.
	resident      []string
	deltaSequence int64
	// answered is the time of the last reply, or of the discovery if there has been none. hasAnswered reports whether
	// there has been a reply.
	answered    time.Duration
	hasAnswered bool
	// pushing is set while a heartbeat is being sent. pushAgain requests another one after it.
	pushing, pushAgain bool
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
	p.answered, p.hasAnswered = now, true
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

// beginPush reports whether the caller may send a heartbeat to p now. If one is already being sent, another one follows
// it.
func (l *entryList) beginPush(p *peer) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.pushing {
		p.pushAgain = true
		return false
	}
	p.pushing, p.pushAgain = true, false
	return true
}

func (l *entryList) endPush(p *peer) (pushAgain bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.pushing = false
	return p.pushAgain
}

// hasNoPushes reports whether no heartbeat is being sent.
func (l *entryList) hasNoPushes() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		if p.pushing {
			return false
		}
	}
	return true
}

// pushHeartbeats sends a heartbeat to every entry without waiting for replies. Each heartbeat ends within
// heartbeatTimeout.
func (d *Dispatcher) pushHeartbeats() {
	for _, p := range d.entries.all() {
		if !d.entries.beginPush(p) {
			continue
		}
		d.spawn(func(ctx context.Context) {
			for {
				d.pushHeartbeat(ctx, p)
				if !d.entries.endPush(p) || ctx.Err() != nil || !d.entries.beginPush(p) {
					return
				}
			}
		})
	}
}

func (d *Dispatcher) pushHeartbeat(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	beat, hash, resident := d.buildHeartbeat(p)
	var reply wire.HeartbeatReply
	err := d.config.Messenger.Call(ctx, p.address, HeartbeatPath, beat, &reply)
	now := d.elapsed()
	if err != nil {
		d.log.Debug().Err(err).Str("Entry", p.address).Msg("sidecar: heartbeat to entry failed")
		// It is unknown what the entry has received, so the next heartbeat contains the full descriptor.
		p.hash = ""
		if now-d.entries.lastAnswer(p) > unreachableTimeout {
			d.entries.remove(p.address)
		}
		return
	}
	d.entries.answered(p, now)
	p.hash, p.resident = hash, resident
	if reply.WantDescriptor {
		p.hash = ""
		d.requestHeartbeat()
	}
	for _, address := range reply.Entries {
		if d.entries.add(address, now) {
			d.requestHeartbeat()
		}
	}
	d.observeFreshness(reply.Freshness)
}

// buildHeartbeat builds the heartbeat for one entry. It contains the full descriptor only if the entry does not have
// it, and otherwise residency changes as a delta.
func (d *Dispatcher) buildHeartbeat(p *peer) (beat wire.Heartbeat, hash string, resident []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	descriptor := d.descriptor()
	resident = d.heldAdapters()
	bare := descriptor
	bare.Resident = []wire.Residency{}
	hash = hashDescriptor(bare)
	beat = wire.Heartbeat{
		VM: descriptor.VM, Incarnation: d.incarnation, Address: descriptor.Address, State: d.state(),
		DescriptorHash: hash, Load: d.currentLoad(), Freshness: d.freshness(),
	}
	switch {
	case p.hash != hash:
		beat.Descriptor = &descriptor
		p.deltaSequence = 0
	case !slices.Equal(p.resident, resident):
		p.deltaSequence++
		beat.ResidencyDelta = &wire.ResidencyDelta{
			Sequence: p.deltaSequence, Added: missingFrom(p.resident, resident), Removed: missingFrom(resident, p.resident),
		}
	}
	return beat, hash, resident
}

// missingFrom returns the elements of list that are not in have. Both must be sorted.
func missingFrom(have, list []string) []string {
	missing := []string{}
	for _, name := range list {
		if _, found := slices.BinarySearch(have, name); !found {
			missing = append(missing, name)
		}
	}
	return missing
}

// hashLength is the number of hex digits in a descriptor hash. 64 bits are enough to distinguish the descriptors of one
// sidecar and keep heartbeats small.
const hashLength = 16

func hashDescriptor(descriptor wire.Descriptor) string {
	// A Descriptor contains only strings, numbers and slices of them, so encoding cannot fail.
	text, _ := json.Marshal(descriptor)
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])[:hashLength]
}

// freshness returns the best known proof of freshness with its current age.
func (d *Dispatcher) freshness() wire.Freshness {
	f := d.proof
	if f.AgeMs >= 0 {
		f.AgeMs += d.now().Sub(d.proofAt).Milliseconds()
	}
	return f
}

// observeFreshness records a proof of freshness if it is newer than the known one.
func (d *Dispatcher) observeFreshness(f wire.Freshness) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observeRevision(f.Revision)
	current := d.freshness()
	if f.AgeMs >= 0 && (f.Revision > current.Revision || f.Revision == current.Revision && (current.AgeMs < 0 || f.AgeMs < current.AgeMs)) {
		d.proof, d.proofAt = f, d.now()
	}
}

// hasRecentAnswer reports whether an entry has replied within recentAnswerWindow.
func (l *entryList) hasRecentAnswer(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		if p.hasAnswered && now-p.answered < recentAnswerWindow {
			return true
		}
	}
	return false
}

// discoverEntries adds the entries in the platform's VM list.
func (d *Dispatcher) discoverEntries(ctx context.Context) {
	now := d.elapsed()
	if now < d.nextListAt && d.entries.hasRecentAnswer(now) {
		return
	}
	d.nextListAt = now + relistInterval + rand.N(relistJitter)
	list, err := d.config.Platform.ListVMs(ctx)
	if err != nil {
		d.log.Debug().Err(err).Msg("sidecar: failed to read the platform's VM list")
		return
	}
	for _, vm := range list {
		if vm.Role == string(wire.DescriptorRoleEntry) && d.entries.add(vm.Address, d.elapsed()) {
			d.requestHeartbeat()
		}
	}
}

// heartbeatLoop sends heartbeats at the configured interval and whenever requestHeartbeat is called.
func (d *Dispatcher) heartbeatLoop(ctx context.Context) error {
	ticker := time.NewTicker(d.config.Settings.Heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-d.heartbeatRequested:
		case <-ctx.Done():
			return ctx.Err()
		}
		d.pushHeartbeats()
	}
}
