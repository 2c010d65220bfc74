package gossiper

import (
	"bytes"
	"context"
	"slices"
	"time"

	"geraniumladder/pkg/multicaster"
)

const (
	// forwardQueueSize bounds the datagrams that wait to be forwarded. A process that falls this far behind would only
	// forward messages that later ones have overtaken.
	forwardQueueSize = 256
	// forwardCheckInterval is the interval at which the forwarding loop shows that it runs.
	forwardCheckInterval = 100 * time.Millisecond
)

// Paths of datagrams, as reported to a path observer.
const (
	PathDirect    = "direct"
	PathRelay     = "relay"
	PathForwarded = "forwarded"
	PathDropped   = "dropped"
)

// PathObserver counts datagrams and their bytes by path.
type PathObserver func(path string, datagrams, bytes int)

// ForwardConfig configures the forwarding of datagrams.
type ForwardConfig struct {
	// Recipients returns the addresses to which datagrams are forwarded.
	Recipients func() []string
	Observe    PathObserver
}

// SendVia sends a message to the addresses in direct, and to those in relays with the request to forward it.
func (g *Gossiper) SendVia(kind string, message any, direct, relays []string, observe PathObserver) {
	packet, err := encode(kind, message)
	if err != nil {
		g.log.Error().Err(err).Str("Kind", kind).Msg("gossiper: encoding message failed")
		return
	}
	g.write(kind, packet, direct)
	observe(PathDirect, len(direct), len(direct)*len(packet))
	if len(relays) > 0 {
		packet = slices.Insert(packet, 0, formatForward)
		g.write(kind, packet, relays)
		observe(PathRelay, len(relays), len(relays)*len(packet))
	}
}

// SetForward makes this process forward datagrams whose senders request it, and must be called before Run. RunForward
// sends them.
func (g *Gossiper) SetForward(c ForwardConfig) {
	g.forward, g.forwards = c, make(chan []byte, forwardQueueSize)
}

// takeForward queues the datagram if it is to be forwarded, and returns it as it is forwarded. It never blocks, so that
// this process's own handling isn't delayed.
func (g *Gossiper) takeForward(packet []byte) []byte {
	if len(packet) == 0 || packet[0] != formatForward {
		return packet
	}
	packet = packet[1:]
	if g.forwards == nil || len(packet) == 0 || packet[0] == formatForward {
		return packet
	}
	select {
	case g.forwards <- bytes.Clone(packet):
	default:
		g.forward.Observe(PathDropped, 1, len(packet))
	}
	return packet
}

// RunForward forwards datagrams until ctx is cancelled.
func (g *Gossiper) RunForward(ctx context.Context) error {
	ticker := time.NewTicker(forwardCheckInterval)
	defer ticker.Stop()
	gate, start := multicaster.Gate{}, time.Now()
	for {
		var packet []byte
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		case packet = <-g.forwards:
		}
		var gap time.Duration
		if gate, gap = gate.WithRun(time.Since(start)); gap > 0 {
			g.log.Warn().Dur("Gap", gap).Msg("gossiper: process was paused; messages that waited are not forwarded")
		}
		switch {
		case packet == nil:
		case !gate.IsOpen(time.Since(start)):
			g.forward.Observe(PathDropped, 1, len(packet))
		default:
			to := g.forward.Recipients()
			g.write("forwarded", packet, to)
			g.forward.Observe(PathForwarded, len(to), len(to)*len(packet))
		}
	}
}
