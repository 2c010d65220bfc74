// Package gossiper exchanges small JSON messages between the system's processes as compressed UDP datagrams. UDP has no
// connection that can hang, and each message supersedes earlier ones, so a lost datagram needs no retransmission.
//
// A message to the members of another failure domain is sent to one of them, which forwards it.
//
// State: one socket, the sequence number of the last message sent, that of the last message received from each sender,
// and a short queue of datagrams to be forwarded. The package does not use the store.
package gossiper

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
)

const (
	// maxDatagramSize is the size of the receive buffer. Senders split larger messages.
	maxDatagramSize = 60 << 10
	// senderRetention is how long the last sequence number of a sender is kept after its last message.
	senderRetention = time.Minute
)

// envelope is the JSON object in a datagram.
type envelope struct {
	Kind string
	Body json.RawMessage
}

// Stamp identifies a message and orders the messages of one sender.
type Stamp struct {
	// Boot identifies one run of the sender's process.
	Boot string
	// Sequence increases with each message of a run.
	Sequence int64
}

// Config configures a Gossiper.
type Config struct {
	// Address is the local HOST:PORT.
	Address string
	Log     zerolog.Logger
}

// Gossiper sends and receives datagrams. It is safe for concurrent use.
type Gossiper struct {
	conn     *net.UDPConn
	log      zerolog.Logger
	boot     string
	sequence atomic.Int64
	handlers map[string]func(body []byte, from string) error

	mu        sync.Mutex
	addresses map[string]*net.UDPAddr
	rejected  atomic.Int64
	// forwards holds datagrams to be forwarded; nil if this process forwards none.
	forwards chan []byte
	forward  ForwardConfig
}

// Listen opens the UDP socket and returns its Gossiper. Run receives the datagrams.
func Listen(c Config) (*Gossiper, error) {
	address, err := net.ResolveUDPAddr("udp4", c.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve UDP listen address %q; correct it in the settings", c.Address)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on UDP address %s; free the port or choose another one", c.Address)
	}
	return &Gossiper{
		conn: conn, log: c.Log, boot: uuid.NewString()[:8],
		handlers: map[string]func([]byte, string) error{}, addresses: map[string]*net.UDPAddr{},
	}, nil
}

// Handle registers the handler for messages of a kind and must be called before Run. stamp returns a message's sender
// and Stamp; messages that arrive after a newer one from the same run of their sender are dropped.
func Handle[M any](g *Gossiper, kind string, stamp func(M) (sender string, s Stamp), handle func(m M, from string)) {
	filter := newSequenceFilter()
	g.handlers[kind] = func(body []byte, from string) error {
		var m M
		if err := json.Unmarshal(body, &m); err != nil {
			return err
		}
		sender, s := stamp(m)
		if filter.accept(sender, s, time.Now()) {
			handle(m, from)
		}
		return nil
	}
}

// NextStamp returns the stamp for the next message of this process.
func (g *Gossiper) NextStamp() Stamp { return Stamp{Boot: g.boot, Sequence: g.sequence.Add(1)} }

// Send sends a message to each of the given addresses. Send errors are logged at debug level only, because the next
// message supersedes this one.
func (g *Gossiper) Send(kind string, message any, to ...string) {
	packet, err := encode(kind, message)
	if err != nil {
		g.log.Error().Err(err).Str("Kind", kind).Msg("gossiper: encoding message failed")
		return
	}
	g.write(kind, packet, to)
}

func (g *Gossiper) write(kind string, packet []byte, to []string) {
	for _, address := range to {
		resolved, err := g.resolve(address)
		if err == nil {
			_, err = g.conn.WriteToUDP(packet, resolved)
		}
		if err != nil {
			g.log.Debug().Err(err).Str("Kind", kind).Str("To", address).Msg("gossiper: sending message failed")
		}
	}
}

func (g *Gossiper) resolve(address string) (*net.UDPAddr, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if resolved, ok := g.addresses[address]; ok {
		return resolved, nil
	}
	resolved, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "resolve address of peer process")
	}
	g.addresses[address] = resolved
	return resolved, nil
}

// Run receives datagrams and calls their handlers until ctx is cancelled.
func (g *Gossiper) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagramSize)
	decoder := newDecompressor()
	for {
		n, from, err := g.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "receive datagrams")
		}
		g.receive(decoder, buffer[:n], from.String())
	}
}

func (g *Gossiper) receive(decoder *decompressor, packet []byte, from string) {
	packet = g.takeForward(packet)
	e, err := decoder.decode(packet)
	if err == nil {
		if handle, ok := g.handlers[e.Kind]; ok {
			err = handle(e.Body, from)
		}
	}
	// Only the first and then every thousandth error is logged, so that a faulty sender cannot flood the log.
	if err != nil && g.rejected.Add(1)%1000 == 1 {
		g.log.Warn().Err(err).Str("From", from).Int64("Rejected", g.rejected.Load()).Msg("gossiper: invalid message rejected")
	}
}

// sequenceFilter rejects messages that arrive after a newer one from the same run of their sender.
type sequenceFilter struct {
	mu   sync.Mutex
	last map[string]lastMessage
}

type lastMessage struct {
	stamp Stamp
	at    time.Time
}

func newSequenceFilter() *sequenceFilter { return &sequenceFilter{last: map[string]lastMessage{}} }

// accept reports whether the message is newer than the last one from the same run of the sender, and records it if so.
func (f *sequenceFilter) accept(sender string, s Stamp, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, ok := f.last[sender]
	if ok && last.stamp.Boot == s.Boot && s.Sequence <= last.stamp.Sequence {
		return false
	}
	if !ok {
		for name, h := range f.last {
			if now.Sub(h.at) > senderRetention {
				delete(f.last, name)
			}
		}
	}
	f.last[sender] = lastMessage{stamp: s, at: now}
	return true
}

// Address returns the local HOST:PORT.
func (g *Gossiper) Address() string { return g.conn.LocalAddr().String() }
