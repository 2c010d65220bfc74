// Package looper runs the background loops of a process. It keeps no state.
package looper

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Loop does background work until ctx ends and then returns the error of ctx. It may also return nil earlier.
type Loop func(ctx context.Context) error

// Every returns a loop that calls work immediately and then at each interval.
func Every(interval time.Duration, work func(context.Context)) Loop {
	return func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			work(ctx)
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// Run runs the loops until ctx ends or one of them fails, in which case the others are cancelled. It waits for all
// loops to return and then returns the first error. Cancellation of ctx is not an error.
func Run(ctx context.Context, loops ...Loop) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan error, len(loops))
	for _, loop := range loops {
		go func() { ends <- loop(ctx) }()
	}
	var first error
	for range loops {
		if err := <-ends; err != nil && first == nil {
			first = err
			cancel()
		}
	}
	if errors.Is(first, context.Canceled) {
		return nil
	}
	return first
}
