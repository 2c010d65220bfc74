package forwarder_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"geraniumladder/internal/forwarder"
	"geraniumladder/internal/registrar"
)

// logBuffer collects log lines of several goroutines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), text)
}

// dialSlowly sends a request on a connection of its own and reads a byte of the response per second.
func (f *fixture) dialSlowly(t *testing.T, request string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = io.WriteString(c, request)
	assert.NilError(t, err)
	go func() {
		for one := make([]byte, 1); ; time.Sleep(time.Second) {
			if _, err := c.Read(one); err != nil {
				return
			}
		}
	}()
	return c
}

// TestSlowCallersAreGivenUp guards against callers that read a byte per second and hold places in an engine's batch, the
// kernel's memory and the memory for responses, so that another caller gets no response, and against an endpoint that is
// taken for faulty because of them.
func TestSlowCallersAreGivenUp(t *testing.T) {
	const slow, size = 6, 400 << 10
	var written [2 * slow]atomic.Int64
	var streams atomic.Int64
	ended := make(chan struct{}, slow)
	e := newEndpoint(t, "e", func(c net.Conn, r *http.Request, _ int) bool {
		if !strings.HasPrefix(r.URL.Path, "/longstream/") {
			return respond(c, r, 200, "", strings.Repeat("a", size))
		}
		n := streams.Add(1) - 1
		err := c.(*net.TCPConn).SetWriteBuffer(8 << 10)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for event := "data: " + strings.Repeat("a", 1000) + "\n\n"; err == nil; {
			_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			written[n].Add(int64(len(event)))
		}
		ended <- struct{}{}
		return false
	})
	var log logBuffer
	f := newFixtureWithConfig(t, func(c *forwarder.Config) {
		c.StreamStall, c.AnswerStall, c.AnswerMemory, c.Log = 300*time.Millisecond, 300*time.Millisecond, size, zerolog.New(&log)
	}, e)
	for n := range slow {
		f.dialSlowly(t, fmt.Sprintf("GET /longstream/ HTTP/1.1\r\nHost: h\r\nKey: k\r\nId: s%d\r\n\r\n", n))
		f.dialSlowly(t, fmt.Sprintf("GET /again/ HTTP/1.1\r\nHost: h\r\nKey: k\r\nId: a%d\r\nPatience: 60000\r\n\r\n", n))
	}
	for range slow {
		select {
		case <-ended:
		case <-time.After(20 * time.Second):
			t.Fatal("an engine still sends to a caller that doesn't read")
		}
	}
	for n := range written {
		assert.Assert(t, written[n].Load() < 400<<10, "stream %d: %d bytes were taken for a caller that doesn't read", n, written[n].Load())
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r := f.send(t, "/again/", "", "Patience", "60000"); r.status != 200 || len(r.body) != size {
			return poll.Continue("status %d", r.status)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	assert.Assert(t, log.count(`"Outcome":"caller-slow"`) >= slow)
	assert.Equal(t, log.count(`"Reason":"stream`), 0)
}

// TestSlowBodiesAreBounded guards against callers that never finish their bodies, and against bodies that together fill
// the process's memory while endpoints are slow.
func TestSlowBodiesAreBounded(t *testing.T) {
	const memory = 256 << 10
	unblock := make(chan struct{})
	e := newEndpoint(t, "e", func(c net.Conn, r *http.Request, n int) bool {
		<-unblock
		return ok(c, r, n)
	})
	f := newFixtureWithConfig(t, func(c *forwarder.Config) { c.AnswerMemory = memory }, e)
	assert.Equal(t, f.send(t, "/once/", strings.Repeat("a", 1001)).status, 413)
	f.SetConfiguration(registrar.NewConfiguration(registrar.ConfigurationParts{
		Version: 2, Limits: registrar.Limits{BodyBytes: memory}, Services: []registrar.Service{{Name: "s"}},
		Routes: []registrar.Route{
			{Name: "long", Host: "h", Prefix: "/long/", Kind: registrar.Once, Timeout: time.Minute, Attempts: 1, Open: true,
				Targets: []registrar.Target{{Service: "s", Weight: 1}}},
			{Name: "short", Host: "h", Prefix: "/short/", Kind: registrar.Once, Timeout: 300 * time.Millisecond, Attempts: 1, Open: true,
				Targets: []registrar.Target{{Service: "s", Weight: 1}}},
		},
	}))
	unfinished, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = unfinished.Close() }()
	_, err = io.WriteString(unfinished, "POST /short/ HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\nbo")
	assert.NilError(t, err)
	assert.NilError(t, unfinished.SetReadDeadline(time.Now().Add(20*time.Second)))
	head := make([]byte, len("HTTP/1.1 408"))
	_, err = io.ReadFull(unfinished, head)
	assert.NilError(t, err)
	assert.Equal(t, string(head), "HTTP/1.1 408")

	replies := make(chan reply, 1)
	go func() { replies <- f.sendCtx(t.Context(), "/long/", strings.Repeat("a", 200<<10)) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result { return hasRequestCount(e, 1) })
	refused := f.send(t, "/long/", strings.Repeat("a", 100<<10))
	assert.Equal(t, refused.status, 503)
	assert.Assert(t, strings.Contains(refused.body, `"IsNotRun":true`), refused.body)
	// A short request passes while the memory is used up.
	assert.Equal(t, f.send(t, "/short/", "body").status, 504)
	close(unblock)
	assert.Equal(t, (<-replies).status, 200)
	assert.Equal(t, f.send(t, "/long/", strings.Repeat("a", 200<<10)).status, 200)
}
