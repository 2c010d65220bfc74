package looper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"geraniumladder/internal/looper"
)

// Guards against a process that continues with some of its loops after one has failed, and against a lost error.
func TestFailureStopsAllLoops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failure := errors.New("loop failed")
		ticks := 0
		err := looper.Run(t.Context(),
			looper.Every(time.Second, func(context.Context) { ticks++ }),
			func(context.Context) error { return nil },
			func(context.Context) error { time.Sleep(3500 * time.Millisecond); return failure },
		)
		assert.ErrorIs(t, err, failure)
		assert.Equal(t, ticks, 4)
	})
}

// Guards against reporting a planned stop as a failure.
func TestCancellationIsNotAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Minute, cancel)
		assert.NilError(t, looper.Run(ctx, looper.Every(time.Second, func(context.Context) {})))
	})
}
