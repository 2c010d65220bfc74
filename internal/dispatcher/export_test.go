package dispatcher

import "net/http"

// RetainedResponse returns a completed response with the given number of chunks, as a sidecar retains it.
func RetainedResponse(chunks, size int) any {
	a := newResponse(func() {})
	a.start(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
	for range chunks {
		a.write(make([]byte, size))
	}
	a.end(nil)
	return a
}
