// Package messenger is the HTTP client and server for calls between the system's processes: HTTP/2 without TLS, JSON
// bodies, and a signature on each request. It owns the open connections to other processes, one per address.
package messenger

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"geraniumladder/internal/authenticator"
)

// RequestIDHeader carries the ID of the request that a message or response belongs to.
const RequestIDHeader = "X-Request-Id"

// PathPrefix is the path prefix of the handlers for other processes.
const PathPrefix = "/peer/"

// A connection on which no frame has been received for pingIdleTime is checked with an HTTP/2 ping and closed if it
// is not acknowledged within pingTimeout. A dead connection is therefore detected within two seconds.
const (
	pingIdleTime = time.Second
	pingTimeout  = time.Second
	dialTimeout  = time.Second
	// maxResponseBytes is the maximum size of a response body. The largest are descriptors of engines with many adapters.
	maxResponseBytes = 16 << 20
)

// Config configures a Messenger.
type Config struct {
	Signer authenticator.Signer
	// Now defaults to time.Now.
	Now func() time.Time
	// Dial replaces the TCP dialler in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Messenger sends signed requests to other processes. It is safe for concurrent use.
type Messenger struct {
	signer authenticator.Signer
	now    func() time.Time
	client *http.Client
}

// New returns a Messenger.
func New(c Config) *Messenger {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols:   protocols,
		DialContext: c.Dial,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
		// Response bodies are passed on unmodified.
		DisableCompression: true,
	}
	return &Messenger{signer: c.Signer, now: c.Now, client: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (m *Messenger) Close() { m.client.CloseIdleConnections() }

// StatusError is returned for a response with a status of 400 or above.
type StatusError struct {
	Status int
	// Body is the response body, truncated to maxResponseBytes.
	Body []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("peer process returned status %d: %s", e.Status, bytes.TrimSpace(e.Body))
}

// Do signs req, sends it to address and returns the response; the caller closes its body.
// The URL of req needs only a path and a query. Do sets a request ID if req has none.
func (m *Messenger) Do(req *http.Request, address string) (*http.Response, error) {
	req.URL.Scheme = "http"
	req.URL.Host = address
	if req.Header.Get(RequestIDHeader) == "" {
		req.Header.Set(RequestIDHeader, uuid.NewString())
	}
	signature := m.signer.Sign(req.Method, req.URL.Path, req.Header.Get(RequestIDHeader), m.now())
	req.Header.Set(authenticator.SignatureHeader, signature)
	return m.client.Do(req)
}

// IsDialError reports whether err means that no connection could be established, so that no part of the request was
// sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Call sends in as JSON in a POST request to address and path, and decodes the response into out unless out is nil.
func (m *Messenger) Call(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode request body")
	}
	return m.roundTrip(ctx, http.MethodPost, address, path, body, out)
}

// Get sends a GET request to address and path, and decodes the JSON response into out.
func (m *Messenger) Get(ctx context.Context, address, path string, out any) error {
	return m.roundTrip(ctx, http.MethodGet, address, path, nil, out)
}

func (m *Messenger) roundTrip(ctx context.Context, method, address, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := m.Do(req, address)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	responseBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Wrap(err, "read response body")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return &StatusError{Status: resp.StatusCode, Body: responseBody}
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(responseBody, out), "decode response body")
}

// Middleware rejects requests without a valid signature of one of the system's processes with status 401.
func Middleware(signer authenticator.Signer, now func() time.Time) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			r := c.Request()
			err := signer.Verify(r.Header.Get(authenticator.SignatureHeader), r.Method, r.URL.Path,
				r.Header.Get(RequestIDHeader), now())
			if err != nil {
				return echo.NewHTTPError(http.StatusUnauthorized, err.Error())
			}
			return next(c)
		}
	}
}

// ServerConfig configures NewServer.
type ServerConfig struct {
	Handler http.Handler
	// HTTP1 enables HTTP/1.1 in addition, for callers and metrics scrapers.
	HTTP1 bool
}

// readHeaderTimeout is the maximum time that a client may take to send the request headers.
const readHeaderTimeout = 10 * time.Second

// NewServer returns a server for HTTP/2 without TLS that checks idle connections with pings.
func NewServer(c ServerConfig) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(c.HTTP1)
	return &http.Server{
		Handler:           c.Handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:      pingIdleTime,
			PingTimeout:          pingTimeout,
			MaxConcurrentStreams: 10_000,
		},
	}
}
