package receiver_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"geraniumladder/internal/receiver"
)

var limits = receiver.Config{First: time.Second, Step: 500 * time.Millisecond}

// slowBody returns some bytes at an interval until its context ends.
type slowBody struct {
	ctx      context.Context
	interval time.Duration
	bytes    int
	left     int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(b.interval):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	n := min(b.bytes, b.left, len(p))
	b.left -= n
	return n, nil
}

// TestSlowTransferIsReadToItsEnd guards against a limit on the whole transfer, which a thin link can't keep.
func TestSlowTransferIsReadToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steps := 0
		r := receiver.New(receiver.WithProgress(t.Context(), func() { steps++ }), limits)
		defer r.Close()
		begin := time.Now()
		content, err := r.ReadAll(&slowBody{ctx: r.Context(), interval: 10 * time.Millisecond, bytes: 2000, left: 2 << 20}, 4<<20)
		assert.NilError(t, err)
		assert.Equal(t, len(content), 2<<20)
		assert.Assert(t, time.Since(begin) > 5*time.Second)
		assert.Assert(t, steps > 200 && steps <= 256, steps)
	})
}

// TestTricklingTransferEnds guards against a server that holds a call by a byte now and then, or by none.
func TestTricklingTransferEnds(t *testing.T) {
	for name, body := range map[string]slowBody{
		"trickle":    {interval: 10 * time.Millisecond, bytes: 1, left: 1 << 20},
		"silence":    {interval: time.Hour, bytes: 1, left: 1},
		"late stall": {interval: 10 * time.Millisecond, bytes: 100, left: 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := receiver.New(t.Context(), limits)
				defer r.Close()
				begin := time.Now()
				body.ctx = r.Context()
				_, err := r.ReadAll(&body, 4<<20)
				assert.Assert(t, errors.Is(err, receiver.ErrStalled) && errors.Is(err, context.DeadlineExceeded), err)
				assert.Assert(t, time.Since(begin) <= limits.First+limits.Step)
			})
		})
	}
}

// TestLargeBodyIsRefused guards against a body without end.
func TestLargeBodyIsRefused(t *testing.T) {
	r := receiver.New(t.Context(), limits)
	defer r.Close()
	_, err := r.ReadAll(bytes.NewReader(make([]byte, 101)), 100)
	assert.Assert(t, errors.Is(err, receiver.ErrTooLarge))
}
