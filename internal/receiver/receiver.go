// Package receiver reads the body of a response for as long as it makes progress. A limit on the whole transfer would end
// each transfer over a slow link that is larger than the link carries in that time; a limit on the time without any byte
// would let a faulty server hold the reader with a byte now and then.
package receiver

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// StepBytes is the number of bytes that count as progress.
const StepBytes = 8 << 10

// ErrStalled means that a response made no progress. It is a context.DeadlineExceeded.
var ErrStalled = errors.Wrap(context.DeadlineExceeded, "the response made no progress")

// ErrTooLarge means that the body of a response exceeds its limit.
var ErrTooLarge = errors.New("the body of the response exceeds its limit; the server is faulty")

type progressKey struct{}

// WithProgress returns a context for calls that report the progress of large responses to observe.
func WithProgress(ctx context.Context, observe func()) context.Context {
	return context.WithValue(ctx, progressKey{}, observe)
}

// Config limits the time of a call.
type Config struct {
	// First is the time until the first StepBytes of the body or its end have been received. With 0 only the call's context
	// limits the call.
	First time.Duration
	// Step is the time for each further StepBytes.
	Step time.Duration
}

// Receiver limits the time of one call. It is used by one goroutine.
type Receiver struct {
	config  Config
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
	observe func()
}

// New starts the time of a call. Close must be called.
func New(ctx context.Context, c Config) *Receiver {
	r := &Receiver{config: c, observe: func() {}}
	if observe, ok := ctx.Value(progressKey{}).(func()); ok {
		r.observe = observe
	}
	r.ctx, r.cancel = context.WithCancelCause(ctx)
	if c.First > 0 {
		r.timer = time.AfterFunc(c.First, func() { r.cancel(ErrStalled) })
	}
	return r
}

// Context is the context of the call. It ends when the call makes no progress.
func (r *Receiver) Context() context.Context { return r.ctx }

// Close ends the call.
func (r *Receiver) Close() {
	if r.timer != nil {
		r.timer.Stop()
	}
	r.cancel(context.Canceled)
}

// ReadAll reads the body to its end. A body of more than maxBytes is an error.
func (r *Receiver) ReadAll(body io.Reader, maxBytes int64) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(&steps{receiver: r, body: body}, maxBytes+1))
	if err == nil && int64(len(content)) > maxBytes {
		return nil, ErrTooLarge
	}
	return content, r.Err(err)
}

// Err returns the error of a part of the call, or ErrStalled if the call failed because it made no progress.
func (r *Receiver) Err(err error) error {
	if err != nil && errors.Is(context.Cause(r.ctx), ErrStalled) {
		return ErrStalled
	}
	return err
}

// steps is the body of a response that restarts the receiver's time with each step.
type steps struct {
	receiver *Receiver
	body     io.Reader
	// bytes is the number of bytes since the last step.
	bytes int
}

// Read implements io.Reader. It asks for one step at most, because the body of a chunked response is read until p is full.
func (s *steps) Read(p []byte) (int, error) {
	n, err := s.body.Read(p[:min(len(p), StepBytes)])
	s.bytes += n
	if s.bytes >= StepBytes {
		s.bytes = 0
		if s.receiver.timer != nil {
			s.receiver.timer.Reset(s.receiver.config.Step)
		}
		s.receiver.observe()
	}
	return n, err
}
