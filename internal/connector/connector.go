// Package connector maintains HTTP/1.1 connections to endpoints and reports for each failure whether the request can
// have reached the endpoint. It owns the connections from one process to the endpoints and uses no store.
//
// It replaces the transport of net/http, which does not expose what callers of this package need: whether anything was
// sent, whether a response belongs to the request, and whether the request is sent again.
package connector

import (
	"bufio"
	"bytes"
	"context"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultDialTimeout bounds the opening of a connection. Endpoints are a few milliseconds away, and a lost SYN is
	// retransmitted only after a second.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is how long an idle connection is kept if the endpoint announces no timeout.
	DefaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout announced by the endpoint, so that a request is not sent while the
	// endpoint closes the connection.
	idleMargin     = 900 * time.Millisecond
	readBufferSize = 4 << 10
	// MaxHeadBytes limits the status line and the header lines of one response together. A faulty endpoint may send them
	// without end.
	MaxHeadBytes = 64 << 10
	// MaxHeadLines limits the header lines of one response.
	MaxHeadLines = 100
	// maxInterimResponses limits the interim responses before a response.
	maxInterimResponses = 8
	// maxStatus is the highest status of HTTP.
	maxStatus = 599
	// headTimeout bounds the time from the first byte of a response's head to the last.
	headTimeout = 2 * time.Second
	// MaxRequestsPerConn limits the requests on one connection, whose IDs are remembered.
	MaxRequestsPerConn = 256
)

// Config configures a Pool. Zero values are replaced by defaults.
type Config struct {
	DialTimeout time.Duration
	Idle        time.Duration
	// MaxIdle is the maximum number of idle connections per address.
	MaxIdle int
	Now     func() time.Time
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	config Config
	dialer net.Dialer
	// seed is for the hashes of request IDs.
	seed maphash.Seed
	mu   sync.Mutex
	idle map[string][]*Conn
}

// New returns an empty Pool.
func New(c Config) *Pool {
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.Idle == 0 {
		c.Idle = DefaultIdleTimeout
	}
	if c.MaxIdle == 0 {
		c.MaxIdle = 16
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Pool{config: c, dialer: net.Dialer{KeepAliveConfig: keepAliveProbes, Control: setSocketOptions}, seed: maphash.MakeSeed(), idle: map[string][]*Conn{}}
}

// keepAliveProbes detect a dead connection while a response is awaited. A slow response does not trigger them, because
// the endpoint's kernel acknowledges the probes.
var keepAliveProbes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

const (
	// userTimeout closes a connection whose sent data stays unacknowledged. It allows several retransmissions.
	userTimeout = time.Second
	// tcpUserTimeoutOption is the TCP_USER_TIMEOUT socket option, which package syscall does not define.
	tcpUserTimeoutOption = 0x12
)

// socketBuffer bounds what the kernel holds in each direction of a connection, which it doubles: of responses that a slow
// caller doesn't take, and of requests that a slow endpoint doesn't read. It would otherwise grow to several megabytes.
const socketBuffer = 64 << 10

func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = errors.Join(
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(userTimeout.Milliseconds())),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBuffer),
			syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBuffer),
		)
	})
	return errors.Join(err, failure)
}

// Conn is one connection. It carries at most one request at a time, and no two requests with the same ID.
type Conn struct {
	pool    *Pool
	address string
	net     net.Conn
	// source is what reader reads from.
	source *headLimiter
	reader *bufio.Reader
	// reusableUntil is the time up to which the endpoint is expected to keep the connection open.
	reusableUntil time.Time
	idleSince     time.Time
	// carried holds the hashes of the IDs of the requests that the connection has carried. No hash occurs twice, so that
	// the ID in a response tells whether it belongs to the current request: a faulty endpoint may send a second copy of
	// an earlier response in front of the current one.
	carried []uint64
	// isLastRequest is set if the connection must not carry a further request.
	isLastRequest bool
	// IsReused reports whether the connection has carried a request before.
	IsReused bool
}

// LocalAddress returns the address of this process on the connection, which identifies the connection in the logs of both
// sides.
func (c *Conn) LocalAddress() string { return c.net.LocalAddr().String() }

// Get returns a connection for one request: one that has been idle for at most maxIdle and has not carried a request with
// the same ID, or a new one. The responses to requests without an ID can't be told apart, so such a request gets a
// connection of its own. If Get fails, no request has been sent.
func (p *Pool) Get(ctx context.Context, address string, maxIdleTime time.Duration, requestID string) (*Conn, error) {
	id := maphash.String(p.seed, requestID)
	for requestID != "" {
		c := p.takeIdle(address, maxIdleTime, id)
		if c == nil {
			break
		}
		if c.isReusable() {
			c.IsReused = true
			c.carried = append(c.carried, id)
			return c, nil
		}
		c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, p.config.DialTimeout)
	defer cancel()
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "connect to the endpoint")
	}
	source := &headLimiter{conn: conn}
	return &Conn{
		pool: p, address: address, net: conn, source: source, reader: bufio.NewReaderSize(source, readBufferSize),
		carried: []uint64{id}, isLastRequest: requestID == "",
	}, nil
}

// takeIdle removes and returns the last released connection that is suitable, and closes those that have been idle for
// too long. It returns nil if there is none.
func (p *Pool) takeIdle(address string, maxIdleTime time.Duration, requestID uint64) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	list := p.idle[address]
	var found *Conn
	for i := len(list) - 1; i >= 0 && found == nil; i-- {
		c := list[i]
		isFresh := now.Before(c.reusableUntil) && now.Sub(c.idleSince) <= maxIdleTime
		switch {
		case isFresh && slices.Contains(c.carried, requestID):
			continue
		case isFresh:
			found = c
		default:
			c.Close()
		}
		list = slices.Delete(list, i, i+1)
	}
	if len(list) == 0 {
		delete(p.idle, address)
	} else {
		p.idle[address] = list
	}
	return found
}

