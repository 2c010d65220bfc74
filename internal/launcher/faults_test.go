package launcher_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/authenticator"
	"geraniumladder/internal/emulator"
	"geraniumladder/internal/launcher"
)

var (
	faultSeed = flag.Uint64("faults.seed", 0, "run the fault schedules of this seed only")
	faultOnly = flag.String("faults.only", "", "draw only faults whose name matches this regular expression")
)

const (
	// schedulesPerSeed is the number of fault schedules that a seed draws. They run one after the other on the same
	// fleet.
	schedulesPerSeed = 3
	// faultDuration is how long all faults of a schedule stay active together.
	faultDuration   = 1500 * time.Millisecond
	faultRoutes     = 6
	smallRate       = 60
	smallBurst      = 180
	bookingAttempts = 8
	// requestTimeout only ends requests that would hang. It is longer than the deadline of every route.
	requestTimeout = 25 * time.Second
)

// admitted is the number of tokens of one completed request of the organisation "small", which was admitted between
// from and to.
type admitted struct {
	from, to time.Time
	tokens   float64
}

// engineRun records that an engine has started to respond to a request.
type engineRun struct {
	engine    int
	startedAt time.Time
}

// bookingRecord holds what the caller of a booking knows: the outcome of each request that it sent.
type bookingRecord struct {
	keyed     bool
	responses []string
	outcomes  []string
}

// faultTest is a fleet under load and faults, with the observations of its callers and endpoints.
type faultTest struct {
	*fleet
	seed       uint64
	lastNumber atomic.Int64
	// minVersion is the adapter version that is in force on all entries. It starts at 1.
	minVersion atomic.Int64
	// secondKey is the caller's key that schedules withdraw and replace. withdrawn holds the same key once all entries
	// have refused it, and "" before.
	secondKey atomic.Value
	withdrawn atomic.Value

	mu         sync.Mutex
	violations []string
	bookings   map[string]*bookingRecord
	admitted   []admitted
	runs       map[string][]engineRun
	started    map[string]time.Time
	notRun     map[string]string
	callerKeys []string
	// plannedOnly is true while the schedule has no unplanned fault, so that no request may be interrupted.
	plannedOnly bool
}

func newFaultTest(t *testing.T, seed uint64) *faultTest {
	w := &faultTest{seed: seed, bookings: map[string]*bookingRecord{}, runs: map[string][]engineRun{}, started: map[string]time.Time{}, notRun: map[string]string{}}
	w.fleet = startFleetWith(t, launcher.DemoConfig{
		Fleet: launcher.FleetConfig{Slots: 2, BookingTime: 10 * time.Millisecond}, LeaseTTL: 3 * time.Second,
		WrapEngine: func(engine int, next http.Handler) http.Handler { return w.recordRuns(engine, next) },
	})
	w.client = &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	w.minVersion.Store(1)
	w.callerKeys = []string{"gl-acme-first", "gl-small"}
	for _, key := range w.announcement.Keys {
		w.callerKeys = append(w.callerKeys, key)
	}
	w.writeRoutes(1)
	w.newSecondKey()
	for _, entry := range w.announcement.Entries {
		w.eventually("the keys work on "+entry, func() bool {
			return w.status("GET", entry+"/v1/models", w.secondKey.Load().(string), "", nil) == http.StatusOK &&
				w.status("GET", entry+"/v1/models", "gl-acme-first", "", nil) == http.StatusOK
		})
	}
	return w
}

func (w *faultTest) addViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// recordRuns records the completions that an engine has started to respond to.
func (w *faultTest) recordRuns(engine int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost && req.URL.Path == "/v1/completions" {
			rw = &runWriter{ResponseWriter: rw, onStart: func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				// Retries have a prefix before the request ID.
				id := req.Header.Get("X-Request-Id")
				id = id[max(0, strings.LastIndex(id, "req-")):]
				w.runs[id] = append(w.runs[id], engineRun{engine, time.Now()})
			}}
		}
		next.ServeHTTP(rw, req)
	})
}

