package gossiper_test

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"geraniumladder/internal/gossiper"
	"geraniumladder/internal/wire"
)

type message struct {
	Boot     string
	Sequence int64
	Text     string
}

func stamp(m message) (string, gossiper.Stamp) {
	return "sender", gossiper.Stamp{Boot: m.Boot, Sequence: m.Sequence}
}

func listen(t *testing.T) *gossiper.Gossiper {
	t.Helper()
	g, err := gossiper.Listen(gossiper.Config{Address: "127.0.0.1:0", Log: zerolog.Nop()})
	assert.NilError(t, err)
	return g
}

// startPair starts a receiver and returns it with a sender, a channel of the received texts, and a function that stops
// the receiver and checks its error.
func startPair(t *testing.T) (receiver, sender *gossiper.Gossiper, got chan string, stop func()) {
	t.Helper()
	receiver, sender = listen(t), listen(t)
	got = make(chan string, 10)
	gossiper.Handle(receiver, "M", stamp, func(m message, _ string) { got <- m.Text })
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- receiver.Run(ctx) }()
	return receiver, sender, got, func() {
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
	}
}

// TestOldMessagesAreDropped guards against three failures: a reordered datagram overwrites newer state, messages of a
// restarted sender are dropped because its sequence numbers start again, and a malformed datagram stops the receiver.
func TestOldMessagesAreDropped(t *testing.T) {
	receiver, sender, got, stop := startPair(t)
	to := receiver.Address()
	raw, err := net.Dial("udp4", to)
	assert.NilError(t, err)
	_, err = raw.Write([]byte("garbage"))
	assert.NilError(t, err)
	assert.NilError(t, raw.Close())
	send := func(boot string, sequence int64, text string) {
		sender.Send("M", message{Boot: boot, Sequence: sequence, Text: text}, to)
	}
	send("a", 2, "second")
	assert.Equal(t, receive(t, got), "second")
	send("a", 1, "late")
	send("b", 1, "restarted")
	assert.Equal(t, receive(t, got), "restarted")
	stop()
}

// TestDatagramsAreCompressed guards against datagrams that are not compressed, and against rejection of plain JSON
// datagrams, which processes of an earlier build send.
func TestDatagramsAreCompressed(t *testing.T) {
	receiver, sender, got, stop := startPair(t)
	raw, err := net.Dial("udp4", receiver.Address())
	assert.NilError(t, err)
	_, err = raw.Write([]byte(`{"Kind":"M","Body":{"Boot":"a","Sequence":1,"Text":"plain"}}`))
	assert.NilError(t, err)
	assert.Equal(t, receive(t, got), "plain")
	assert.NilError(t, raw.Close())
	// Exceeds the maximum size of a datagram unless compressed.
	long := strings.Repeat("long ", 20<<10)
	sender.Send("M", message{Boot: "b", Sequence: 1, Text: long}, receiver.Address())
	assert.Equal(t, receive(t, got), long)
	sink, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer func() { _ = sink.Close() }()
	state := wire.EngineState{Address: "10.1.0.11:8420", Boot: "c7649be6", Sequence: 4711, Born: 1774762541875, Running: 7, TotalTokens: 232000}
	sender.Send("EngineState", state, sink.LocalAddr().String())
	buffer := make([]byte, 4096)
	assert.NilError(t, sink.SetReadDeadline(time.Now().Add(20*time.Second)))
	n, _, err := sink.ReadFromUDP(buffer)
	assert.NilError(t, err)
	plain, err := json.Marshal(state)
	assert.NilError(t, err)
	assert.Assert(t, n < len(plain)/2, "datagram of %d bytes for %d bytes of JSON", n, len(plain))
	stop()
}

// FuzzReceive searches for datagrams that stop the receiver or crash the process.
func FuzzReceive(f *testing.F) {
	f.Add([]byte("\x01"))
	f.Add([]byte("\x01\x02\x03"))
	f.Add([]byte(`{"Kind":"M","Body":7}`))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, packet []byte) {
		if len(packet) > 1400 {
			return
		}
		receiver, sender, got, stop := startPair(t)
		raw, err := net.Dial("udp4", receiver.Address())
		assert.NilError(t, err)
		_, err = raw.Write(packet)
		assert.NilError(t, err)
		assert.NilError(t, raw.Close())
		// Datagrams may be lost, so send until the receiver delivers the message, which shows that it still works.
		for after := ""; after != "after"; after = receive(t, got) {
			sender.Send("M", message{Boot: "after", Sequence: sender.NextStamp().Sequence, Text: "after"}, receiver.Address())
		}
		stop()
	})
}

func receive(t *testing.T, from chan string) string {
	t.Helper()
	text := ""
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case text = <-from:
			return poll.Success()
		default:
			return poll.Continue("no message yet")
		}
	}, poll.WithTimeout(20*time.Second))
	return text
}
