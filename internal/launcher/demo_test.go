package launcher_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
	"gotest.tools/v3/poll"

	"geraniumladder/internal/emulator"
	"geraniumladder/internal/launcher"
)

// fleet is a running demo. Tests send requests to it over TCP, as callers and operators do.
type fleet struct {
	*launcher.Demo
	t            *testing.T
	announcement launcher.DemoAnnouncement
	shutdown     context.CancelFunc
	runErr       chan error
	client       *http.Client
}

func startFleet(t *testing.T) *fleet {
	t.Helper()
	return startFleetWith(t, launcher.DemoConfig{})
}

func startFleetWith(t *testing.T, c launcher.DemoConfig) *fleet {
	t.Helper()
	log := zerolog.Nop()
	if testing.Verbose() {
		log = zerolog.New(zerolog.NewTestWriter(t)).Level(zerolog.WarnLevel)
	}
	c.Listen, c.Folder, c.Log = "127.0.0.1:0", t.TempDir(), log
	d, err := launcher.NewDemo(c)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{Demo: d, t: t, announcement: d.Announcement(), shutdown: cancel, runErr: make(chan error, 1), client: &http.Client{}}
	go func() { f.runErr <- d.Run(ctx, io.Discard) }()
	t.Cleanup(func() {
		cancel()
		f.client.CloseIdleConnections()
		// Killed processes make Run return their errors.
		if err := <-f.runErr; err != nil {
			t.Log(err)
		}
	})
	f.eventually("the fleet is ready", d.Ready)
	return f
}

// eventually waits until a condition holds. The timeout only ends tests that would hang.
func (f *fleet) eventually(description string, condition func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", description)
	}, poll.WithTimeout(25*time.Second), poll.WithDelay(10*time.Millisecond))
}

func (f *fleet) do(method, url, key, idempotencyKey string, body any) (*http.Response, string) {
	f.t.Helper()
	resp := f.send(method, url, key, idempotencyKey, body)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	assert.NilError(f.t, err)
	return resp, string(text)
}

func (f *fleet) send(method, url, key, idempotencyKey string, body any) *http.Response {
	f.t.Helper()
	var reader io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		assert.NilError(f.t, err)
		reader = bytes.NewReader(text)
	}
	req, err := http.NewRequest(method, url, reader)
	assert.NilError(f.t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := f.client.Do(req)
	assert.NilError(f.t, err)
	return resp
}

func completionRequest(route, prompt string, tokens int, stream bool) map[string]any {
	return map[string]any{"model": route, "prompt": prompt, "max_tokens": tokens, "stream": stream}
}

// completionChunk is a data event of a streamed completion.
type completionChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// readStream returns the text of a stream, whether the [DONE] event was received, and the code of the last error event.
// It calls onEvent, if set, after each event.
func readStream(t *testing.T, body io.Reader, onEvent func(count int)) (text string, complete bool, errorCode string) {
	t.Helper()
	scanner := bufio.NewScanner(body)
	count := 0
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true, errorCode
		}
		var chunk completionChunk
		assert.NilError(t, json.Unmarshal([]byte(data), &chunk))
		if chunk.Error != nil {
			errorCode = chunk.Error.Code
		}
		for _, c := range chunk.Choices {
			text += c.Text
		}
		count++
		if onEvent != nil {
			onEvent(count)
		}
	}
	return text, false, errorCode
}

// Guards against requests that run on an adapter or version other than the route's (P1) or for another organisation
// (P3), and against a caller's key that is forwarded to an endpoint (P4).
func TestRoutingAndKeyIsolation(t *testing.T) {
	f := startFleet(t)
	for i, entry := range f.announcement.Entries {
		for organisation, key := range f.announcement.Keys {
			prompt := fmt.Sprintf("prompt %d of %s", i, organisation)
			resp, text := f.do("POST", entry+"/v1/completions", key, "", completionRequest(f.announcement.Routes.Model[organisation], prompt, 6, false))
			assert.Equal(t, resp.StatusCode, http.StatusOK, text)
			want := emulator.GenerateText(organisation+"-drafts@v1", prompt, 6)
			assert.Check(t, cmp.Contains(text, want))
			other := f.announcement.Routes.Model["accra"]
			if organisation == "accra" {
				other = f.announcement.Routes.Model["vunidawa"]
			}
			resp, text = f.do("POST", entry+"/v1/completions", key, "", completionRequest(other, prompt, 6, false))
			assert.Equal(t, resp.StatusCode, http.StatusForbidden, text)
			assert.Equal(t, resp.Header.Get("Geraniumladder-Outcome"), "not-run")
			resp, _ = f.do("GET", entry+"/services/"+f.announcement.Routes.Service[organisation]+"/balances/a?api_key="+key, key, "", nil)
			assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
			resp, _ = f.do("GET", entry+"/services/"+f.announcement.Routes.Service[organisation]+"/balances/a?q=1", key, "", nil)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
		}
	}
	for _, url := range append(f.announcement.StandIns.Endpoints, f.announcement.StandIns.Ledger) {
		_, seen := f.do("GET", url+"/seen", "", "", nil)
		for _, key := range f.announcement.Keys {
			assert.Check(t, !strings.Contains(seen, key), "an endpoint saw a key")
		}
	}
}

