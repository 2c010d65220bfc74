package messenger_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"geraniumladder/internal/authenticator"
	"geraniumladder/internal/messenger"
)

// pipeListener accepts the far ends of in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// pathConn is a connection whose path can be lost: then nothing arrives any more, and writing still succeeds.
type pathConn struct {
	net.Conn
	lost atomic.Bool
}

func (c *pathConn) Write(b []byte) (int, error) {
	if c.lost.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// link is a messenger with a server behind in-memory connections.
type link struct {
	messenger *messenger.Messenger
	mu        sync.Mutex
	dialled   []*pathConn
	stop      func()
}

func newLink(t *testing.T, handle echo.HandlerFunc) *link {
	t.Helper()
	signer, err := authenticator.New(authenticator.Config{Secret: "0123456789abcdef"})
	assert.NilError(t, err)
	e := echo.New()
	e.POST("/peer/test", handle, messenger.Middleware(signer, time.Now))
	listener := newPipeListener()
	server := messenger.NewServer(messenger.ServerConfig{Handler: e})
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	l := &link{}
	l.messenger = messenger.New(messenger.Config{Signer: signer, Dial: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		conn := &pathConn{Conn: near}
		l.mu.Lock()
		l.dialled = append(l.dialled, conn)
		l.mu.Unlock()
		listener.conns <- far
		return conn, nil
	}})
	l.stop = func() {
		for _, c := range l.dialled {
			_ = c.Close()
		}
		_ = server.Close()
		assert.Check(t, cmp.ErrorIs(<-ended, http.ErrServerClosed))
	}
	return l
}

func (l *link) dials() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.dialled)
}

// Guards against requests that wait for good on an open connection that has lost its path: the loss is found within
// two seconds, and the next request goes out on a new connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(t, func(c echo.Context) error { return c.JSON(http.StatusOK, "ok") })
		defer l.stop()
		var reply string
		assert.NilError(t, l.messenger.Call(t.Context(), "vm:1", "/peer/test", "in", &reply))
		l.dialled[0].lost.Store(true)
		begun := time.Now()
		err := l.messenger.Call(t.Context(), "vm:1", "/peer/test", "in", &reply)
		assert.Assert(t, err != nil || l.dials() == 2)
		// The clock is the bubble's: this bounds the protocol's timers, not the machine.
		assert.Assert(t, time.Since(begun) <= 2*time.Second, "found after %s", time.Since(begun))
		assert.NilError(t, l.messenger.Call(t.Context(), "vm:1", "/peer/test", "in", &reply))
		assert.Equal(t, reply, "ok")
		assert.Equal(t, l.dials(), 2)
	})
}

// Guards against taking one slow answer for a silent connection, which would cut off long requests.
func TestSlowAnswerIsNotTakenForSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLink(t, func(c echo.Context) error {
			time.Sleep(time.Minute)
			return c.JSON(http.StatusOK, "late")
		})
		defer l.stop()
		var reply string
		assert.NilError(t, l.messenger.Call(t.Context(), "vm:1", "/peer/test", "in", &reply))
		assert.Equal(t, reply, "late")
		assert.Equal(t, l.dials(), 1)
	})
}

// Guards against pages for other processes that answer a caller.
func TestUnsignedRequestsAreRefused(t *testing.T) {
	signer, err := authenticator.New(authenticator.Config{Secret: "0123456789abcdef"})
	assert.NilError(t, err)
	e := echo.New()
	e.POST("/peer/test", func(c echo.Context) error { return c.String(http.StatusOK, "ok") }, messenger.Middleware(signer, time.Now))
	server := messenger.NewServer(messenger.ServerConfig{Handler: e, HTTP1: true})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	defer func() {
		_ = server.Close()
		assert.Check(t, cmp.ErrorIs(<-ended, http.ErrServerClosed))
	}()
	for _, header := range []string{"", "Bearer gl-key", "1.0"} {
		req, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/peer/test", nil)
		assert.NilError(t, err)
		req.Header.Set("Authorization", header)
		req.Header.Set(authenticator.PeerHeader, header)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
	}
}
