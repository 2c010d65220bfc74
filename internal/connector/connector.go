// Package connector keeps HTTP/1.1 connections to endpoints and says of each failure whether the request can have
// reached the endpoint. It owns the open connections of one process to endpoints. It uses no store.
//
// The transport of net/http hides what the callers of this package decide on: whether anything was sent, whether an
// answer belongs to the request, and whether to send again.
package connector

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// DefaultDialTimeout bounds the opening of a connection; endpoints are a few milliseconds away, and an opening
	// packet that was dropped is sent again only after a second.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdle is how long a connection is kept for reuse when the endpoint doesn't say.
	DefaultIdle = 4 * time.Second
	// idleMargin is taken off the endpoint's own idle timeout, so that a request doesn't cross its close.
	idleMargin = 900 * time.Millisecond
	readBuffer = 4 << 10
)

// Config configures a Pool. A field that is 0 has its default.
type Config struct {
	DialTimeout time.Duration
	Idle        time.Duration
	// MaxIdle is the number of idle connections kept for one address.
	MaxIdle int
	Now     func() time.Time
}

// Pool keeps connections by address. It is safe for use by several goroutines.
type Pool struct {
	config Config
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*Conn
}

// New returns an empty Pool.
func New(c Config) *Pool {
	if c.DialTimeout == 0 {
		c.DialTimeout = DefaultDialTimeout
	}
	if c.Idle == 0 {
		c.Idle = DefaultIdle
	}
	if c.MaxIdle == 0 {
		c.MaxIdle = 16
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Pool{config: c, dialer: net.Dialer{KeepAliveConfig: probes, Control: boundUnacknowledged}, idle: map[string][]*Conn{}}
}

// probes find a connection that has gone silent while an answer is awaited. A slow answer is not taken for silence,
// because the endpoint's kernel acknowledges the probes.
var probes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

const (
	// unacknowledgedMost ends a connection on which sent bytes stay unacknowledged: several retransmissions.
	unacknowledgedMost = time.Second
	// tcpUserTimeout is the socket option of that bound, which package syscall doesn't name.
	tcpUserTimeout = 0x12
)

func boundUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedMost.Milliseconds()))
	})
	return errors.Join(err, failure)
}

// Conn is one connection. At most one request uses it at a time.
type Conn struct {
	pool    *Pool
	address string
	net     net.Conn
	reader  *bufio.Reader
	// reusableUntil is the end of the time in which the endpoint keeps the connection open, as far as is known.
	reusableUntil time.Time
	idleSince     time.Time
	// IsReused connections have carried a request before.
	IsReused bool
}

// Get returns a connection that was idle for at most maxIdle, or opens one. No request has been sent when it fails.
func (p *Pool) Get(ctx context.Context, address string, maxIdle time.Duration) (*Conn, error) {
	for {
		c := p.takeIdle(address, maxIdle)
		if c == nil {
			break
		}
		if c.isQuiet() {
			c.IsReused = true
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
	return &Conn{pool: p, address: address, net: conn, reader: bufio.NewReaderSize(conn, readBuffer)}, nil
}

func (p *Pool) takeIdle(address string, maxIdle time.Duration) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if now.Before(c.reusableUntil) && now.Sub(c.idleSince) <= maxIdle {
			return c
		}
		// The connections below have been idle for longer.
		c.Close()
	}
	delete(p.idle, address)
	return nil
}

// Tidy closes idle connections whose time is over, and all of an address for which keep is false.
func (p *Pool) Tidy(keep func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.config.Now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if keep(address) && now.Before(c.reusableUntil) {
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

// isQuiet says whether the connection is open and nothing has arrived on it since the last answer. Bytes that arrived
// belong to no request.
func (c *Conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.net.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errno == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// Request is what goes to an endpoint, byte for byte but for the headers of one connection.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// ErrNotSent means that no byte of the request left this process.
var ErrNotSent = errors.New("no part of the request was sent")

// Send writes the request. Once it has begun to write, a failure leaves open whether the endpoint got the request.
func (c *Conn) Send(r *Request) error {
	size := len(r.Method) + len(r.Target) + len(r.Host) + 64 + len(r.Body)
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
	message = append(message, r.Body...)
	n, err := c.net.Write(message)
	if err != nil && n == 0 {
		return errors.Mark(errors.Wrap(err, "send the request"), ErrNotSent)
	}
	return errors.Wrap(err, "send the request")
}

// ReadAnswer reads the head of an answer. Interim answers (1xx) are passed over.
func (c *Conn) ReadAnswer(method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, errors.Wrap(err, "read the answer")
		}
		if response.StatusCode >= 200 || response.StatusCode == http.StatusSwitchingProtocols {
			return response, nil
		}
	}
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.net.Close() }

// Release keeps the connection for reuse after the whole answer has been read, if the answer allows it.
func (c *Conn) Release(response *http.Response) {
	keep := c.pool.config.Idle
	if said, ok := keepAlive(response.Header.Get("Keep-Alive")); ok {
		keep = min(keep, said-idleMargin)
	}
	if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 || c.reader.Buffered() > 0 || keep <= 0 {
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

// keepAlive reads the timeout of a Keep-Alive header.
func keepAlive(header string) (time.Duration, bool) {
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

// Discard reads what is left of a short body, so that the connection can be used again.
func Discard(body io.Reader, most int64) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(body, most+1))
	return err == nil && n <= most
}