type runWriter struct {
	http.ResponseWriter
	onStart func()
}

func (w *runWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *runWriter) WriteHeader(status int) {
	if status == http.StatusOK {
		w.onStart()
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *faultTest) writeFile(name, text string) {
	assert.NilError(w.t, os.WriteFile(filepath.Join(w.announcement.Folder, name), []byte(text), 0o600))
}

func (w *faultTest) writeRoutes(version int64) {
	var s strings.Builder
	fmt.Fprintf(&s, "Organisations:\n  - {Name: acme, Rate: 50000, Burst: 150000, Weight: 1}\n  - {Name: small, Rate: %d, Burst: %d, Weight: 1}\n", smallRate, smallBurst)
	fmt.Fprintf(&s, "Keys:\n  - {Id: acme-1, Organisation: acme, Digest: %s}\n  - {Id: small-1, Organisation: small, Digest: %s}\n",
		authenticator.Digest("gl-acme-first"), authenticator.Digest("gl-small"))
	s.WriteString("Adapters:\n")
	for i := range faultRoutes {
		fmt.Fprintf(&s, "  - Name: acme-%d\n    BaseModel: base\n    Versions:\n", i)
		for v := range version + 1 {
			fmt.Fprintf(&s, "      - {Version: v%d, Path: acme/%d/v%d}\n", v, i, v)
		}
	}
	s.WriteString("Routes:\n")
	for i := range faultRoutes {
		fmt.Fprintf(&s, "  - {Name: acme-%d, Organisations: [acme, small], Deadline: 15s, Targets: [{Adapter: acme-%d, Version: v%d}]}\n", i, i, version)
	}
	s.WriteString(`  - Name: acme-ledger
    Organisations: [acme]
    Service: ledger
    Deadline: 4s
    Calls:
      - {Method: POST, Path: "/bookings", Repeatable: false}
      - {Method: GET, Path: "/*", Repeatable: true}
`)
	w.writeFile("60-faults.yaml", s.String())
}

func (w *faultTest) newSecondKey() {
	secret := fmt.Sprintf("gl-acme-second-%d", w.lastNumber.Add(1))
	w.mu.Lock()
	w.callerKeys = append(w.callerKeys, secret)
	w.mu.Unlock()
	w.writeFile("61-faults-key.yaml", fmt.Sprintf("Keys:\n  - {Id: %s, Organisation: acme, Digest: %s}\n", secret[3:], authenticator.Digest(secret)))
	w.secondKey.Store(secret)
	w.withdrawn.Store("")
}

// response is the result of a request as its caller sees it.
type response struct {
	status  int
	id      string
	outcome string
	code    string
	body    []byte
	err     error
}

func (r response) String() string {
	return fmt.Sprintf("status %d, outcome %q, code %q, id %s, error %v", r.status, r.outcome, r.code, r.id, r.err)
}

func (w *faultTest) status(method, url, key, idempotencyKey string, body []byte) int {
	return w.sendRequest(method, url, key, idempotencyKey, body).status
}

func (w *faultTest) sendRequest(method, url, key, idempotencyKey string, body []byte) response {
	started := time.Now()
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	assert.NilError(w.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	r := response{status: resp.StatusCode, id: resp.Header.Get("X-Request-Id"), outcome: resp.Header.Get("Geraniumladder-Outcome")}
	r.body, r.err = io.ReadAll(resp.Body)
	var errorBody struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if r.status >= http.StatusBadRequest && json.Unmarshal(r.body, &errorBody) == nil {
		r.code = errorBody.Error.Code
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started[r.id] = started
	if r.outcome == "not-run" {
		w.notRun[r.id] = r.String()
	}
	return r
}

// load starts goroutines that send a mix of requests until stop is closed.
func (w *faultTest) load(stop <-chan struct{}) *sync.WaitGroup {
	var all sync.WaitGroup
	senders := []func(*rand.Rand){w.sendCompletion, w.sendCompletion, w.sendCompletion, w.sendCompletion, w.sendKeyedBooking, w.sendKeyedBooking, w.sendUnkeyedBooking, w.sendBalanceRead, w.sendOverRate, w.sendOverRate, w.sendOverRate, w.sendOverRate, w.sendForeignKey}
	for i, sendOne := range senders {
		all.Add(1)
		rng := rand.New(rand.NewPCG(w.seed, uint64(i)))
		go func() {
			defer all.Done()
			for {
				sendOne(rng)
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rng.IntN(20)) * time.Millisecond):
				}
			}
		}()
	}
	return &all
}

