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

// pipeListener accepts the server ends of in-memory connections.
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

// lossyConn is a connection that can be made to drop all written data while writes still succeed, as when the network
// path is lost.
type lossyConn struct {
	net.Conn
	dropWrites atomic.Bool
}

func (c *lossyConn) Write(b []byte) (int, error) {
	if c.dropWrites.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// testConnection is a messenger that is connected to a server by in-memory connections.
type testConnection struct {
	messenger *messenger.Messenger
	mu        sync.Mutex
	dialled   []*lossyConn
	stop      func()
}

func newTestConnection(t *testing.T, handle echo.HandlerFunc) *testConnection {
	t.Helper()
	signer, err := authenticator.New(authenticator.Config{Secret: "0123456789abcdef"})
	assert.NilError(t, err)
	e := echo.New()
	e.POST("/peer/test", handle, messenger.Middleware(signer, time.Now))
	listener := newPipeListener()
	server := messenger.NewServer(messenger.ServerConfig{Handler: e})
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	l := &testConnection{}
	l.messenger = messenger.New(messenger.Config{Signer: signer, Dial: func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		conn := &lossyConn{Conn: near}
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

func (l *testConnection) dials() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.dialled)
}

// Guards against requests that hang on an open connection whose network path is lost: the loss must be detected within
// two seconds, and the next request must use a new connection.
func TestDeadConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestConnection(t, func(c echo.Context) error { return c.JSON(http.StatusOK, "ok") })
		defer l.stop()
		var reply string
		assert.NilError(t, l.messenger.Call(t.Context(), "vm:1", "/peer/test", "in", &reply))
		l.dialled[0].dropWrites.Store(true)
		start := time.Now()
		err := l.messenger.Call(t.Context(), "vm:1", "/peer/test", "in", &reply)
		assert.Assert(t, err != nil || l.dials() == 2)
		// This is the fake clock of the synctest bubble, so the bound applies to the protocol's timers and does not depend
		// on the speed of the machine.
		assert.Assert(t, time.Since(start) <= 2*time.Second, "dead connection detected after %s", time.Since(start))
		assert.NilError(t, l.messenger.Call(t.Context(), "vm:1", "/peer/test", "in", &reply))
		assert.Equal(t, reply, "ok")
		assert.Equal(t, l.dials(), 2)
	})
}

// Guards against a slow response being mistaken for a dead connection, which would abort long requests.
func TestSlowResponseKeepsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newTestConnection(t, func(c echo.Context) error {
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

// Guards against handlers for other processes that accept requests without a valid signature, such as a caller's.
func TestUnsignedRequestsAreRejected(t *testing.T) {
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
		req.Header.Set(authenticator.SignatureHeader, header)
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusUnauthorized)
	}
}
