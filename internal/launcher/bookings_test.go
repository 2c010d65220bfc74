package launcher_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"geraniumladder/internal/authenticator"
	"geraniumladder/internal/dispatcher"
	"geraniumladder/internal/emulator"
	"geraniumladder/internal/launcher"
	"geraniumladder/internal/messenger"
	"geraniumladder/internal/router"
	"geraniumladder/internal/storer"
)

// gate holds the requests of a stand-in back until it is opened, and says when one has come.
type gate struct {
	reached chan int
	open    chan struct{}
	once    sync.Once
}

func newGate() *gate { return &gate{reached: make(chan int, 64), open: make(chan struct{})} }

func (g *gate) release() { g.once.Do(func() { close(g.open) }) }

// before holds back the POST requests of the path.
func (g *gate) before(path string) func(int, http.Handler) http.Handler {
	return func(index int, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodPost && r.URL.Path == path {
				g.reached <- index
				<-g.open
			}
			next.ServeHTTP(w, r)
		})
	}
}

const bookingsPath = "/services/accra-ledger/bookings"

func (f *fleet) timesRun() (times []int) {
	for _, b := range f.Ledgers()[0].Book().Bookings() {
		times = append(times, b.TimesRun)
	}
	return times
}

// Guards against a booking that a dead sidecar keeps from running, or that runs twice, when the sidecar dies before
// the booking has started: it goes to the other one and runs once (P9).
func TestBookingGoesElsewhereWhenItsSidecarIsKilledBeforeItStarts(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	// The entries believe both sidecars to be alive when the booking comes.
	f.Sidecars()[4].Kill()
	_ = f.StopSidecar(4)
	for i := range 6 {
		key := fmt.Sprintf("order-%d", i)
		resp, text := f.do("POST", f.at.Entries[i%3]+bookingsPath, f.at.Keys["accra"], key, map[string]int{"Release": i})
		assert.Equal(t, resp.StatusCode, http.StatusCreated, text)
	}
	for _, n := range f.timesRun() {
		assert.Check(t, cmp.Equal(n, 1))
	}
	assert.Equal(t, len(f.timesRun()), 6)
}

// Guards against a booking that runs twice, or is called not run, when its sidecar dies after it has started: its
// outcome is unknown until the operators settle it (P8, P9).
func TestOutcomeIsUnknownWhenTheSidecarIsKilledAfterTheStart(t *testing.T) {
	t.Parallel()
	g := newGate()
	f := startFleetWith(t, launcher.DemoConfig{WrapLedger: g.before("/bookings")})
	t.Cleanup(g.release)
	type end struct {
		status        int
		outcome, text string
	}
	ends := make(chan end, 1)
	go func() {
		resp, text := f.do("POST", f.at.Entries[0]+bookingsPath, f.at.Keys["accra"], "order", map[string]int{"Release": 1})
		ends <- end{resp.StatusCode, resp.Header.Get("Geraniumladder-Outcome"), text}
	}()
	sidecar := 4 + <-g.reached
	f.Sidecars()[sidecar].Kill()
	_ = f.StopSidecar(sidecar)
	assert.NilError(t, f.RestartSidecar(sidecar))
	first := <-ends
	assert.Equal(t, first.outcome, "unknown", first.text)
	g.release()

	store := storer.NewClient(storer.ClientConfig{URL: f.at.Platform})
	defer store.Close()
	row, err := store.Get(context.Background(), router.ClaimPk, "accra/order")
	assert.NilError(t, err)
	assert.Check(t, cmp.Contains(string(row.Data), `"State":"unknown"`))
	resp, text := f.do("POST", f.at.Entries[1]+bookingsPath, f.at.Keys["accra"], "order", map[string]int{"Release": 1})
	assert.Equal(t, resp.StatusCode, http.StatusConflict, text)
	assert.Equal(t, resp.Header.Get("Geraniumladder-Outcome"), "unknown")

	settled := strings.Replace(string(row.Data), `"State":"unknown"`, `"State":"settled-ran"`, 1)
	assert.NilError(t, store.Put(context.Background(), storer.Row{Pk: router.ClaimPk, Sk: "accra/order", Data: []byte(settled), Mark: "operator"}, row.Version))
	resp, text = f.do("POST", f.at.Entries[2]+bookingsPath, f.at.Keys["accra"], "order", map[string]int{"Release": 1})
	assert.Equal(t, resp.StatusCode, http.StatusConflict, text)
	assert.Equal(t, resp.Header.Get("Geraniumladder-Outcome"), "ran")
	assert.Check(t, len(f.timesRun()) <= 1)
}

