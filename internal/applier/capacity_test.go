package applier_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"geraniumladder/internal/applier"
	"geraniumladder/internal/emulator"
	"geraniumladder/internal/merger"
	"geraniumladder/internal/storer"
)

// countingListener counts the payload bytes of all its TCP connections.
type countingListener struct {
	net.Listener
	read, written *atomic.Int64
}

type countingConn struct {
	net.Conn
	read, written *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.read, l.written}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// BenchmarkFollow measures a poll of the head, with and without a changed adapter to put in force, by the total number
// of adapters. The adapters are spread over files of 1,000 each.
func BenchmarkFollow(b *testing.B) {
	for _, n := range []int{100, 3000, 53000} {
		for _, change := range []bool{false, true} {
			b.Run(fmt.Sprintf("adapters=%d/change=%t", n, change), func(b *testing.B) { benchmarkFollow(b, n, change) })
		}
	}
}

func benchmarkFollow(b *testing.B, n int, change bool) {
	ctx := context.Background()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	var read, written atomic.Int64
	server := &http.Server{Handler: emulator.NewPlatform(emulator.PlatformConfig{}).Handler(), ReadHeaderTimeout: time.Second}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(countingListener{listener, &read, &written}) }()
	client := storer.NewClient(storer.ClientConfig{URL: "http://" + listener.Addr().String()})
	defer func() {
		client.Close()
		_ = server.Close()
		assert.ErrorIs(b, <-ended, http.ErrServerClosed)
	}()
	c := applier.Config{Table: client, Objects: client}
	var files []merger.File
	for first := 0; first < n; first += 1000 {
		var text strings.Builder
		text.WriteString("Adapters:\n")
		for i := first; i < min(n, first+1000); i++ {
			fmt.Fprintf(&text, "- Name: adapter-%05d\n  BaseModel: base\n  Versions:\n  - {Version: \"1\", Path: adapters/%d/1}\n", i, i)
		}
		files = append(files, merger.File{Name: fmt.Sprintf("%05d.yaml", first), Content: []byte(text.String())})
	}
	_, err = applier.Apply(ctx, c, applier.Manifest{}, files, nil)
	assert.NilError(b, err)
	f := applier.NewFollower(applier.FollowerConfig{Table: client, Objects: client, Log: zerolog.Nop()})
	f.Poll(ctx)
	assert.Equal(b, f.Current().Number(), int64(1))
	commitChange := func(i int) {
		m, _, err := applier.Pull(ctx, c)
		assert.NilError(b, err)
		text := fmt.Sprintf("Adapters:\n- Name: changed\n  BaseModel: base\n  Versions:\n  - {Version: \"1\", Path: changed/%d}\n", i)
		_, err = applier.Apply(ctx, c, m, []merger.File{{Name: "99999.yaml", Content: []byte(text)}}, nil)
		assert.NilError(b, err)
	}
	var in, out int64
	b.ResetTimer()
	for i := range b.N {
		if change {
			b.StopTimer()
			commitChange(i)
			b.StartTimer()
		}
		in, out = in-written.Load(), out-read.Load()
		f.Poll(ctx)
		in, out = in+written.Load(), out+read.Load()
		if change {
			assert.Equal(b, f.Current().Number(), int64(i+2))
		}
	}
	b.ReportMetric(float64(in)/float64(b.N), "receivedB/op")
	b.ReportMetric(float64(out)/float64(b.N), "sentB/op")
}