// Guards against a booking that runs twice (P9) when it is sent concurrently and repeatedly to several entries, and
// against retries that get a different response.
func TestBookingRunsOnceDespiteRetries(t *testing.T) {
	f := startFleet(t)
	url := "/services/" + f.announcement.Routes.Service["accra"] + "/bookings"
	responses := make(chan string, 12)
	for i := range cap(responses) {
		go func() {
			_, text := f.do("POST", f.announcement.Entries[i%3]+url, f.announcement.Keys["accra"], "order-1", map[string]int{"Release": 7})
			responses <- text
		}()
	}
	first := <-responses
	for range cap(responses) - 1 {
		assert.Check(t, cmp.Equal(<-responses, first))
	}
	_, bookings := f.do("GET", f.announcement.StandIns.Ledger+"/bookings", "", "", nil)
	assert.Check(t, cmp.Contains(bookings, `"TimesRun":1`))
	assert.Equal(t, strings.Count(bookings, "TimesRun"), 1, bookings)
	resp, _ := f.do("POST", f.announcement.Entries[1]+url, f.announcement.Keys["accra"], "order-1", map[string]int{"Release": 8})
	assert.Equal(t, resp.StatusCode, http.StatusUnprocessableEntity)
}

// Guards against missing or repeated tokens in a stream whose sidecar fails (P7).
func TestStreamContinuesOnAnotherEndpoint(t *testing.T) {
	f := startFleet(t)
	const tokens = 200
	resp := f.send("POST", f.announcement.Entries[0]+"/v1/completions", f.announcement.Keys["accra"], "", completionRequest(f.announcement.Routes.Model["accra"], "draft", tokens, true))
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	text, complete, errorCode := readStream(t, resp.Body, func(count int) {
		if count != 20 {
			return
		}
		for i, engine := range f.Engines() {
			if len(engine.Resident()) > 0 {
				f.Sidecars()[i].Kill()
			}
		}
	})
	assert.Check(t, complete, errorCode)
	assert.Equal(t, text, emulator.GenerateText("accra-drafts@v1", "draft", tokens))
}

// Guards against a withdrawn key that keeps working on an open connection or in a running stream (P5), and against a
// configuration change that does not reach every entry (P12).
func TestWithdrawnKeyIsRefusedWhileConnected(t *testing.T) {
	f := startFleet(t)
	var resp *http.Response
	// The token buckets of a new fleet are empty at first.
	f.eventually("the stream is admitted", func() bool {
		resp = f.send("POST", f.announcement.Entries[1]+"/v1/completions", f.announcement.Keys["accra"], "", completionRequest(f.announcement.Routes.Model["accra"], "long", 5_000, true))
		if resp.StatusCode != http.StatusOK {
			_ = resp.Body.Close()
		}
		return resp.StatusCode == http.StatusOK
	})
	defer func() { _ = resp.Body.Close() }()
	assert.NilError(t, os.WriteFile(filepath.Join(f.announcement.Folder, "50-keys-accra.yaml"), []byte("Keys: []\n"), 0o600))
	_, complete, errorCode := readStream(t, resp.Body, nil)
	assert.Check(t, !complete)
	assert.Equal(t, errorCode, "key_withdrawn")
	for _, entry := range f.announcement.Entries {
		f.eventually("the key is refused on "+entry, func() bool {
			resp, _ := f.do("GET", entry+"/v1/models", f.announcement.Keys["accra"], "", nil)
			return resp.StatusCode == http.StatusUnauthorized
		})
		resp, _ := f.do("GET", entry+"/v1/models", f.announcement.Keys["vunidawa"], "", nil)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
}

// Guards against a graceful shutdown of the whole fleet that interrupts running streams (P11).
func TestGracefulShutdownCompletesStreams(t *testing.T) {
	f := startFleet(t)
	const streams, tokens = 6, 150
	type streamResult struct {
		text     string
		complete bool
		want     string
	}
	results, started := make(chan streamResult, streams), make(chan struct{}, streams)
	for i := range streams {
		prompt := fmt.Sprintf("draft %d", i)
		resp := f.send("POST", f.announcement.Entries[i%3]+"/v1/completions", f.announcement.Keys["accra"], "", completionRequest(f.announcement.Routes.Model["accra"], prompt, tokens, true))
		go func() {
			defer func() { _ = resp.Body.Close() }()
			text, complete, _ := readStream(t, resp.Body, func(count int) {
				if count == 1 {
					started <- struct{}{}
				}
			})
			results <- streamResult{text, complete, emulator.GenerateText("accra-drafts@v1", prompt, tokens)}
		}()
	}
	for range streams {
		<-started
	}
	f.shutdown()
	for range streams {
		result := <-results
		assert.Check(t, result.complete)
		assert.Check(t, cmp.Equal(result.text, result.want))
	}
	err := <-f.runErr
	f.runErr <- err
	assert.NilError(t, err)
}
