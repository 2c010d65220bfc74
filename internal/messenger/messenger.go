// Package messenger carries messages between the project's own processes: HTTP/2 without TLS, JSON bodies,
// and a signature on each request. It owns the open connections to other processes, one for each address.
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

// RequestIDHeader names the request that a message or answer belongs to.
const RequestIDHeader = "X-Request-Id"

// PathPrefix is where the pages for other processes stand.
const PathPrefix = "/peer/"

// A connection on which nothing has arrived for pingAfter is tested with an HTTP/2 ping; without an answer within
// pingTimeout it is closed. Together they bound the time to find a silent connection to two seconds.
const (
	pingAfter   = time.Second
	pingTimeout = time.Second
	dialTimeout = time.Second
	// maxReply bounds the answer to a message; the largest are descriptors of engines with many adapters.
	maxReply = 16 << 20
)

// Config configures a Messenger.
type Config struct {
	Signer authenticator.Signer
	// Now is time.Now when nil.
	Now func() time.Time
	// Dial replaces the TCP dialler in tests.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Messenger sends signed requests to other processes. It is safe for use by several goroutines.
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
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		// Bodies pass through as they are.
		DisableCompression: true,
	}
	return &Messenger{signer: c.Signer, now: c.Now, client: &http.Client{Transport: transport}}
}

// Close closes the idle connections.
func (m *Messenger) Close() { m.client.CloseIdleConnections() }

// StatusError is an answer with a status of 400 or above.
type StatusError struct {
	Status int
	// Body holds the start of the answer's body.
	Body []byte
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the other process answered %d: %s", e.Status, bytes.TrimSpace(e.Body))
}

// Do sends a request to address, signed, and returns the answer with its body open.
// The request's URL needs a path and query only.
func (m *Messenger) Do(req *http.Request, address string) (*http.Response, error) {
	req.URL.Scheme = "http"
	req.URL.Host = address
	if req.Header.Get(RequestIDHeader) == "" {
		req.Header.Set(RequestIDHeader, uuid.NewString())
	}
	signature := m.signer.Sign(req.Method, req.URL.Path, req.Header.Get(RequestIDHeader), m.now())
	req.Header.Set(authenticator.PeerHeader, signature)
	return m.client.Do(req)
}

// NeverOpened says that no connection was opened for a request, so that nothing of it can have been sent.
func NeverOpened(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Call posts in as JSON to address and path, and decodes the answer into out unless out is nil.
func (m *Messenger) Call(ctx context.Context, address, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return errors.Wrap(err, "encode the message")
	}
	return m.exchange(ctx, http.MethodPost, address, path, body, out)
}

// Get reads the JSON page at address and path into out.
func (m *Messenger) Get(ctx context.Context, address, path string, out any) error {
	return m.exchange(ctx, http.MethodGet, address, path, nil, out)
}

func (m *Messenger) exchange(ctx context.Context, method, address, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build the message")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := m.Do(req, address)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return errors.Wrap(err, "read the answer")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return &StatusError{Status: resp.StatusCode, Body: reply}
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(reply, out), "decode the answer")
}

// Middleware refuses requests that no process of this system has signed.
func Middleware(signer authenticator.Signer, now func() time.Time) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			r := c.Request()
			err := signer.Check(r.Header.Get(authenticator.PeerHeader), r.Method, r.URL.Path,
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
	// HTTP1 also accepts HTTP/1.1, for callers and scrapers.
	HTTP1 bool
}

// readHeaderTimeout bounds how long a client may take to send its headers.
const readHeaderTimeout = 10 * time.Second

// NewServer returns a server that speaks HTTP/2 without TLS, and tests silent connections with a ping.
func NewServer(c ServerConfig) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	protocols.SetHTTP1(c.HTTP1)
	return &http.Server{
		Handler:           c.Handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:      pingAfter,
			PingTimeout:          pingTimeout,
			MaxConcurrentStreams: 10_000,
		},
	}
}
