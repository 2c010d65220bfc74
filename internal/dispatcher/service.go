package dispatcher

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"geraniumladder/internal/messenger"
	"geraniumladder/internal/wire"
)

// serviceReadSize is the buffer size for reading a service's response.
const serviceReadSize = 32 << 10

const (
	// maxHeadBytes limits the head of an endpoint's response, which a faulty endpoint may send without end.
	maxHeadBytes = 64 << 10
	// maxAnswerBytes limits the body of a plain service's response, which is kept in memory as a whole. It equals the limit
	// of request bodies.
	maxAnswerBytes = maxBodyBytes
	// writeEndTimeout bounds the wait for the end of a request's write after the service has ended the connection.
	writeEndTimeout = time.Second
	// maxStatus is the highest status of HTTP.
	maxStatus = 599
)

var errImpossibleStatus = errors.New("its status is not between 100 and 599; the service is faulty")

// service is a client for one plain service.
type service struct {
	url    string
	client *http.Client
	ends   *endObserver
}

func newService(url string, wrap func(http.RoundTripper) http.RoundTripper) *service {
	transport := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true,
		// On a reused connection that breaks, net/http sends a request again if it looks idempotent, for example
		// because it has an Idempotency-Key header. It never does this on a new connection. A reused connection may
		// also have stopped delivering data for good while new connections work.
		DisableKeepAlives:      true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &service{url: strings.TrimSuffix(url, "/"), ends: newEndObserver(url), client: &http.Client{Transport: wrap(transport), CheckRedirect: noRedirect}}
}

// call sends a request to the service and writes its response to out. A failure says whether the service has ended.
func (s *service) call(ctx context.Context, run wire.RunHeader, in inbound, out *response) *wire.RunError {
	began := time.Now()
	return s.ends.observe(ctx, began, s.exchange(ctx, run, in, out))
}

func (s *service) exchange(ctx context.Context, run wire.RunHeader, in inbound, out *response) *wire.RunError {
	written := newWriteObserver()
	req, err := http.NewRequestWithContext(written.observe(ctx), in.method, s.url+in.target, bytes.NewReader(in.body))
	if err != nil {
		return &wire.RunError{Code: wire.RunErrorCodeBadRequest, Outcome: wire.RunErrorOutcomeNotRun,
			Message: "the path or query is malformed; correct it", RequestID: run.RequestID}
	}
	req.Header = in.header.Clone()
	req.Header.Set(messenger.RequestIDHeader, run.RequestID)
	resp, err := s.client.Do(req)
	if err != nil {
		return serviceFailure(run, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
		return serviceFailure(run, errImpossibleStatus)
	}
	out.start(resp.StatusCode, resp.Header.Clone())
	buffer := make([]byte, serviceReadSize)
	for left := maxAnswerBytes; ; {
		n, err := resp.Body.Read(buffer)
		if left -= n; left < 0 {
			return &wire.RunError{Code: wire.RunErrorCodeEngineFailed, Outcome: wire.RunErrorOutcomeRan,
				Message: fmt.Sprintf("the service's answer is larger than %d bytes; read the state of the call before repeating it", maxAnswerBytes), RequestID: run.RequestID}
		}
		if n > 0 {
			out.write(append([]byte(nil), buffer[:n]...))
		}
		switch {
		case errors.Is(err, io.EOF) && (isFramed(resp) || written.isComplete(ctx)):
			return nil
		case err != nil:
			return &wire.RunError{Code: wire.RunErrorCodeEngineFailed, Outcome: wire.RunErrorOutcomeRan,
				Message: "the service's answer broke off; read the state of the call before repeating it", RequestID: run.RequestID}
		}
	}
}

// isFramed reports whether the end of the body is marked. Otherwise it ends with the connection.
func isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}

// writeObserver observes whether a request was written as a whole. A service may answer a long request before it has read it.
// If it resets the connection then, the write takes the reset's error, and the read sees a plain end, which is also how a
// whole answer without a length ends.
type writeObserver struct{ result chan error }

func newWriteObserver() writeObserver { return writeObserver{result: make(chan error, 1)} }

func (o writeObserver) observe(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		select {
		case o.result <- info.Err:
		default:
			// A connection carries one request, which is written once.
		}
	}})
}

// isComplete waits for the end of the write, which comes soon, because the service has ended the connection.
func (o writeObserver) isComplete(ctx context.Context) bool {
	timeout := time.NewTimer(writeEndTimeout)
	defer timeout.Stop()
	select {
	case err := <-o.result:
		return err == nil
	case <-timeout.C:
	case <-ctx.Done():
	}
	return false
}

func serviceFailure(run wire.RunHeader, err error) *wire.RunError {
	failure := &wire.RunError{Code: wire.RunErrorCodeEngineFailed, Outcome: wire.RunErrorOutcomeUnknown,
		Message: fmt.Sprintf("the service did not answer: %v; read the state of the call before repeating it", err), RequestID: run.RequestID}
	if messenger.IsDialError(err) {
		failure.Outcome = wire.RunErrorOutcomeNotRun
		failure.Message = "the service refuses connections; retry later"
	}
	return failure
}
