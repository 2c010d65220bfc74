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
	// schedules is the number of fault schedules that one seed draws, each on the fleet as the last one left it.
	schedules = 3
	// faultTime is how long the faults of a schedule last.
	faultTime    = 1500 * time.Millisecond
	faultRoutes  = 6
	smallRate    = 60
	smallBurst   = 180
	bookingTries = 8
	// askLimit ends a request that would hang. It is longer than each route's deadline.
	askLimit = 25 * time.Second
)

// spent is the tokens of one answered request of the small organisation. It was admitted between from and to.
type spent struct {
	from, to time.Time
	tokens   float64
}

// engineRun is one request that an engine has begun.
type engineRun struct {
	engine int
	at     time.Time
}

// asked is what a caller knows of one booking: each end that its requests had.
type asked struct {
	keyed    bool
	answers  []string
	outcomes []string
}

// faultWorld is a fleet under load and faults, and what its callers and endpoints saw.
type faultWorld struct {
	*fleet
	seed   uint64
	number atomic.Int64
	// version is the version that is in force on all entries; 1 at first.
	version atomic.Int64
	// second is the key that schedules withdraw; "" while it must no longer work.
	second    atomic.Value
	withdrawn atomic.Value

	mu       sync.Mutex
	problems []string
	bookings map[string]*asked
	spent    []spent
	runs     map[string][]engineRun
	begun    map[string]time.Time
	notRun   map[string]string
	secrets  []string
	// calm counts only planned stops as faults, under which no request may be interrupted.
	calm bool
}

