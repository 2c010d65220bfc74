package dispatcher

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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
)

// service is a client for one plain service.
type service struct {
	url    string
	client *http.Client
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
	return &service{url: strings.TrimSuffix(url, "/"), client: &http.Client{Transport: wrap(transport), CheckRedirect: noRedirect}}
}

// call sends a request to the service and writes its response to out.
func (s *service) call(ctx context.Context, run wire.RunHeader, in inbound, out *response) *wire.RunError {
	req, err := http.NewRequestWithContext(ctx, in.method, s.url+in.target, bytes.NewReader(in.body))
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
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return &wire.RunError{Code: wire.RunErrorCodeEngineFailed, Outcome: wire.RunErrorOutcomeRan,
				Message: "the service's answer broke off; read the state of the call before repeating it", RequestID: run.RequestID}
		}
	}
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