// Prune closes expired idle connections, those on which bytes have arrived that belong to no request and would fill the
// memory of the socket, and all idle connections to addresses for which keep returns false.
func (p *Pool) Prune(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(address) && now.Before(c.reusableUntil) && c.isReusable() {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// isReusable reports whether the connection is open and nothing has arrived on it since the last response. Such data
// would not belong to any request.
func (c *Conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.net.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errno == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}

// Request is sent to an endpoint unchanged, except for connection-specific headers.
type Request struct {
	Method string
	// Target is the path and query as sent by the caller.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// ErrNotSent means that no byte of the request was sent.
var ErrNotSent = errors.New("no part of the request was sent")

// Send writes the request. If it fails without ErrNotSent, the endpoint may have received the request.
func (c *Conn) Send(r *Request) error {
	size := len(r.Method) + len(r.Target) + len(r.Host) + 64
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + 4
		}
	}
	message := make([]byte, 0, size)
	message = append(message, r.Method...)
	message = append(message, ' ')
	message = append(message, r.Target...)
	message = append(message, " HTTP/1.1\r\nHost: "...)
	message = append(message, r.Host...)
	message = append(message, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			message = append(message, name...)
			message = append(message, ": "...)
			message = append(message, v...)
			message = append(message, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		message = append(message, "Content-Length: "...)
		message = strconv.AppendInt(message, int64(len(r.Body)), 10)
		message = append(message, "\r\n"...)
	}
	message = append(message, "\r\n"...)
	// The body isn't copied, because a slow endpoint may take it late.
	parts := net.Buffers{message, r.Body}
	n, err := parts.WriteTo(c.net)
	if err != nil && n == 0 {
		return errors.Mark(errors.Wrap(err, "send the request"), ErrNotSent)
	}
	return errors.Wrap(err, "send the request")
}

// ErrHead means that the head of a response exceeds MaxHeadBytes, MaxHeadLines or the number of interim responses. The
// connection must be closed.
var ErrHead = errors.New("the response's head exceeds its limits; the endpoint is faulty")

// ErrStatus means that the status of a response is none of HTTP's. The connection must be closed: what follows may belong to
// no response.
var ErrStatus = errors.New("the response's status is not between 100 and 599; the endpoint is faulty")

// headLimiter is the reading side of a connection. It limits the bytes that may be read while a head is parsed, because
// http.ReadResponse has no limit of its own.
type headLimiter struct {
	conn net.Conn
	// isLimited is set while a head is read, and left is then the number of bytes that may still be read.
	isLimited bool
	left      int
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.isLimited {
		return l.conn.Read(p)
	}
	if l.left <= 0 {
		return 0, ErrHead
	}
	n, err := l.conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// ReceiveResponse reads the status line and headers of a response. It skips interim (1xx) responses, except 101. The
// wait for the first byte of the response is not limited; the caller closes the connection when its time is over.
func (c *Conn) ReceiveResponse(method string) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		response, err := c.receiveHead(method)
		if err != nil {
			return nil, errors.Wrap(err, "read the answer")
		}
		if response.StatusCode >= 200 || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
	return nil, errors.Wrap(ErrHead, "read the answer")
}

func (c *Conn) receiveHead(method string) (*http.Response, error) {
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	c.source.isLimited, c.source.left = true, MaxHeadBytes-c.reader.Buffered()
	defer func() { c.source.isLimited = false }()
	// Most heads arrive in one piece and need no deadline.
	if head, err := c.reader.Peek(c.reader.Buffered()); err == nil && !bytes.Contains(head, headEnd) {
		if err := c.net.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
			return nil, err
		}
		defer func() { _ = c.net.SetReadDeadline(time.Time{}) }()
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusContinue || response.StatusCode > maxStatus {
		return nil, ErrStatus
	}
	lines := 0
	for _, values := range response.Header {
		lines += len(values)
	}
	if lines > MaxHeadLines {
		return nil, ErrHead
	}
	return response, nil
}

var headEnd = []byte("\r\n\r\n")

// Close closes the connection.
func (c *Conn) Close() { _ = c.net.Close() }

// Release returns the connection to the pool after the whole response has been read. The connection is closed if the
// response does not permit reuse.
func (c *Conn) Release(response *http.Response) {
	keep := c.pool.config.Idle
	if announced, ok := keepAliveTimeout(response.Header.Get("Keep-Alive")); ok {
		keep = min(keep, announced-idleMargin)
	}
	isUnframed := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	if response.Close || isUnframed || c.reader.Buffered() > 0 || keep <= 0 || c.isLastRequest || len(c.carried) >= MaxRequestsPerConn {
		c.Close()
		return
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	list := c.pool.idle[c.address]
	if len(list) >= c.pool.config.MaxIdle {
		c.Close()
		return
	}
	c.idleSince = c.pool.config.Now()
	c.reusableUntil = c.idleSince.Add(keep)
	c.pool.idle[c.address] = append(list, c)
}

// keepAliveTimeout parses the timeout parameter of a Keep-Alive header.
func keepAliveTimeout(header string) (time.Duration, bool) {
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		n, err := strconv.Atoi(value)
		return time.Duration(n) * time.Second, err == nil
	}
	return 0, false
}

// Discard reads the rest of a body of at most limit bytes, so that the connection can be reused. It reports whether it
// reached the end of the body.
func Discard(body io.Reader, limit int64) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	return err == nil && n <= limit
}
