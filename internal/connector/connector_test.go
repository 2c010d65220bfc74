package connector_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"geraniumladder/internal/connector"
)

// startServer accepts connections and passes each of them to serve with its sequence number.
func startServer(t *testing.T, serve func(c net.Conn, n int)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c, n)
		}
	}()
	return l.Addr().String()
}

// reply writes to a connection. A write error surfaces as a failure of the client under test.
func reply(c net.Conn, format string, args ...any) {
	_, _ = fmt.Fprintf(c, format, args...)
}

// serveWith answers every request with the given header lines.
func serveWith(header string) func(net.Conn, int) {
	return func(c net.Conn, n int) {
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			reply(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 1\r\n\r\n%d", header, n)
		}
	}
}

type clock struct{ now time.Time }

func newPool(c *clock) *connector.Pool {
	return connector.New(connector.Config{Now: func() time.Time { return c.now }})
}

var request = &connector.Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: []byte("x")}

var lastID atomic.Int64

// requestID returns an ID that no other request has.
func requestID() string { return strconv.FormatInt(lastID.Add(1), 10) }

// exchange sends a request and returns the number of the connection that carried it.
func exchange(t *testing.T, p *connector.Pool, address string, maxIdle time.Duration) string {
	t.Helper()
	c, err := p.Get(t.Context(), address, maxIdle, requestID())
	assert.NilError(t, err)
	assert.NilError(t, c.Send(request))
	response, err := c.ReceiveResponse(http.MethodPost)
	assert.NilError(t, err)
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	c.Release(response)
	return string(content)
}

// TestReuse guards against using a connection that the endpoint has closed or is about to close, and against opening a
// new connection for every request.
func TestReuse(t *testing.T) {
	now := &clock{now: time.Unix(0, 0)}
	p := newPool(now)
	address := startServer(t, serveWith("Keep-Alive: timeout=3\r\n"))
	assert.Equal(t, exchange(t, p, address, time.Minute), "1")
	assert.Equal(t, exchange(t, p, address, time.Minute), "1")
	now.now = now.now.Add(time.Second)
	assert.Equal(t, exchange(t, p, address, 100*time.Millisecond), "2", "idle for longer than the request allows")
	now.now = now.now.Add(2500 * time.Millisecond)
	assert.Equal(t, exchange(t, p, address, time.Minute), "3", "close to the endpoint's own timeout")
	closing := startServer(t, serveWith("Connection: close\r\n"))
	assert.Equal(t, exchange(t, p, closing, time.Minute), "1")
	assert.Equal(t, exchange(t, p, closing, time.Minute), "2")
}

// TestConnectionCarriesAnIDOnce guards against two requests on one connection whose responses can't be told apart, in any
// order of requests, responses and pauses: the second copy of an earlier response would be taken for the current one.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	address := startServer(t, serveWith(""))
	rapid.Check(t, func(r *rapid.T) {
		now := &clock{now: time.Unix(0, 0)}
		p := newPool(now)
		carried := map[string][]string{}
		type open struct {
			conn     *connector.Conn
			response *http.Response
		}
		var busy []open
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			switch rapid.SampledFrom([]string{"request", "response", "response", "pause"}).Draw(r, "step") {
			case "request":
				id := rapid.SampledFrom([]string{"", "a", "b", "c"}).Draw(r, "ID")
				c, err := p.Get(t.Context(), address, time.Second, id)
				assert.NilError(r, err)
				assert.NilError(r, c.Send(request))
				response, err := c.ReceiveResponse(http.MethodPost)
				assert.NilError(r, err)
				carried[c.LocalAddress()] = append(carried[c.LocalAddress()], id)
				busy = append(busy, open{conn: c, response: response})
			case "response":
				if len(busy) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(busy)-1).Draw(r, "which")
				if _, err := io.Copy(io.Discard, busy[i].response.Body); err != nil {
					r.Fatal(err)
				}
				busy[i].conn.Release(busy[i].response)
				busy = slices.Delete(busy, i, i+1)
			case "pause":
				now.now = now.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(r, "ms")) * time.Millisecond)
			}
		}
		p.Prune(func(string) bool { return false })
		for _, o := range busy {
			o.conn.Close()
		}
		for address, ids := range carried {
			slices.Sort(ids)
			assert.Equal(r, len(slices.Compact(slices.Clone(ids))), len(ids), "%s carried %q", address, ids)
			assert.Assert(r, len(ids) == 1 || ids[0] != "", "%s carried %q", address, ids)
		}
	})
}

