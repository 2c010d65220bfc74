package dispatcher

import (
	"context"
	"net/http"
	"sync"

	"geraniumladder/internal/wire"
)

// answer collects the response of one run. The run's goroutine writes it; any number of connections read it
// from the start, so that a second dispatch of the same request gets the same whole answer.
type answer struct {
	mu sync.Mutex
	// changed is closed and replaced whenever something below changes.
	changed chan struct{}
	// started is set once, together with status and header.
	started bool
	status  int
	header  http.Header
	// chunks only grows until done is set.
	chunks [][]byte
	// ended is set once, at the end. failure is nil if the answer is whole.
	ended   bool
	failure *wire.RunError
	// readers counts the connections that read; idle is called when it falls to 0 before the end.
	readers int
	idle    func()
	// first is called once, at the first chunk or at the end.
	first func()
}

func newAnswer(idle func()) *answer {
	return &answer{changed: make(chan struct{}), idle: idle}
}

func (a *answer) update(change func()) {
	a.mu.Lock()
	change()
	close(a.changed)
	a.changed = make(chan struct{})
	a.mu.Unlock()
}

func (a *answer) start(status int, header http.Header) {
	a.update(func() { a.started, a.status, a.header = true, status, header })
}

func (a *answer) write(chunk []byte) {
	a.update(func() { a.chunks = append(a.chunks, chunk) })
	a.firstDone()
}

// onFirst sets what is called at the first chunk or at the end.
func (a *answer) onFirst(call func()) {
	a.mu.Lock()
	a.first = call
	a.mu.Unlock()
}

func (a *answer) firstDone() {
	a.mu.Lock()
	call := a.first
	a.first = nil
	a.mu.Unlock()
	if call != nil {
		call()
	}
}

// end closes the answer; failure is nil when the answer is whole.
func (a *answer) end(failure *wire.RunError) {
	a.update(func() {
		if !a.ended {
			a.ended, a.failure = true, failure
		}
	})
}

// head waits for the status or for a failure before it.
func (a *answer) head(ctx context.Context) (status int, header http.Header, failure *wire.RunError, err error) {
	for {
		a.mu.Lock()
		started, ended, changed := a.started, a.ended, a.changed
		status, header, failure = a.status, a.header, a.failure
		a.mu.Unlock()
		if started {
			return status, header, nil, nil
		}
		if ended {
			return 0, nil, failure, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, nil, nil, ctx.Err()
		}
	}
}

// next waits for chunks after the first from. done says that no more will follow.
func (a *answer) next(ctx context.Context, from int) (chunks [][]byte, done bool, failure *wire.RunError, err error) {
	for {
		a.mu.Lock()
		chunks, done, failure = a.chunks[min(from, len(a.chunks)):], a.ended, a.failure
		changed := a.changed
		a.mu.Unlock()
		if len(chunks) > 0 || done {
			return chunks, done, failure, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, false, nil, ctx.Err()
		}
	}
}

// tokens estimates the generated tokens so far: an engine sends one event for each.
func (a *answer) tokens() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.chunks)
}

func (a *answer) attach() {
	a.mu.Lock()
	a.readers++
	a.mu.Unlock()
}

func (a *answer) detach() {
	a.mu.Lock()
	a.readers--
	idle := a.readers == 0 && !a.ended
	a.mu.Unlock()
	if idle && a.idle != nil {
		a.idle()
	}
}

func (a *answer) hasReaders() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.readers > 0
}
