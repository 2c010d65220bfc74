// Package multicaster chooses the recipients of a message that one process sends to all members of a group which is
// spread over failure domains. The members of the sender's own domain get it directly. To each other domain it is sent
// once, to a member that forwards it to the others there.
//
// The load that it answers: each of dozens of engines sends its state to each of dozens of entries several times a
// second, and three quarters of these messages cross a border between failure domains, where bytes are priced.
//
// The forwarding member is another one with each message, in turn, so that no member has to be elected or watched: one
// that is dead, paused or cut off costs its domain the messages of its own turns. With n members, that is one message in
// n, and never two in a row. A message that must not be lost that way is sent through two members. A domain with fewer
// than MinRelays members that can forward gets its messages directly.
//
// ToAll is the policy that it replaces. The package has no clock and uses no store. Randomness is passed in.
package multicaster

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// MinRelays is the least number of members of a domain that can forward for the domain to be reached through them. With
// two, the loss of one would cost half of the messages.
const MinRelays = 3

// changeRelays is the number of members through which a message with a change is sent to a domain.
const changeRelays = 2

// Config configures a Multicaster.
type Config struct {
	// Domain is the failure domain of the sender. If it is empty, all messages are sent directly.
	Domain string
}

// Member is a member of the group.
type Member struct {
	// Name identifies the member in Message.Named. Address is unique.
	Name, Address string
	// Domain is the member's failure domain, or empty if it is unknown or if the others of its domain can't forward to the
	// member. Such a member gets all messages directly.
	Domain string
	// CanRelay is set if the member forwards messages.
	CanRelay bool
}

// Message is what the choice of the recipients depends on.
type Message struct {
	// IsChange is set if the loss of the message would do more harm than that of one of a series of similar ones.
	IsChange bool
	// Named are the members for whom the message has contents of their own. They get it directly.
	Named []string
}

// Recipients are the addresses to which a message is sent. They are sorted.
type Recipients struct {
	// Direct get the message for themselves, and Relays forward it to the members of their domains as well.
	Direct, Relays []string
}

// Count returns the number of datagrams.
func (r Recipients) Count() int { return len(r.Direct) + len(r.Relays) }

// ToAll sends the message directly to each member.
func ToAll(members []Member) Recipients {
	var r Recipients
	for _, m := range members {
		r.Direct = append(r.Direct, m.Address)
	}
	slices.Sort(r.Direct)
	return r
}

// rotation is the order in which the members of a domain take turns.
type rotation struct {
	// rest are the addresses of the members that have not had a turn in this cycle. The order differs from cycle to cycle,
	// so that messages that recur with a period are not always sent through the same member.
	rest []string
	// last is the member that had the last turn. It doesn't get the next one as well.
	last string
}

// next returns the address of the member whose turn it is. relays must not be empty.
func (t rotation) next(relays []string, rng *rand.Rand) (rotation, string) {
	rest := slices.DeleteFunc(slices.Clone(t.rest), func(address string) bool { return !slices.Contains(relays, address) })
	if len(rest) == 0 || len(rest) == 1 && rest[0] == t.last {
		rest = slices.Clone(relays)
		rng.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	}
	if rest[0] == t.last && len(rest) > 1 {
		rest[0], rest[1] = rest[1], rest[0]
	}
	return rotation{rest: rest[1:], last: rest[0]}, rest[0]
}

// Multicaster is the state of one sender: whose turn it is in each domain. It is an immutable value.
type Multicaster struct {
	config    Config
	rotations map[string]rotation
}

// New returns the Multicaster of a sender that has sent nothing yet.
func New(c Config) Multicaster { return Multicaster{config: c} }

// WithMessage returns the recipients of the next message to the members.
func (m Multicaster) WithMessage(members []Member, message Message, rng *rand.Rand) (Multicaster, Recipients) {
	if m.config.Domain == "" {
		return m, ToAll(members)
	}
	relays := map[string][]string{}
	for _, member := range members {
		if member.CanRelay && member.Domain != "" && member.Domain != m.config.Domain {
			relays[member.Domain] = append(relays[member.Domain], member.Address)
		}
	}
	maps.DeleteFunc(relays, func(_ string, addresses []string) bool { return len(addresses) < MinRelays })

	var r Recipients
	next := make(map[string]rotation, len(relays))
	for _, domain := range slices.Sorted(maps.Keys(relays)) {
		slices.Sort(relays[domain])
		turns := 1
		if message.IsChange {
			turns = changeRelays
		}
		t := m.rotations[domain]
		for range turns {
			var address string
			t, address = t.next(relays[domain], rng)
			r.Relays = append(r.Relays, address)
		}
		next[domain] = t
	}
	m.rotations = next
	for _, member := range members {
		isRelayed := relays[member.Domain] != nil && !slices.Contains(message.Named, member.Name)
		if !isRelayed && !slices.Contains(r.Relays, member.Address) {
			r.Direct = append(r.Direct, member.Address)
		}
	}
	slices.Sort(r.Direct)
	slices.Sort(r.Relays)
	return m, r
}
