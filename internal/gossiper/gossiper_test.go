package gossiper_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"geraniumladder/internal/gossiper"
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

// TestOldMessagesAreDropped guards against a late datagram that replaces newer knowledge, against a restarted sender
// that is ignored, and against a datagram of garbage that ends the reception.
func TestOldMessagesAreDropped(t *testing.T) {
	receiver, sender := listen(t), listen(t)
	got := make(chan string, 10)
	gossiper.Handle(receiver, "M", stamp, func(m message, _ string) { got <- m.Text })
	ctx, cancel := context.WithCancel(t.Context())
	end := make(chan error)
	go func() { end <- receiver.Run(ctx) }()
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
	cancel()
	assert.ErrorIs(t, <-end, context.Canceled)
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
