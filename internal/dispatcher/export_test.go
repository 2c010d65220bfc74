package dispatcher

import "net/http"

// KeptAnswer returns an ended answer of the given number of chunks, as a sidecar keeps it.
func KeptAnswer(chunks, size int) any {
	a := newAnswer(func() {})
	a.start(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
	for range chunks {
		a.write(make([]byte, size))
	}
	a.end(nil)
	return a
}
