package dispatcher

import (
	"context"
	"net/http"
	"sync"

	"geraniumladder/internal/wire"
)

// response buffers the response of one run. The run's goroutine writes it, and any number of connections can read it
// from the beginning, so a duplicate dispatch of the same request receives the same complete response.
type response struct {
	mu sync.Mutex
	// changed is closed and replaced whenever one of the fields below changes.
	changed chan struct{}
	// started is set once, together with status and header.
	started bool
	status  int
	header  http.Header
	// chunks is append-only until ended is set.
	chunks [][]byte
	// ended is set once. failure is nil if the response is complete.
	ended   bool
	failure *wire.RunError
	// readers counts the connections that read the response. idle is called when it drops to 0 before the response has
	// ended.
	readers int
	idle    func()
	// firstChunkHook is called once, at the first chunk or at the end of the response.
	firstChunkHook func()
}

func newResponse(idle func()) *response {
	return &response{changed: make(chan struct{}), idle: idle}
}

func (r *response) update(change func()) {
	r.mu.Lock()
	change()
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
}

func (r *response) start(status int, header http.Header) {
	r.update(func() { r.started, r.status, r.header = true, status, header })
}

func (r *response) write(chunk []byte) {
	r.update(func() { r.chunks = append(r.chunks, chunk) })
	r.runFirstChunkHook()
}

func (r *response) setFirstChunkHook(call func()) {
	r.mu.Lock()
	r.firstChunkHook = call
	r.mu.Unlock()
}

func (r *response) runFirstChunkHook() {
	r.mu.Lock()
	call := r.firstChunkHook
	r.firstChunkHook = nil
	r.mu.Unlock()
	if call != nil {
		call()
	}
}

// end closes the response. failure is nil if the response is complete.
func (r *response) end(failure *wire.RunError) {
	r.update(func() {
		if !r.ended {
			r.ended, r.failure = true, failure
		}
	})
}

// waitHeader blocks until the status and header are available or the run has failed before sending them.
func (r *response) waitHeader(ctx context.Context) (status int, header http.Header, failure *wire.RunError, err error) {
	for {
		r.mu.Lock()
		started, ended, changed := r.started, r.ended, r.changed
		status, header, failure = r.status, r.header, r.failure
		r.mu.Unlock()
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

// next blocks until there are chunks from index from on. done reports that no more will follow.
func (r *response) next(ctx context.Context, from int) (chunks [][]byte, done bool, failure *wire.RunError, err error) {
	for {
		r.mu.Lock()
		chunks, done, failure = r.chunks[min(from, len(r.chunks)):], r.ended, r.failure
		changed := r.changed
		r.mu.Unlock()
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

// tokenEstimate estimates the number of tokens generated so far; an engine sends one event per token.
func (r *response) tokenEstimate() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.chunks)
}

func (r *response) addReader() {
	r.mu.Lock()
	r.readers++
	r.mu.Unlock()
}

func (r *response) removeReader() {
	r.mu.Lock()
	r.readers--
	idle := r.readers == 0 && !r.ended
	r.mu.Unlock()
	if idle && r.idle != nil {
		r.idle()
	}
}

func (r *response) hasReaders() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readers > 0
}