// TestConnectionEndsAfterItsLastRequest guards against a connection that remembers IDs without end.
func TestConnectionEndsAfterItsLastRequest(t *testing.T) {
	now := &clock{now: time.Unix(0, 0)}
	p := newPool(now)
	address := startServer(t, serveWith(""))
	for range connector.MaxRequestsPerConn {
		assert.Equal(t, exchange(t, p, address, time.Minute), "1")
	}
	assert.Equal(t, exchange(t, p, address, time.Minute), "2")
}

// TestUnsolicitedBytes guards against taking bytes that arrive on an idle connection for a response.
func TestUnsolicitedBytes(t *testing.T) {
	now := &clock{now: time.Unix(0, 0)}
	p := newPool(now)
	sent := make(chan struct{})
	address := startServer(t, func(c net.Conn, n int) {
		reader := bufio.NewReader(c)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		reply(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
		if n == 1 {
			<-sent
			reply(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra")
			sent <- struct{}{}
		}
	})
	assert.Equal(t, exchange(t, p, address, time.Minute), "1")
	sent <- struct{}{}
	<-sent
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if exchange(t, p, address, time.Minute) != "1" {
			return poll.Success()
		}
		return poll.Continue("the bytes have not arrived yet")
	}, poll.WithTimeout(10*time.Second))
}

// TestClosedIdleConnection guards against sending a request on a connection that the endpoint has closed.
func TestClosedIdleConnection(t *testing.T) {
	now := &clock{now: time.Unix(0, 0)}
	p := newPool(now)
	closed := make(chan struct{})
	address := startServer(t, func(c net.Conn, n int) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		reply(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
		_ = c.Close()
		if n == 1 {
			close(closed)
		}
	})
	assert.Equal(t, exchange(t, p, address, time.Minute), "1")
	<-closed
	assert.Equal(t, exchange(t, p, address, time.Minute), "2")
}

// TestNothingSentIsKnown guards against counting a failure to connect as a request that may have run.
func TestNothingSentIsKnown(t *testing.T) {
	now := &clock{now: time.Unix(0, 0)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	_, err = newPool(now).Get(t.Context(), l.Addr().String(), time.Minute, "id")
	assert.ErrorContains(t, err, "connect to the endpoint")
	address := startServer(t, func(c net.Conn, _ int) { _ = c.Close() })
	c, err := newPool(now).Get(context.Background(), address, time.Minute, "id")
	assert.NilError(t, err)
	c.Close()
	assert.Assert(t, errors.Is(c.Send(request), connector.ErrNotSent))
}

// TestConnectionsToUnknownAddressesAreClosed guards against leaving connections open to endpoints that no longer exist.
func TestConnectionsToUnknownAddressesAreClosed(t *testing.T) {
	now := &clock{now: time.Unix(0, 0)}
	p := newPool(now)
	address := startServer(t, serveWith(""))
	assert.Equal(t, exchange(t, p, address, time.Minute), "1")
	p.Prune(func(string) bool { return true })
	assert.Equal(t, exchange(t, p, address, time.Minute), "1")
	p.Prune(func(string) bool { return false })
	assert.Equal(t, exchange(t, p, address, time.Minute), "2")
}

// TestBytesOnIdleConnectionsAreNotKept guards against idle connections whose unread bytes fill the memory of their sockets:
// an endpoint may go on sending after its answer.
func TestBytesOnIdleConnectionsAreNotKept(t *testing.T) {
	now := &clock{now: time.Unix(0, 0)}
	p := newPool(now)
	var isClosed atomic.Bool
	address := startServer(t, func(c net.Conn, n int) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		reply(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", n)
		for {
			if _, err := io.WriteString(c, strings.Repeat("a", 1<<10)); err != nil {
				isClosed.Store(true)
				return
			}
		}
	})
	c, err := p.Get(t.Context(), address, time.Minute, "id")
	assert.NilError(t, err)
	assert.NilError(t, c.Send(request))
	response, err := c.ReceiveResponse(http.MethodPost)
	assert.NilError(t, err)
	one := make([]byte, 1)
	_, err = io.ReadFull(response.Body, one)
	assert.NilError(t, err)
	c.Release(response)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		p.Prune(func(string) bool { return true })
		if isClosed.Load() {
			return poll.Success()
		}
		return poll.Continue("the endpoint can still send")
	}, poll.WithTimeout(10*time.Second))
}