func newFaultWorld(t *testing.T, seed uint64) *faultWorld {
	w := &faultWorld{seed: seed, bookings: map[string]*asked{}, runs: map[string][]engineRun{}, begun: map[string]time.Time{}, notRun: map[string]string{}}
	w.fleet = startFleetWith(t, launcher.DemoConfig{
		Fleet: launcher.FleetConfig{Slots: 2, BookingTime: 10 * time.Millisecond}, LeaseTTL: 3 * time.Second,
		WrapEngine: func(engine int, next http.Handler) http.Handler { return w.recordRuns(engine, next) },
	})
	w.client = &http.Client{Timeout: askLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	w.version.Store(1)
	w.secrets = []string{"gl-acme-first", "gl-small"}
	for _, key := range w.at.Keys {
		w.secrets = append(w.secrets, key)
	}
	w.writeRoutes(1)
	w.newSecondKey()
	for _, entry := range w.at.Entries {
		w.eventually("the keys work on "+entry, func() bool {
			return w.status("GET", entry+"/v1/models", w.second.Load().(string), "", nil) == http.StatusOK &&
				w.status("GET", entry+"/v1/models", "gl-acme-first", "", nil) == http.StatusOK
		})
	}
	return w
}

func (w *faultWorld) problem(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// recordRuns records the completions that an engine has begun to answer.
func (w *faultWorld) recordRuns(engine int, next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
		if req.Method == http.MethodPost && req.URL.Path == "/v1/completions" {
			rw = &runWriter{ResponseWriter: rw, begun: func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				// Later attempts have a prefix before the request's ID.
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
	begun func()
}

func (w *runWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *runWriter) WriteHeader(status int) {
	if status == http.StatusOK {
		w.begun()
	}
	w.ResponseWriter.WriteHeader(status)
}

func (w *faultWorld) write(name, text string) {
	assert.NilError(w.t, os.WriteFile(filepath.Join(w.at.Folder, name), []byte(text), 0o600))
}

func (w *faultWorld) writeRoutes(version int64) {
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
	w.write("60-faults.yaml", s.String())
}

func (w *faultWorld) newSecondKey() {
	secret := fmt.Sprintf("gl-acme-second-%d", w.number.Add(1))
	w.mu.Lock()
	w.secrets = append(w.secrets, secret)
	w.mu.Unlock()
	w.write("61-faults-key.yaml", fmt.Sprintf("Keys:\n  - {Id: %s, Organisation: acme, Digest: %s}\n", secret[3:], authenticator.Digest(secret)))
	w.second.Store(secret)
	w.withdrawn.Store("")
}

// reply is the end of one request as its caller saw it.
type reply struct {
	status  int
	id      string
	outcome string
	code    string
	body    []byte
	err     error
}

func (r reply) String() string {
	return fmt.Sprintf("status %d, outcome %q, code %q, id %s, error %v", r.status, r.outcome, r.code, r.id, r.err)
}

func (w *faultWorld) status(method, url, key, idempotency string, body []byte) int {
	return w.ask(method, url, key, idempotency, body).status
}

func (w *faultWorld) ask(method, url, key, idempotency string, body []byte) reply {
	begun := time.Now()
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	assert.NilError(w.t, err)
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotency != "" {
		req.Header.Set("Idempotency-Key", idempotency)
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	r := reply{status: resp.StatusCode, id: resp.Header.Get("X-Request-Id"), outcome: resp.Header.Get("Geraniumladder-Outcome")}
	r.body, r.err = io.ReadAll(resp.Body)
	var failure struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if r.status >= http.StatusBadRequest && json.Unmarshal(r.body, &failure) == nil {
		r.code = failure.Error.Code
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begun[r.id] = begun
	if r.outcome == "not-run" {
		w.notRun[r.id] = r.String()
	}
	return r
}

// load runs a mixed load until stop is closed.
func (w *faultWorld) load(stop <-chan struct{}) *sync.WaitGroup {
	var all sync.WaitGroup
	kinds := []func(*rand.Rand){w.model, w.model, w.model, w.model, w.keyed, w.keyed, w.unkeyed, w.read, w.small, w.small, w.small, w.small, w.foreign}
	for i, kind := range kinds {
		all.Add(1)
		rng := rand.New(rand.NewPCG(w.seed, uint64(i)))
		go func() {
			defer all.Done()
			for {
				kind(rng)
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

func (w *faultWorld) entry(rng *rand.Rand) string { return w.at.Entries[rng.IntN(len(w.at.Entries))] }

// model asks for a completion, as a stream or plain, with either key of the organisation.
func (w *faultWorld) model(rng *rand.Rand) {
	key := "gl-acme-first"
	if rng.IntN(2) == 0 {
		key = w.second.Load().(string)
	}
	w.complete(w.entry(rng), key, rng.IntN(faultRoutes), 10+rng.IntN(60), rng.IntN(3) > 0)
}

// complete asks for a completion and checks that the answer is the request's own, whole, and by the routed version.
func (w *faultWorld) complete(entry, key string, route, tokens int, stream bool) (ok bool) {
	atLeast, withdrawn := w.version.Load(), key != "" && w.withdrawn.Load() == key
	prompt := fmt.Sprintf("draft %d", w.number.Add(1))
	body, err := json.Marshal(completion(fmt.Sprintf("acme-%d", route), prompt, tokens, stream))
	assert.NilError(w.t, err)
	r := w.ask("POST", entry+"/v1/completions", key, "", body)
	if r.status != http.StatusOK {
		// The withdrawal of a key ends the completions that run with it.
		if w.calm && r.err == nil && r.outcome != "not-run" && r.code != "key_withdrawn" {
			w.problem("P11: a planned stop interrupted a completion: %v", r)
		}
		return false
	}
	if withdrawn {
		w.problem("P5: a withdrawn key was served: %v", r)
	}
	text, models, whole := readAnswer(r, stream)
	if !whole {
		if !stream {
			w.problem("P7: a plain answer is not whole: %v", r)
		}
		if w.calm && !bytes.Contains(r.body, []byte("key_withdrawn")) {
			w.problem("P11: a planned stop interrupted a stream: %v: %.300s", r, r.body[max(0, len(r.body)-300):])
		}
	}
	for _, model := range models {
		var v int64
		if n, err := fmt.Sscanf(model, fmt.Sprintf("acme-%d@v%%d", route), &v); n != 1 || err != nil || v < atLeast || model != models[0] {
			w.problem("P1, P12: route acme-%d with version v%d in force was answered by %q", route, atLeast, models)
		}
		if want := emulator.Answer(model, prompt, tokens); whole && text != want || !strings.HasPrefix(want, text) {
			w.problem("P7: %v: got %q, want %q", r, text, want)
		}
	}
	return whole
}

// readAnswer returns an answer's text and models, and whether it is whole.
func readAnswer(r reply, stream bool) (text string, models []string, whole bool) {
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
			whole = true
			continue
		}
		var e struct {
			event
			ID    string `json:"id"`
			Model string `json:"model"`
		}
		if json.Unmarshal(data, &e) != nil || e.Error != nil {
			continue
		}
		whole = whole || !stream && r.err == nil
		if !slices.Contains(models, e.Model) {
			models = append(models, e.Model)
		}
		if !strings.HasSuffix(e.ID, r.id) {
			models = append(models, "of request "+e.ID)
		}
		for _, c := range e.Choices {
			text += c.Text
		}
	}
	return text, models, whole
}

func (w *faultWorld) booking(keyed bool) (name string, body []byte) {
	name = fmt.Sprintf("booking-%d-%d", w.seed, w.number.Add(1))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bookings[name] = &asked{keyed: keyed}
	return name, []byte(fmt.Sprintf(`{"Id":%q}`, name))
}

// keyed books with an idempotency key. Its caller asks again, on other entries, until it has an answer; some ask twice at once.
func (w *faultWorld) keyed(rng *rand.Rand) {
	name, body := w.booking(true)
	callers := 1 + rng.IntN(2)
	var all sync.WaitGroup
	for range callers {
		all.Add(1)
		first := rng.IntN(len(w.at.Entries))
		go func() {
			defer all.Done()
			for try := range bookingTries {
				if !w.book(w.at.Entries[(first+try)%len(w.at.Entries)], name, name, body) {
					return
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	all.Wait()
}

func (w *faultWorld) unkeyed(rng *rand.Rand) {
	name, body := w.booking(false)
	w.book(w.entry(rng), name, "", body)
}

// book sends a booking once and records its end; again says that it may be asked for again.
func (w *faultWorld) book(entry, name, idempotency string, body []byte) (again bool) {
	r := w.ask("POST", entry+"/services/acme-ledger/bookings", "gl-acme-first", idempotency, body)
	w.mu.Lock()
	defer w.mu.Unlock()
	b := w.bookings[name]
	switch {
	case r.err != nil:
		b.outcomes = append(b.outcomes, "unknown")
		return true
	case r.status == http.StatusCreated:
		b.outcomes, b.answers = append(b.outcomes, "ok"), append(b.answers, string(r.body))
		return false
	}
	if w.calm && r.outcome != "not-run" {
		w.problems = append(w.problems, fmt.Sprintf("P11: a planned stop interrupted a booking: %v", r))
	}
	if r.outcome == "" && r.status != http.StatusServiceUnavailable {
		w.problems = append(w.problems, fmt.Sprintf("a refusal of a booking without an outcome: %v: %s", r, r.body))
	}
	// The ledger's own 503 has no outcome; it has not booked.
	b.outcomes = append(b.outcomes, r.outcome)
	return r.status != http.StatusUnprocessableEntity
}

func (w *faultWorld) read(rng *rand.Rand) {
	name := fmt.Sprintf("account-%d", w.number.Add(1))
	r := w.ask("GET", w.entry(rng)+"/services/acme-ledger/balances/"+name, "gl-acme-first", "", nil)
	if r.status == http.StatusOK && r.err == nil && !bytes.Contains(r.body, []byte(`"`+name+`"`)) {
		w.problem("P7: the balance of %s was answered with %s", name, r.body)
	}
}

// small sends more than the rate of its organisation.
func (w *faultWorld) small(rng *rand.Rand) {
	const tokens = 20
	prompt := fmt.Sprintf("q%d", w.number.Add(1))
	from := time.Now()
	body, err := json.Marshal(completion(fmt.Sprintf("acme-%d", rng.IntN(2)), prompt, tokens, false))
	assert.NilError(w.t, err)
	r := w.ask("POST", w.entry(rng)+"/v1/completions", "gl-small", "", body)
	if r.status == http.StatusOK {
		w.mu.Lock()
		w.spent = append(w.spent, spent{from, time.Now(), float64(tokens + (len(prompt)+3)/4 + 1)})
		w.mu.Unlock()
	}
}

// foreign presents another organisation's key.
func (w *faultWorld) foreign(rng *rand.Rand) {
	body, err := json.Marshal(completion("acme-0", "foreign", 1, false))
	assert.NilError(w.t, err)
	if r := w.ask("POST", w.entry(rng)+"/v1/completions", w.at.Keys["accra"], "", body); r.status < http.StatusBadRequest && r.err == nil {
		w.problem("P3: a route served another organisation's key: %v", r)
	}
}

// fault is one fault of a schedule. begin sets it and returns what ends it.
type fault struct {
	name    string
	planned bool
	// group names what the fault takes away; a schedule takes no two faults of one group.
	group string
	begin func() (end func())
}

func set(s interface{ SetFaults(emulator.Faults) }, f emulator.Faults) func() func() {
	return func() func() {
		s.SetFaults(f)
		return func() { s.SetFaults(emulator.Faults{}) }
	}
}

// faults draws the parameters of every fault.
func (w *faultWorld) faults(rng *rand.Rand) []fault {
	engine, ledger, entry, sidecar := rng.IntN(len(w.Engines())), rng.IntN(len(w.Ledgers())), rng.IntN(3), rng.IntN(6)
	p := w.Platform()
	return []fault{
		{"table down", false, "table", set(p.Table, emulator.Faults{Down: true})},
		{"table slow", false, "table", set(p.Table, emulator.Faults{Latency: emulator.Duration(400 * time.Millisecond)})},
		{"table loses answers", false, "table", set(p.Table, emulator.Faults{LoseAnswerNext: 1 + rng.IntN(20)})},
		{"table silent", false, "table", set(p.Table, emulator.Faults{Silent: true})},
		{"objects down", false, "objects", set(p.Objects, emulator.Faults{Down: true})},
		{"loads fail", false, "engine", set(w.Engines()[engine], emulator.Faults{LoadFailRate: 0.5})},
		{"engine silent", false, "engine", set(w.Engines()[engine], emulator.Faults{Silent: true})},
		{"engine loses answers", false, "engine", set(w.Engines()[engine], emulator.Faults{LoseAnswerNext: 5})},
		{"engine crash", false, "engine", func() func() {
			w.Engines()[engine].Crash()
			return func() {}
		}},
		{"ledger loses answers", false, "ledger", set(w.Ledgers()[ledger], emulator.Faults{LoseAnswerNext: 1 + rng.IntN(4)})},
		{"ledger silent", false, "sidecar", func() func() {
			w.Ledgers()[ledger].SetFaults(emulator.Faults{SilentAll: true})
			return func() {
				w.Ledgers()[ledger].SetFaults(emulator.Faults{})
				// The calls that it swallowed never end, and a planned stop would wait for them.
				sidecar := len(w.Engines()) + ledger
				w.Sidecars()[sidecar].Kill()
				w.restartSidecar(sidecar)
			}
		}},
		{"ledger fails", false, "ledger", set(w.Ledgers()[ledger], emulator.Faults{FailNext: 5})},
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
			key := w.second.Load().(string)
			w.write("61-faults-key.yaml", "Keys: []\n")
			return func() { w.awaitWithdrawal(key) }
		}},
		{"route changed", true, "route", func() func() {
			next := w.version.Load() + 1
			w.writeRoutes(next)
			return func() { w.awaitVersion(next) }
		}},
		{fmt.Sprintf("engine %d leaving", engine), true, "sidecar", func() func() { return w.leave(engine) }},
	}
}

func (w *faultWorld) restartSidecar(i int) {
	_ = w.StopSidecar(i) // One that was killed says so.
	assert.NilError(w.t, w.RestartSidecar(i))
}

func (w *faultWorld) restartEntry(i int) {
	_ = w.StopEntry(i)
	assert.NilError(w.t, w.RestartEntry(i))
}

// awaitWithdrawal waits until each entry refuses the key, which must not work from then on.
func (w *faultWorld) awaitWithdrawal(key string) {
	for _, entry := range w.at.Entries {
		w.eventually("the withdrawn key is refused on "+entry, func() bool {
			return w.status("GET", entry+"/v1/models", key, "", nil) == http.StatusUnauthorized
		})
	}
	w.withdrawn.Store(key)
	for i := range 2 * faultRoutes {
		w.complete(w.at.Entries[i%3], key, i%faultRoutes, 2, true)
	}
	w.newSecondKey()
	w.awaitKey()
}

func (w *faultWorld) awaitKey() {
	for _, entry := range w.at.Entries {
		w.eventually("the new key works on "+entry, func() bool {
			return w.status("GET", entry+"/v1/models", w.second.Load().(string), "", nil) == http.StatusOK
		})
	}
}

// awaitVersion waits until each entry has answered with the new version, below which no route may fall from then on.
func (w *faultWorld) awaitVersion(version int64) {
	var newest int64
	w.eventually("an entry has the new routes", func() bool {
		for _, e := range w.Entries() {
			newest = max(newest, e.Router().Status().Revision)
		}
		body, _ := json.Marshal(completion("acme-0", "version", 1, false))
		r := w.ask("POST", w.at.Entries[0]+"/v1/completions", "gl-acme-first", "", body)
		return bytes.Contains(r.body, fmt.Appendf(nil, "acme-0@v%d", version))
	})
	newest = w.Entries()[0].Router().Status().Revision
	w.eventually("all entries have the new routes", func() bool {
		for _, e := range w.Entries() {
			if e.Router().Status().Revision < newest {
				return false
			}
		}
		return true
	})
	w.version.Store(version)
}

// leave marks an engine's VM as leaving on the platform's list and checks that no entry sends it new work (P10).
func (w *faultWorld) leave(engine int) (end func()) {
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
			w.complete(w.at.Entries[i%3], "gl-acme-first", i%faultRoutes, 2, true)
		}
		w.mu.Lock()
		for id, runs := range w.runs {
			for _, run := range runs {
				if begun, known := w.begun[id]; known && run.engine == engine && begun.After(from) {
					w.problems = append(w.problems, fmt.Sprintf("P10: the leaving endpoint %d got %s", engine, id))
				}
			}
		}
		w.mu.Unlock()
		// A VM that leaves does not come back; another one takes its place.
		assert.NilError(w.t, w.StopSidecar(engine))
		vm.State = "live"
		w.Platform().VMList.Register(vm)
		w.restartSidecar(engine)
	}
}

// check compares what callers were told with what the endpoints did.
func (w *faultWorld) check() {
	for i, e := range w.Engines() {
		if n := e.Stats().UnloadedInUse; n > 0 {
			w.problem("P2: engine %d unloaded an adapter in use %d times", i, n)
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
	add := func(format string, args ...any) { w.problems = append(w.problems, fmt.Sprintf(format, args...)) }
	for name, b := range w.bookings {
		ran := times[name]
		if ran > 1 {
			add("P9: %s ran %d times: %v", name, ran, b.outcomes)
		}
		if slices.Contains(b.outcomes, "ok") && ran == 0 {
			add("P7: %s was confirmed and never ran: %v", name, b.outcomes)
		}
		if ran > 0 && !slices.ContainsFunc(b.outcomes, func(o string) bool { return o != "not-run" }) {
			add("P8: %s ran although each refusal says not-run: %v", name, b.outcomes)
		}
		for _, answer := range b.answers {
			if answer != b.answers[0] || !strings.Contains(answer, `"`+name+`"`) {
				add("P7: %s was answered with %q", name, b.answers)
			}
		}
	}
	for id, refusal := range w.notRun {
		if runs := w.runs[id]; len(runs) > 0 {
			add("P8: a request ran at an engine although its refusal says not-run: %s: %v", refusal, runs)
		}
	}
	w.checkSpent(add)
	var seen []emulator.Seen
	for _, e := range w.Engines() {
		seen = append(seen, e.SeenRequests()...)
	}
	for _, l := range w.Ledgers() {
		seen = append(seen, l.SeenRequests()...)
	}
	text, err := json.Marshal(seen)
	assert.NilError(w.t, err)
	for _, secret := range w.secrets {
		if bytes.Contains(text, []byte(secret)) {
			add("P4: an endpoint saw the key %s", secret)
		}
	}
}

// checkSpent compares each interval's tokens with burst and rate (P6). A request counts where all of it lies inside.
func (w *faultWorld) checkSpent(add func(string, ...any)) {
	for _, first := range w.spent {
		later := []spent{}
		for _, s := range w.spent {
			if !s.from.Before(first.from) {
				later = append(later, s)
			}
		}
		slices.SortFunc(later, func(a, b spent) int { return a.to.Compare(b.to) })
		sum := 0.0
		for _, s := range later {
			sum += s.tokens
			if most := smallBurst + smallRate*s.to.Sub(first.from).Seconds(); sum > most {
				add("P6: %.0f tokens were admitted in %v; at most %.0f are allowed", sum, s.to.Sub(first.from), most)
				return
			}
		}
	}
}

// watchRevisions checks that no entry's revision goes back (P12).
func (w *faultWorld) watchRevisions(stop <-chan struct{}) *sync.WaitGroup {
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		newest := map[*launcher.Entry]int64{}
		for {
			for _, e := range w.Entries() {
				revision := e.Router().Status().Revision
				if revision < newest[e] {
					w.problem("P12: revision %d follows %d", revision, newest[e])
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

// run runs one schedule: load, faults, their end, recovery, and the checks.
func (w *faultWorld) run(rng *rand.Rand) {
	only := regexp.MustCompile(*faultOnly)
	all := slices.DeleteFunc(w.faults(rng), func(f fault) bool { return !only.MatchString(f.name) })
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

// order sorts faults by when they end.
func order(f fault) string {
	switch {
	case f.group == "key" || f.group == "route" || strings.HasSuffix(f.name, "leaving"):
		return "3"
	case f.group == "entry" || f.group == "sidecar":
		return "2"
	default:
		return "1"
	}
}

func (w *faultWorld) runFaults(rng *rand.Rand, drawn []fault) {
	names := []string{}
	w.calm = true
	for _, f := range drawn {
		names = append(names, f.name)
		w.calm = w.calm && f.planned
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
	// Processes are restarted before what waits for all entries.
	slices.SortStableFunc(drawn, func(a, b fault) int { return strings.Compare(order(a), order(b)) })
	var ends []func()
	for _, f := range drawn {
		ends = append(ends, f.begin())
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
	time.Sleep(faultTime)
	// Stand-ins recover first, because a planned stop waits for the requests that they run.
	for _, end := range ends {
		end()
	}
	w.eventually("the fleet is whole again", w.Ready)
	stopLoad()
	load.Wait()
	revisions.Wait()
	for i, entry := range w.at.Entries {
		w.eventually(fmt.Sprintf("entry %d serves streams again", i), func() bool {
			return w.complete(entry, "gl-acme-first", i, 5, true)
		})
		w.eventually(fmt.Sprintf("entry %d books again", i), func() bool {
			name, body := w.booking(true)
			w.book(entry, name, name, body)
			w.mu.Lock()
			defer w.mu.Unlock()
			return len(w.bookings[name].answers) > 0
		})
	}
	w.check()
	for _, problem := range w.problems {
		w.t.Errorf("seed %d, faults %v: %s", w.seed, names, problem)
	}
	if w.t.Failed() {
		w.t.FailNow()
	}
}

// Guards all promises P1 to P12 against faults, alone and together. Repeat one seed with -faults.seed.
func TestPromisesHoldUnderFaults(t *testing.T) {
	seeds := []uint64{1, 2, 3}
	if *faultSeed != 0 {
		seeds = []uint64{*faultSeed}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			w := newFaultWorld(t, seed)
			rng := rand.New(rand.NewPCG(seed, seed))
			for range schedules {
				w.run(rng)
			}
		})
	}
}