// Guards against a booking that runs twice, or is refused falsely, when the table takes effect and loses its answer, or
// is slow, while the call is claimed (P8, P9).
func TestLateAndLostAnswersOfTheTableOnTheClaim(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	for i, fault := range []emulator.Faults{
		{LoseAnswerNext: 1}, {LoseAnswerNext: 2}, {LoseAnswerNext: 3}, {LoseAnswerNext: 6}, {Latency: emulator.Duration(700 * time.Millisecond)},
	} {
		key := fmt.Sprintf("order-%d", i)
		f.Platform().Table.SetFaults(fault)
		var whole []string
		for try := range 3 {
			resp, text := f.do("POST", f.at.Entries[try]+bookingsPath, f.at.Keys["accra"], key, map[string]int{"Release": i})
			if resp.StatusCode == http.StatusCreated {
				whole = append(whole, text)
				continue
			}
			assert.Check(t, cmp.Equal(resp.Header.Get("Geraniumladder-Outcome"), "not-run"), "%v: %s", fault, text)
		}
		f.Platform().Table.SetFaults(emulator.Faults{})
		resp, text := f.do("POST", f.at.Entries[i%3]+bookingsPath, f.at.Keys["accra"], key, map[string]int{"Release": i})
		assert.Equal(t, resp.StatusCode, http.StatusCreated, text)
		for _, answer := range whole {
			assert.Check(t, cmp.Equal(answer, text))
		}
		assert.Equal(t, len(f.timesRun()), i+1)
		assert.Equal(t, f.timesRun()[i], 1)
	}
}

// Guards against a second run, or another answer, when the entry that sent a booking dies and the caller asks for it on
// another entry (P7, P9).
func TestCallerRetriesOnAnotherEntryWhenItsEntryIsKilled(t *testing.T) {
	t.Parallel()
	g := newGate()
	f := startFleetWith(t, launcher.DemoConfig{WrapLedger: g.before("/bookings")})
	t.Cleanup(g.release)
	lost := make(chan error, 1)
	go func() {
		req, err := http.NewRequest("POST", f.at.Entries[0]+bookingsPath, strings.NewReader(`{"Release":1}`))
		if err == nil {
			req.Header.Set("Authorization", "Bearer "+f.at.Keys["accra"])
			req.Header.Set("Idempotency-Key", "order")
			var resp *http.Response
			if resp, err = f.client.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}
		lost <- err
	}()
	<-g.reached
	f.Entries()[0].Kill()
	assert.Check(t, <-lost != nil, "the killed entry answered")
	answers := make(chan string, 2)
	for i := range cap(answers) {
		go func() {
			resp, text := f.do("POST", f.at.Entries[1+i]+bookingsPath, f.at.Keys["accra"], "order", map[string]int{"Release": 1})
			answers <- fmt.Sprint(resp.StatusCode, text)
		}()
	}
	// Let both retries join before the booking ends; the order does not matter for what is checked.
	time.Sleep(100 * time.Millisecond)
	g.release()
	first := <-answers
	assert.Check(t, cmp.Contains(first, `{"Release":1}`))
	assert.Check(t, strings.HasPrefix(first, "201"), first)
	assert.Equal(t, <-answers, first)
	assert.DeepEqual(t, f.timesRun(), []int{1})
}

// crossing answers some completions as the engine would answer another request.
type crossing struct {
	http.ResponseWriter
	id string
}

func (c *crossing) Unwrap() http.ResponseWriter { return c.ResponseWriter }

func (c *crossing) Write(p []byte) (int, error) {
	crossed := strings.ReplaceAll(string(p), c.id, "req-of-another")
	_, err := c.ResponseWriter.Write([]byte(crossed))
	return len(p), err
}

// Guards against an engine's answer to another request that reaches a caller (P7).
func TestCrossedAnswerNeverReachesACaller(t *testing.T) {
	t.Parallel()
	f := startFleetWith(t, launcher.DemoConfig{WrapEngine: func(index int, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if index != 0 && r.URL.Path == "/v1/completions" {
				w = &crossing{w, r.Header.Get("X-Request-Id")}
			}
			next.ServeHTTP(w, r)
		})
	}})
	served := 0
	for i := range 12 {
		prompt := fmt.Sprintf("draft %d", i)
		resp, text := f.do("POST", f.at.Entries[i%3]+"/v1/completions", f.at.Keys["accra"], "", completion("accra-drafts", prompt, 8, i%2 == 0))
		assert.Check(t, !strings.Contains(text, "req-of-another"), text)
		if resp.StatusCode != http.StatusOK {
			continue
		}
		if i%2 == 1 {
			served++
			assert.Check(t, cmp.Contains(text, emulator.Answer("accra-drafts@v1", prompt, 8)))
			continue
		}
		got, whole, _ := readStream(t, strings.NewReader(text), nil)
		if whole {
			served++
		}
		assert.Check(t, strings.HasPrefix(emulator.Answer("accra-drafts@v1", prompt, 8), got))
	}
	t.Logf("%d of 12 were served", served)
}

