package forwarder

import (
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// minAnswerBody is the least limit of a response body that is buffered completely before it is forwarded. The limit
	// is otherwise that of the operators for request bodies.
	minAnswerBody = 1 << 20
	// maxEventBytes limits one event of a stream.
	maxEventBytes = 1 << 20
	// freeAnswerBytes of each request's answers are not counted, so that ordinary answers pass when faulty endpoints have
	// used up what is set aside.
	freeAnswerBytes = 64 << 10
	// defaultAnswerMemory is the default of Config.AnswerMemory.
	defaultAnswerMemory = 32 << 20
	// firstBuffer is the size of the first buffer for a body of unknown length. As much of each request's body is not
	// counted, so that short requests pass while long ones have used up the memory for bodies.
	firstBuffer = 4 << 10
)

var (
	errTooLarge      = errors.New("the body exceeds its limit; raise the limit of bodies or correct the endpoint")
	errEventTooLarge = errors.New("an event of the stream exceeds its limit; correct the endpoint")
	errMemory        = errors.New("the bodies held at a time exceed their memory; give the process more, or correct the endpoints that send without end")
)

// sharedMemory bounds the memory of all answers, or of all request bodies, that are held at a time. Each one's own limit
// doesn't bound their sum.
type sharedMemory struct {
	limit, used atomic.Int64
}

// heldMemory counts the memory that one request's answers, or its body, hold.
type heldMemory struct {
	memory *sharedMemory
	// free bytes are not counted.
	free int64
	// size is the memory held, and counted the part of it that is taken from memory.
	size, counted int64
}

// add counts n more bytes, or returns errMemory if there is no memory for them.
func (h *heldMemory) add(n int64) error {
	counted := max(0, h.size+n-h.free)
	more := counted - h.counted
	if used := h.memory.used.Add(more); more > 0 && used > h.memory.limit.Load() {
		h.memory.used.Add(-more)
		return errMemory
	}
	h.size, h.counted = h.size+n, counted
	return nil
}

// release gives all memory back.
func (h *heldMemory) release() {
	h.memory.used.Add(-h.counted)
	h.size, h.counted = 0, 0
}

// readAnswer reads a whole response body. A faulty endpoint may send one without end.
func (x *exchange) readAnswer(response *http.Response) ([]byte, error) {
	limit := max(x.configuration.Limits().BodyBytes, minAnswerBody)
	if response.ContentLength > limit {
		return nil, errTooLarge
	}
	return x.held.readAll(response.Body, response.ContentLength, limit)
}

// grow returns the buffer with room for n more bytes.
func (h *heldMemory) grow(buffer []byte, n int64) ([]byte, error) {
	if err := h.add(n); err != nil {
		return nil, err
	}
	larger := make([]byte, len(buffer), int64(cap(buffer))+n)
	copy(larger, buffer)
	return larger, nil
}
