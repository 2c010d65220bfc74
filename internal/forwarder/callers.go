package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// defaultStreamStall is the default of Config.StreamStall. A stream that isn't forwarded holds a place in the engine's
	// batch, and an engine cuts off a response that stays unread for some seconds, which looks like its own failure and
	// would be retried elsewhere.
	defaultStreamStall = 2 * time.Second
	// defaultAnswerStall is the default of Config.AnswerStall. A buffered response only holds memory of this process.
	defaultAnswerStall = 10 * time.Second
	// answerChunk is the part of a buffered response that a caller must take within Config.AnswerStall.
	answerChunk = 16 << 10
	// callerSendBuffer bounds what the kernel holds for one caller, which it doubles. It would otherwise grow to several
	// megabytes for a caller that doesn't read.
	callerSendBuffer = 32 << 10
	// maxFirstBodyBuffer bounds the first buffer for a request body, because the length that a caller declares may never
	// arrive.
	maxFirstBodyBuffer = 64 << 10
)

const (
	// reasonCallerSlow ends a request whose caller does not take its response, or doesn't send its body, in time.
	reasonCallerSlow = "caller-slow"
	// reasonBodyMemory refuses a request because the bodies of others use all memory for bodies.
	reasonBodyMemory = "body-memory"
)

func refuseSlowBody() *Refusal {
	return &Refusal{
		Status: http.StatusRequestTimeout, Reason: reasonCallerSlow,
		Message: "the body did not arrive within the request's time; it has not run",
	}
}

type callerConnKey struct{}

// WithCallerConn is the ConnContext of the callers' http.Server. It lets a Forwarder look at the caller's connection, and
// bounds its send buffer.
func WithCallerConn(ctx context.Context, c net.Conn) context.Context {
	if tcp, ok := c.(*net.TCPConn); ok {
		// It fails only for a connection that has ended, which the server notices by itself.
		_ = tcp.SetWriteBuffer(callerSendBuffer)
	}
	return context.WithValue(ctx, callerConnKey{}, c)
}

// hasCallerLeft looks at the caller's connection itself. The server cancels the request's context when the caller closes
// the connection, but in a process that is behind this can take as long as the delay.
func hasCallerLeft(r *http.Request) bool {
	conn, ok := r.Context().Value(callerConnKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	hasLeft := false
	// Control, not Read, because the server itself is reading.
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		hasLeft = errno == nil && n == 0 || errno == syscall.ECONNRESET
	})
	return err != nil || hasLeft
}

// readBody reads the request's body until its deadline. Bodies are held until their requests end, so that they can be sent
// again, and their sum is bounded.
func (x *exchange) readBody() *Refusal {
	maxBody := x.configuration.Limits().BodyBytes
	if maxBody <= 0 {
		maxBody = defaultMaxBody
	}
	if x.r.ContentLength > maxBody {
		return refuseBody(maxBody)
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	setDeadline := x.control.SetReadDeadline
	body, err := []byte(nil), setDeadline(time.Now().Add(x.deadline.Sub(x.f.config.Now())))
	if err == nil {
		body, err = x.heldBody.readAll(x.r.Body, min(x.r.ContentLength, maxFirstBodyBuffer), maxBody)
	}
	if err == nil {
		err = setDeadline(time.Time{})
	}
	switch {
	case err == nil:
		x.body = body
		return nil
	case errors.Is(err, errTooLarge):
		return refuseBody(maxBody)
	case errors.Is(err, errMemory):
		return refuseUnavailable(reasonBodyMemory, unavailableRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuseSlowBody()
	}
	// The caller disconnected or sent a truncated body, so a response would not be read.
	x.logOutcome(reasonCallerLeft, 0)
	panic(http.ErrAbortHandler)
}

// limitWrite bounds the time of the writes to the caller that follow, among them the server's own at the end of the
// response. The server removes the bound before it reads the next request.
func (x *exchange) limitWrite(stall time.Duration) {
	if err := x.control.SetWriteDeadline(time.Now().Add(stall)); err != nil {
		x.f.config.Log.Debug().Err(err).Str("Request", x.call.ID).Msg("forwarder: write deadline not set")
	}
}

// write writes and flushes a part of the response. It fails if the caller doesn't take the part within the stall time.
func (x *exchange) write(stall time.Duration, part []byte) error {
	x.limitWrite(stall)
	_, err := x.w.Write(part)
	if err == nil {
		err = x.control.Flush()
	}
	return x.resetSlow(err)
}

// writeBody writes the body of a buffered response in chunks. The server flushes the last one.
func (x *exchange) writeBody(body []byte) error {
	stall := x.f.config.AnswerStall
	for ; len(body) > answerChunk; body = body[answerChunk:] {
		if err := x.write(stall, body[:answerChunk]); err != nil {
			return err
		}
	}
	x.limitWrite(stall)
	_, err := x.w.Write(body)
	return x.resetSlow(err)
}

// resetSlow returns the error of a write. If the caller was too slow, its connection is going to be reset, because the
// kernel would otherwise keep what it holds until the caller has read it.
func (x *exchange) resetSlow(err error) error {
	if tcp, ok := x.r.Context().Value(callerConnKey{}).(*net.TCPConn); ok && errors.Is(err, os.ErrDeadlineExceeded) {
		err = errors.Join(err, tcp.SetLinger(0))
	}
	return errors.Wrap(err, "write response to caller")
}

// recordDeparture logs and counts a request whose response could not be written.
func (x *exchange) recordDeparture(err error, status int) {
	outcome := reasonCallerLeft
	if errors.Is(err, os.ErrDeadlineExceeded) {
		outcome = reasonCallerSlow
		x.f.config.Observer.Request(x.organisationName(), outcome)
	}
	x.logOutcome(outcome, status)
}

// readAll reads a body of at most limit bytes. The buffer grows as bytes arrive, from its first size.
func (h *heldMemory) readAll(from io.Reader, first, limit int64) ([]byte, error) {
	body, err := h.grow(nil, max(firstBuffer, first))
	for err == nil {
		var n int
		n, err = from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, errTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err == nil && len(body) == cap(body):
			body, err = h.grow(body, int64(cap(body)))
		}
	}
	return nil, err
}