func (w *faultTest) randomEntry(rng *rand.Rand) string {
	return w.announcement.Entries[rng.IntN(len(w.announcement.Entries))]
}

// sendCompletion requests a completion, streamed or not, with either key of the organisation.
func (w *faultTest) sendCompletion(rng *rand.Rand) {
	key := "gl-acme-first"
	if rng.IntN(2) == 0 {
		key = w.secondKey.Load().(string)
	}
	w.checkCompletion(w.randomEntry(rng), key, rng.IntN(faultRoutes), 10+rng.IntN(60), rng.IntN(3) > 0)
}

// checkCompletion requests a completion and checks that the response belongs to the request, is complete, and was
// generated by the version in force or a later one. It reports whether the response was complete.
func (w *faultTest) checkCompletion(entry, key string, route, tokens int, stream bool) (ok bool) {
	routedVersion, withdrawn := w.minVersion.Load(), key != "" && w.withdrawn.Load() == key
	prompt := fmt.Sprintf("draft %d", w.lastNumber.Add(1))
	body, err := json.Marshal(completionRequest(fmt.Sprintf("acme-%d", route), prompt, tokens, stream))
	assert.NilError(w.t, err)
	r := w.sendRequest("POST", entry+"/v1/completions", key, "", body)
	if r.status != http.StatusOK {
		// The withdrawal of a key ends the completions that run with it.
		if w.plannedOnly && r.err == nil && r.outcome != "not-run" && r.code != "key_withdrawn" {
			w.addViolation("P11: a graceful shutdown interrupted a completion: %v", r)
		}
		return false
	}
	if withdrawn {
		w.addViolation("P5: a withdrawn key was served: %v", r)
	}
	text, models, complete := parseCompletion(r, stream)
	if !complete {
		if !stream {
			w.addViolation("P7: a non-streaming response is incomplete: %v", r)
		}
		if w.plannedOnly && !bytes.Contains(r.body, []byte("key_withdrawn")) {
			w.addViolation("P11: a graceful shutdown interrupted a stream: %v: %.300s", r, r.body[max(0, len(r.body)-300):])
		}
	}
	for _, model := range models {
		var v int64
		if n, err := fmt.Sscanf(model, fmt.Sprintf("acme-%d@v%%d", route), &v); n != 1 || err != nil || v < routedVersion || model != models[0] {
			w.addViolation("P1, P12: route acme-%d with version v%d in force got a response from %q", route, routedVersion, models)
		}
		if want := emulator.GenerateText(model, prompt, tokens); complete && text != want || !strings.HasPrefix(want, text) {
			w.addViolation("P7: %v: got %q, want %q", r, text, want)
		}
	}
	return complete
}

// parseCompletion returns the text and the models of a response, and whether the response is complete.
func parseCompletion(r response, stream bool) (text string, models []string, complete bool) {
	lines := [][]byte{r.body}
	if stream {
		lines = bytes.Split(r.body, []byte("\n"))
	}
	for _, line := range lines {
		data, isData := bytes.CutPrefix(line, []byte("data: "))
		if stream && !isData {
			continue
		}
		if string(data) == "[DONE]" {
			complete = true
			continue
		}
		var chunk struct {
			completionChunk
			ID    string `json:"id"`
			Model string `json:"model"`
		}
		if json.Unmarshal(data, &chunk) != nil || chunk.Error != nil {
			continue
		}
		complete = complete || !stream && r.err == nil
		if !slices.Contains(models, chunk.Model) {
			models = append(models, chunk.Model)
		}
		if !strings.HasSuffix(chunk.ID, r.id) {
			models = append(models, "of request "+chunk.ID)
		}
		for _, c := range chunk.Choices {
			text += c.Text
		}
	}
	return text, models, complete
}