// TestUnframedResponseEndsConnection guards against reusing a connection whose response ends only when the connection
// is closed: the end of the connection would be taken for the end of another response.
func TestUnframedResponseEndsConnection(t *testing.T) {
	now := &clock{now: time.Unix(0, 0)}
	p := newPool(now)
	address := startServer(t, func(c net.Conn, n int) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		reply(c, "HTTP/1.1 200 OK\r\n\r\n%d", n)
		_ = c.Close()
	})
	assert.Equal(t, exchange(t, p, address, time.Minute), "1")
	assert.Equal(t, exchange(t, p, address, time.Minute), "2")
}

// TestEndlessHeadIsRejected guards against an endpoint that sends a head without end, which would fill the memory, and
// against one that sends its head so slowly that it never ends. Each is rejected although the endpoint goes on sending.
func TestEndlessHeadIsRejected(t *testing.T) {
	for name, send := range map[string]func(c net.Conn) error{
		"status line": func(c net.Conn) error { return writeForever(c, "HTTP/1.1 200 ", "OOOOOOOOOOOOOOOOOOOOOOOO") },
		"header":      func(c net.Conn) error { return writeForever(c, "HTTP/1.1 200 OK\r\nA: ", "aaaaaaaaaaaaaaaaaaaaaaaa") },
		"headers":     func(c net.Conn) error { return writeForever(c, "HTTP/1.1 200 OK\r\n", "A: b\r\n") },
		"lines": func(c net.Conn) error {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+strings.Repeat("A: b\r\n", connector.MaxHeadLines+1)+"Content-Length: 0\r\n\r\n")
			return err
		},
		"interim": func(c net.Conn) error { return writeForever(c, "", "HTTP/1.1 100 Continue\r\n\r\n") },
		"trickle": func(c net.Conn) error {
			for {
				if _, err := io.WriteString(c, "H"); err != nil {
					return err
				}
				time.Sleep(100 * time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan error, 1)
			address := startServer(t, func(c net.Conn, _ int) {
				defer func() { _ = c.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					ended <- send(c)
				}
			})
			conn, err := connector.New(connector.Config{}).Get(t.Context(), address, time.Second, "id")
			assert.NilError(t, err)
			t.Cleanup(conn.Close)
			assert.NilError(t, conn.Send(&connector.Request{Method: "GET", Target: "/", Host: "h"}))
			failure := make(chan error, 1)
			go func() {
				_, err := conn.ReceiveResponse("GET")
				failure <- err
			}()
			select {
			case err := <-failure:
				assert.Assert(t, err != nil)
			case <-time.After(time.Minute):
				t.Fatal("the head was still being read after a minute")
			}
			conn.Close()
			if err := <-ended; err != nil {
				assert.Assert(t, !strings.Contains(err.Error(), "took everything"))
			}
		})
	}
}

// maxForever bounds what writeForever writes, so that a reader without a limit fails the test and not the machine.
const maxForever = 256 << 20

func writeForever(c net.Conn, start, piece string) error {
	if _, err := io.WriteString(c, start); err != nil {
		return err
	}
	block := strings.Repeat(piece, 1+(32<<10)/len(piece))
	for range maxForever / len(block) {
		if _, err := io.WriteString(c, block); err != nil {
			return err
		}
	}
	return errors.New("the reader took everything")
}
