// Package gossiper exchanges small JSON messages between the project's processes as compressed datagrams. A datagram needs no
// connection that could go silent, and one that is lost is replaced by the next. It owns one socket and the sequence
// numbers of what it has sent and heard. It uses no store.
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
	// maxDatagram is the largest message; larger ones are split by their senders.
	maxDatagram = 60 << 10
	// bootMemory is how long the numbers of a silent sender are kept.
	bootMemory = time.Minute
)

// envelope is one datagram as it arrives.
type envelope struct {
	Kind string
	Body json.RawMessage
}

// Stamp orders the messages of one sender.
type Stamp struct {
	// Boot names one run of the sender's process.
	Boot string
	// Sequence rises with each message of one run.
	Sequence int64
}

// Config configures a Gossiper.
type Config struct {
	// Address is the local HOST:PORT.
	Address string
	Log     zerolog.Logger
}

// Gossiper sends and receives datagrams. It is safe for use by several goroutines.
type Gossiper struct {
	conn     *net.UDPConn
	log      zerolog.Logger
	boot     string
	sequence atomic.Int64
	handlers map[string]func(body []byte, from string) error

	mu        sync.Mutex
	addresses map[string]*net.UDPAddr
	rejected  atomic.Int64
}

// Listen opens the socket.
func Listen(c Config) (*Gossiper, error) {
	address, err := net.ResolveUDPAddr("udp4", c.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "address for datagrams %q; correct it in the settings", c.Address)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for datagrams on %s; make the port free", c.Address)
	}
	return &Gossiper{
		conn: conn, log: c.Log, boot: uuid.NewString()[:8],
		handlers: map[string]func([]byte, string) error{}, addresses: map[string]*net.UDPAddr{},
	}, nil
}

// Handle registers what to do with messages of a kind. It is called before Run. Messages of one sender that arrive
// out of order are dropped by stamp.
func Handle[M any](g *Gossiper, kind string, stamp func(M) (sender string, s Stamp), handle func(m M, from string)) {
	order := newOrder()
	g.handlers[kind] = func(body []byte, from string) error {
		var m M
		if err := json.Unmarshal(body, &m); err != nil {
			return err
		}
		sender, s := stamp(m)
		if order.isNew(sender, s, time.Now()) {
			handle(m, from)
		}
		return nil
	}
}

// Next returns the stamp for the next message of this process.
func (g *Gossiper) Next() Stamp { return Stamp{Boot: g.boot, Sequence: g.sequence.Add(1)} }

// Send sends a message. A failure is only logged at debug level, because the next message repeats what matters.
func (g *Gossiper) Send(kind string, message any, to ...string) {
	packet, err := encode(kind, message)
	if err != nil {
		g.log.Error().Err(err).Str("Kind", kind).Msg("gossiper: message not encoded")
		return
	}
	for _, address := range to {
		resolved, err := g.resolve(address)
		if err == nil {
			_, err = g.conn.WriteToUDP(packet, resolved)
		}
		if err != nil {
			g.log.Debug().Err(err).Str("Kind", kind).Str("To", address).Msg("gossiper: message not sent")
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
		return nil, errors.Wrap(err, "resolve the address of a process")
	}
	g.addresses[address] = resolved
	return resolved, nil
}

// Run receives until ctx ends.
func (g *Gossiper) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = g.conn.Close() })
	defer stop()
	buffer := make([]byte, maxDatagram)
	expand := newDecompressor()
	for {
		n, from, err := g.conn.ReadFromUDP(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "receive datagrams")
		}
		g.receive(expand, buffer[:n], from.String())
	}
}

func (g *Gossiper) receive(expand *decompressor, packet []byte, from string) {
	e, err := expand.decode(packet)
	if err == nil {
		if handle, ok := g.handlers[e.Kind]; ok {
			err = handle(e.Body, from)
		}
	}
	// The first and then each thousandth is logged, so that a faulty sender can't fill the log.
	if err != nil && g.rejected.Add(1)%1000 == 1 {
		g.log.Warn().Err(err).Str("From", from).Int64("Rejected", g.rejected.Load()).Msg("gossiper: message not understood")
	}
}

// order drops messages that arrive after newer ones of the same run.
type order struct {
	mu   sync.Mutex
	last map[string]heard
}

type heard struct {
	stamp Stamp
	at    time.Time
}

func newOrder() *order { return &order{last: map[string]heard{}} }

func (o *order) isNew(sender string, s Stamp, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	last, ok := o.last[sender]
	if ok && last.stamp.Boot == s.Boot && s.Sequence <= last.stamp.Sequence {
		return false
	}
	if !ok {
		for name, h := range o.last {
			if now.Sub(h.at) > bootMemory {
				delete(o.last, name)
			}
		}
	}
	o.last[sender] = heard{stamp: s, at: now}
	return true
}

// Address is the local HOST:PORT.
func (g *Gossiper) Address() string { return g.conn.LocalAddr().String() }