func (w *faultTest) newBooking(keyed bool) (name string, body []byte) {
	name = fmt.Sprintf("booking-%d-%d", w.seed, w.lastNumber.Add(1))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bookings[name] = &bookingRecord{keyed: keyed}
	return name, []byte(fmt.Sprintf(`{"Id":%q}`, name))
}

// sendKeyedBooking books with an idempotency key and retries on other entries until it gets a final response. Some
// bookings are sent by two callers concurrently.
func (w *faultTest) sendKeyedBooking(rng *rand.Rand) {
	name, body := w.newBooking(true)
	callers := 1 + rng.IntN(2)
	var all sync.WaitGroup
	for range callers {
		all.Add(1)
		first := rng.IntN(len(w.announcement.Entries))
		go func() {
			defer all.Done()
			for try := range bookingAttempts {
				if !w.sendBooking(w.announcement.Entries[(first+try)%len(w.announcement.Entries)], name, name, body) {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	all.Wait()
}

func (w *faultTest) sendUnkeyedBooking(rng *rand.Rand) {
	name, body := w.newBooking(false)
	w.sendBooking(w.randomEntry(rng), name, "", body)
}

// sendBooking sends a booking once and records the outcome. It reports whether the booking may be retried.
func (w *faultTest) sendBooking(entry, name, idempotencyKey string, body []byte) (retry bool) {
	r := w.sendRequest("POST", entry+"/services/acme-ledger/bookings", "gl-acme-first", idempotencyKey, body)
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.bookings[name]
	switch {
	case r.err != nil:
		b.outcomes = append(b.outcomes, "unknown")
		return true
	case r.status == http.StatusCreated:
		b.outcomes, b.responses = append(b.outcomes, "ok"), append(b.responses, string(r.body))
		return false
	}
	if w.plannedOnly && r.outcome != "not-run" {
		w.violations = append(w.violations, fmt.Sprintf("P11: a graceful shutdown interrupted a booking: %v", r))
	}
	if r.outcome == "" && r.status != http.StatusServiceUnavailable {
		w.violations = append(w.violations, fmt.Sprintf("a booking was refused without an outcome: %v: %s", r, r.body))
	}
	// A 503 of the ledger itself has no outcome header; the ledger has not booked then.
	b.outcomes = append(b.outcomes, r.outcome)
	return r.status != http.StatusUnprocessableEntity
}

func (w *faultTest) sendBalanceRead(rng *rand.Rand) {
	name := fmt.Sprintf("account-%d", w.lastNumber.Add(1))
	r := w.sendRequest("GET", w.randomEntry(rng)+"/services/acme-ledger/balances/"+name, "gl-acme-first", "", nil)
	if r.status == http.StatusOK && r.err == nil && !bytes.Contains(r.body, []byte(`"`+name+`"`)) {
		w.addViolation("P7: the request for the balance of %s got the response %s", name, r.body)
	}
}

// sendOverRate sends requests above the rate of the organisation "small".
func (w *faultTest) sendOverRate(rng *rand.Rand) {
	const tokens = 20
	prompt := fmt.Sprintf("q%d", w.lastNumber.Add(1))
	from := time.Now()
	body, err := json.Marshal(completionRequest(fmt.Sprintf("acme-%d", rng.IntN(2)), prompt, tokens, false))
	assert.NilError(w.t, err)
	r := w.sendRequest("POST", w.randomEntry(rng)+"/v1/completions", "gl-small", "", body)
	if r.status == http.StatusOK {
		w.mu.Lock()
		w.admitted = append(w.admitted, admitted{from, time.Now(), float64(tokens + (len(prompt)+3)/4 + 1)})
		w.mu.Unlock()
	}
}

// sendForeignKey sends a request with the key of an organisation that the route does not allow.
func (w *faultTest) sendForeignKey(rng *rand.Rand) {
	body, err := json.Marshal(completionRequest("acme-0", "foreign", 1, false))
	assert.NilError(w.t, err)
	if r := w.sendRequest("POST", w.randomEntry(rng)+"/v1/completions", w.announcement.Keys["accra"], "", body); r.status < http.StatusBadRequest && r.err == nil {
		w.addViolation("P3: a route served another organisation's key: %v", r)
	}
}

// fault is one fault of a schedule. inject starts it and returns the function that ends it.
type fault struct {
	name    string
	planned bool
	// group names the component that the fault affects. A schedule has at most one fault per group.
	group  string
	inject func() (restore func())
}

func injectFaults(s interface{ SetFaults(emulator.Faults) }, f emulator.Faults) func() func() {
	return func() func() {
		s.SetFaults(f)
		return func() { s.SetFaults(emulator.Faults{}) }
	}
}

// drawFaults returns all faults with randomly drawn parameters.
func (w *faultTest) drawFaults(rng *rand.Rand) []fault {
	engine, ledger, entry, sidecar := rng.IntN(len(w.Engines())), rng.IntN(len(w.Ledgers())), rng.IntN(3), rng.IntN(6)
	p := w.Platform()
	return []fault{
		{"table down", false, "table", injectFaults(p.Table, emulator.Faults{Down: true})},
		{"table slow", false, "table", injectFaults(p.Table, emulator.Faults{Latency: emulator.Duration(400 * time.Millisecond)})},
		{"table loses answers", false, "table", injectFaults(p.Table, emulator.Faults{LoseAnswerNext: 1 + rng.IntN(20)})},
		{"table silent", false, "table", injectFaults(p.Table, emulator.Faults{Silent: true})},
		{"objects down", false, "objects", injectFaults(p.Objects, emulator.Faults{Down: true})},
		{"loads fail", false, "engine", injectFaults(w.Engines()[engine], emulator.Faults{LoadFailRate: 0.5})},
		{"engine silent", false, "engine", injectFaults(w.Engines()[engine], emulator.Faults{Silent: true})},
		{"engine loses answers", false, "engine", injectFaults(w.Engines()[engine], emulator.Faults{LoseAnswerNext: 5})},
		{"engine crash", false, "engine", func() func() {
			w.Engines()[engine].Crash()
			return func() {}
		}},
		{"ledger loses answers", false, "ledger", injectFaults(w.Ledgers()[ledger], emulator.Faults{LoseAnswerNext: 1 + rng.IntN(4)})},
		{"ledger silent", false, "sidecar", func() func() {
			w.Ledgers()[ledger].SetFaults(emulator.Faults{SilentAll: true})
			return func() {
				w.Ledgers()[ledger].SetFaults(emulator.Faults{})
				// The ledger never responds to calls that it received while silent, and a graceful shutdown of the
				// sidecar would wait for them.
				sidecar := len(w.Engines()) + ledger
				w.Sidecars()[sidecar].Kill()
				w.restartSidecar(sidecar)
			}
		}},
		{"ledger fails", false, "ledger", injectFaults(w.Ledgers()[ledger], emulator.Faults{FailNext: 5})},
		{fmt.Sprintf("sidecar %d killed", sidecar), false, "sidecar", func() func() {
			w.Sidecars()[sidecar].Kill()
			return func() { w.restartSidecar(sidecar) }
		}},
		{fmt.Sprintf("sidecar %d stopped", sidecar), true, "sidecar", func() func() {
			ended := make(chan error, 1)
			go func() { ended <- w.StopSidecar(sidecar) }()
			return func() {
				assert.NilError(w.t, <-ended)
				w.restartSidecar(sidecar)
			}
		}},
		{fmt.Sprintf("entry %d killed", entry), false, "entry", func() func() {
			w.Entries()[entry].Kill()
			return func() { w.restartEntry(entry) }
		}},
		{fmt.Sprintf("entry %d stopped", entry), true, "entry", func() func() {
			ended := make(chan error, 1)
			go func() { ended <- w.StopEntry(entry) }()
			return func() {
				assert.NilError(w.t, <-ended)
				w.restartEntry(entry)
			}
		}},
		{"key withdrawn", true, "key", func() func() {
			key := w.secondKey.Load().(string)
			w.writeFile("61-faults-key.yaml", "Keys: []\n")
			return func() { w.waitForWithdrawal(key) }
		}},
		{"route changed", true, "route", func() func() {
			next := w.minVersion.Load() + 1
			w.writeRoutes(next)
			return func() { w.waitForVersion(next) }
		}},
		{fmt.Sprintf("engine %d leaving", engine), true, "sidecar", func() func() { return w.markLeaving(engine) }},
	}
}

func (w *faultTest) restartSidecar(i int) {
	_ = w.StopSidecar(i) // returns an error if it was killed
	assert.NilError(w.t, w.RestartSidecar(i))
}

func (w *faultTest) restartEntry(i int) {
	_ = w.StopEntry(i)
	assert.NilError(w.t, w.RestartEntry(i))
}

// waitForWithdrawal waits until each entry refuses the key. From then on the key must not work, which further
// completions check. It then creates a new second key.
func (w *faultTest) waitForWithdrawal(key string) {
	for _, entry := range w.announcement.Entries {
		w.eventually("the withdrawn key is refused on "+entry, func() bool {
			return w.status("GET", entry+"/v1/models", key, "", nil) == http.StatusUnauthorized
		})
	}
	w.withdrawn.Store(key)
	for i := range 2 * faultRoutes {
		w.checkCompletion(w.announcement.Entries[i%3], key, i%faultRoutes, 2, true)
	}
	w.newSecondKey()
	w.waitForSecondKey()
}

func (w *faultTest) waitForSecondKey() {
	for _, entry := range w.announcement.Entries {
		w.eventually("the new key works on "+entry, func() bool {
			return w.status("GET", entry+"/v1/models", w.secondKey.Load().(string), "", nil) == http.StatusOK
		})
	}
}

// waitForVersion waits until all entries have the revision with the new version. From then on every completion must be
// generated by at least this version.
func (w *faultTest) waitForVersion(minVersion int64) {
	var revision int64
	w.eventually("an entry has the new routes", func() bool {
		for _, e := range w.Entries() {
			revision = max(revision, e.Router().Status().Revision)
		}
		body, _ := json.Marshal(completionRequest("acme-0", "version", 1, false))
		r := w.sendRequest("POST", w.announcement.Entries[0]+"/v1/completions", "gl-acme-first", "", body)
		return bytes.Contains(r.body, fmt.Appendf(nil, "acme-0@v%d", minVersion))
	})
	revision = w.Entries()[0].Router().Status().Revision
	w.eventually("all entries have the new routes", func() bool {
		for _, e := range w.Entries() {
			if e.Router().Status().Revision < revision {
				return false
			}
		}
		return true
	})
	w.minVersion.Store(minVersion)
}

// markLeaving marks an engine's VM as leaving in the platform's list. The function that it returns checks that entries
// send no new requests to it (P10).
func (w *faultTest) markLeaving(engine int) (restore func()) {
	s := w.Sidecars()[engine]
	vm := emulator.RegisteredVM{VM: fmt.Sprintf("model-%d", engine+1), Address: s.Address(), FailureDomain: "domain-a", Role: "sidecar", State: "leaving"}
	w.Platform().VMList.Register(vm)
	return func() {
		w.eventually("all entries know that the VM leaves", func() bool {
			for _, e := range w.Entries() {
				for _, endpoint := range e.Router().Status().Endpoints {
					if endpoint.VM == vm.VM && endpoint.State == "live" {
						return false
					}
				}
			}
			return true
		})
		from := time.Now()
		for i := range 3 * faultRoutes {
			w.checkCompletion(w.announcement.Entries[i%3], "gl-acme-first", i%faultRoutes, 2, true)
		}
		w.mu.Lock()
		for id, runs := range w.runs {
			for _, run := range runs {
				if started, known := w.started[id]; known && run.engine == engine && started.After(from) {
					w.violations = append(w.violations, fmt.Sprintf("P10: the leaving endpoint %d got %s", engine, id))
				}
			}
		}
		w.mu.Unlock()
		// A leaving VM never becomes live again. The restarted sidecar stands for another VM that replaces it.
		assert.NilError(w.t, w.StopSidecar(engine))
		vm.State = "live"
		w.Platform().VMList.Register(vm)
		w.restartSidecar(engine)
	}
}

// checkPromises compares the responses to callers with what the endpoints did.
func (w *faultTest) checkPromises() {
	for i, e := range w.Engines() {
		if n := e.Stats().UnloadedInUse; n > 0 {
			w.addViolation("P2: engine %d unloaded an adapter in use %d times", i, n)
		}
	}
	times := map[string]int{}
	for _, b := range w.Ledgers()[0].Book().Bookings() {
		var body struct{ ID string }
		assert.NilError(w.t, json.Unmarshal(b.Body, &body))
		times[body.ID] = b.TimesRun
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	report := func(format string, args ...any) { w.violations = append(w.violations, fmt.Sprintf(format, args...)) }
	for name, b := range w.bookings {
		ran := times[name]
		if ran > 1 {
			report("P9: %s ran %d times: %v", name, ran, b.outcomes)
		}
		if slices.Contains(b.outcomes, "ok") && ran == 0 {
			report("P7: %s was confirmed but never ran: %v", name, b.outcomes)
		}
		if ran > 0 && !slices.ContainsFunc(b.outcomes, func(o string) bool { return o != "not-run" }) {
			report("P8: %s ran although each refusal says not-run: %v", name, b.outcomes)
		}
		for _, answer := range b.responses {
			if answer != b.responses[0] || !strings.Contains(answer, `"`+name+`"`) {
				report("P7: %s got the responses %q", name, b.responses)
			}
		}
	}
	for id, refusal := range w.notRun {
		if runs := w.runs[id]; len(runs) > 0 {
			report("P8: a request ran at an engine although its refusal says not-run: %s: %v", refusal, runs)
		}
	}
	w.checkRateLimit(report)
	var seen []emulator.RequestRecord
	for _, e := range w.Engines() {
		seen = append(seen, e.SeenRequests()...)
	}
	for _, l := range w.Ledgers() {
		seen = append(seen, l.SeenRequests()...)
	}
	text, err := json.Marshal(seen)
	assert.NilError(w.t, err)
	for _, secret := range w.callerKeys {
		if bytes.Contains(text, []byte(secret)) {
			report("P4: an endpoint saw the key %s", secret)
		}
	}
}

// checkRateLimit compares the tokens admitted in each interval with burst and rate (P6). A request counts if it lies
// entirely within the interval.
func (w *faultTest) checkRateLimit(report func(string, ...any)) {
	for _, first := range w.admitted {
		later := []admitted{}
		for _, s := range w.admitted {
			if !s.from.Before(first.from) {
				later = append(later, s)
			}
		}
		slices.SortFunc(later, func(a, b admitted) int { return a.to.Compare(b.to) })
		sum := 0.0
		for _, s := range later {
			sum += s.tokens
			if limit := smallBurst + smallRate*s.to.Sub(first.from).Seconds(); sum > limit {
				report("P6: %.0f tokens were admitted in %v; at most %.0f are allowed", sum, s.to.Sub(first.from), limit)
				return
			}
		}
	}
}

// watchRevisions checks that no entry's revision decreases (P12).
func (w *faultTest) watchRevisions(stop <-chan struct{}) *sync.WaitGroup {
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		newest := map[*launcher.Entry]int64{}
		for {
			for _, e := range w.Entries() {
				revision := e.Router().Status().Revision
				if revision < newest[e] {
					w.addViolation("P12: revision decreased to %d from %d", revision, newest[e])
				}
				newest[e] = revision
			}
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()
	return &all
}

// runSchedule draws the faults of one schedule and runs it.
func (w *faultTest) runSchedule(rng *rand.Rand) {
	only := regexp.MustCompile(*faultOnly)
	all := slices.DeleteFunc(w.drawFaults(rng), func(f fault) bool { return !only.MatchString(f.name) })
	var drawn []fault
	groups := map[string]bool{}
	for range 1 + rng.IntN(3) {
		if f := all[rng.IntN(len(all))]; !groups[f.group] {
			groups[f.group] = true
			drawn = append(drawn, f)
		}
	}
	w.runFaults(rng, drawn)
}

// recoveryOrder is the sort key for the order in which faults start and end.
func recoveryOrder(f fault) string {
	switch {
	case f.group == "key" || f.group == "route" || strings.HasSuffix(f.name, "leaving"):
		return "3"
	case f.group == "entry" || f.group == "sidecar":
		return "2"
	default:
		return "1"
	}
}

// runFaults runs load and faults, ends the faults, waits for recovery and checks the promises.
func (w *faultTest) runFaults(rng *rand.Rand, drawn []fault) {
	names := []string{}
	w.plannedOnly = true
	for _, f := range drawn {
		names = append(names, f.name)
		w.plannedOnly = w.plannedOnly && f.planned
	}
	w.t.Logf("faults: %s", strings.Join(names, ", "))
	stop := make(chan struct{})
	stopLoad := sync.OnceFunc(func() { close(stop) })
	defer stopLoad()
	defer func() {
		if w.t.Failed() {
			for _, e := range w.Entries() {
				w.t.Logf("seed %d: %+v", w.seed, e.Router().Status())
			}
		}
	}()
	load, revisions := w.load(stop), w.watchRevisions(stop)
	time.Sleep(200 * time.Millisecond)
	// Processes must be restarted before faults end whose end waits for all entries.
	slices.SortStableFunc(drawn, func(a, b fault) int { return strings.Compare(recoveryOrder(a), recoveryOrder(b)) })
	var recoveries []func()
	for _, f := range drawn {
		recoveries = append(recoveries, f.inject())
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
	time.Sleep(faultDuration)
	// Stand-ins recover first, because a graceful shutdown waits for the requests that they process.
	for _, restore := range recoveries {
		restore()
	}
	w.eventually("the fleet is ready again", w.Ready)
	stopLoad()
	load.Wait()
	revisions.Wait()
	for i, entry := range w.announcement.Entries {
		w.eventually(fmt.Sprintf("entry %d serves streams again", i), func() bool {
			return w.checkCompletion(entry, "gl-acme-first", i, 5, true)
		})
		w.eventually(fmt.Sprintf("entry %d books again", i), func() bool {
			name, body := w.newBooking(true)
			w.sendBooking(entry, name, name, body)
			w.mu.Lock()
			defer w.mu.Unlock()
			return len(w.bookings[name].responses) > 0
		})
	}
	w.checkPromises()
	for _, violation := range w.violations {
		w.t.Errorf("seed %d, faults %v: %s", w.seed, names, violation)
	}
	if w.t.Failed() {
		w.t.FailNow()
	}
}

// Guards all promises P1 to P12 (docs/promises.md) against single and combined faults. -faults.seed runs a single seed.
func TestPromisesHoldUnderFaults(t *testing.T) {
	seeds := []uint64{1, 2, 3}
	if *faultSeed != 0 {
		seeds = []uint64{*faultSeed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			w := newFaultTest(t, seed)
			rng := rand.New(rand.NewPCG(seed, seed))
			for range schedulesPerSeed {
				w.runSchedule(rng)
			}
		})
	}
}