// Guards against a booking that is refused because an earlier dispatch of it was refused by the same sidecar, which
// then remembers the dispatch as void.
func TestBookingIsSentAgainAfterARefusalByTheSameSidecar(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	signer, err := authenticator.New(authenticator.Config{Secret: strings.Repeat("demo", authenticator.MinSecretBytes)})
	assert.NilError(t, err)
	m := messenger.New(messenger.Config{Signer: signer})
	defer m.Close()
	// The sidecars hear of the next revision before any entry has it, as from an entry that is ahead of the others.
	revision := f.Entries()[0].Router().Status().Revision + 1
	for _, sidecar := range f.Sidecars()[4:] {
		req, err := http.NewRequest("POST", dispatcher.RunPath, nil)
		assert.NilError(t, err)
		req.Header.Set(dispatcher.RunHeaderName, fmt.Sprintf(`{"RequestId":"ahead","Incarnation":"none","Revision":%d}`, revision))
		resp, err := m.Do(req, sidecar.Address())
		assert.NilError(t, err)
		assert.NilError(t, resp.Body.Close())
	}
	// From 4 s on the sidecars refuse what was decided under the revision before.
	f.eventually("a booking is refused", func() bool {
		resp, _ := f.do("POST", f.at.Entries[0]+bookingsPath, f.at.Keys["accra"], "", map[string]int{"Release": -1})
		return resp.StatusCode != http.StatusCreated
	})
	var all sync.WaitGroup
	for i := range 6 {
		all.Add(1)
		go func() {
			defer all.Done()
			key := ""
			if i%2 == 0 {
				key = fmt.Sprintf("order-%d", i)
			}
			f.eventually("the booking runs", func() bool {
				resp, text := f.do("POST", f.at.Entries[i%3]+bookingsPath, f.at.Keys["accra"], key, map[string]int{"Release": i})
				assert.Check(t, resp.StatusCode == http.StatusCreated || strings.Contains(text, "no_endpoint"), text)
				return resp.StatusCode == http.StatusCreated
			})
		}()
	}
	text, err := os.ReadFile(filepath.Join(f.at.Folder, "90-objectives.yaml"))
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(filepath.Join(f.at.Folder, "90-objectives.yaml"), []byte(strings.Replace(string(text), "0.95", "0.96", 1)), 0o600))
	all.Wait()
}

// Guards against a planned stop that leaves the lease behind, for whose expiry the next sidecar would wait.
func TestPlannedStopReleasesTheLease(t *testing.T) {
	t.Parallel()
	f := startFleet(t)
	store := storer.NewClient(storer.ClientConfig{URL: f.at.Platform})
	defer store.Close()
	for i := range f.Engines() {
		assert.NilError(t, f.StopSidecar(i))
		row, err := store.Get(context.Background(), "lease", fmt.Sprintf("model-%d", i+1))
		assert.NilError(t, err)
		assert.Check(t, cmp.Contains(string(row.Data), `"Released":true`))
	}
}

// endless drops the connection before the end mark of a stream.
type endless struct{ http.ResponseWriter }

func (e *endless) Unwrap() http.ResponseWriter { return e.ResponseWriter }

func (e *endless) Write(p []byte) (int, error) {
	if strings.Contains(string(p), "[DONE]") || strings.Contains(string(p), `"choices":[]`) {
		_ = http.NewResponseController(e.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	}
	return e.ResponseWriter.Write(p)
}

// Guards against a wrong last token when a stream breaks between its last token and its end mark (P7).
func TestStreamThatBreaksBeforeItsEndMarkEndsRight(t *testing.T) {
	t.Parallel()
	var broken sync.Map
	f := startFleetWith(t, launcher.DemoConfig{WrapEngine: func(_ int, next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			id = id[max(0, strings.LastIndex(id, "req-")):]
			resumed, isResumed := strings.CutPrefix(r.URL.Path, "/v1/streams/")
			if _, again := broken.LoadOrStore(id, resumed); r.URL.Path == "/v1/completions" && !again {
				w = &endless{w}
			} else if isResumed && !strings.HasPrefix(resumed, "attempt-") {
				http.NotFound(w, r)
				return
			}
			next.ServeHTTP(w, r)
		})
	}})
	for i := range 3 {
		resp, text := f.do("POST", f.at.Entries[i]+"/v1/completions", f.at.Keys["accra"], "", completion("accra-drafts", "draft", 8, true))
		assert.Equal(t, resp.StatusCode, http.StatusOK, text)
		got, whole, failure := readStream(t, strings.NewReader(text), nil)
		assert.Check(t, whole, failure)
		assert.Check(t, cmp.Equal(got, emulator.Answer("accra-drafts@v1", "draft", 8)))
	}
}
