package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// adapterSlots, adapterLoad and modelLoad are those of the installation's sheet; modelLoad is a load from the replica's
// own disk.
const (
	adapterSlots = 8
	adapterLoad  = 250 * time.Millisecond
	modelLoad    = 760 * time.Millisecond
	heartbeat    = 1200 * time.Millisecond
	modelName    = "base"
	// streamEvents is the number of events of a stream.
	streamEvents = 6
)

// run is one request that a replica has begun to work on.
type run struct {
	id, tenant, replica string
	tokens              float64
	// at and ended are the times at which the replica began and ceased to work on it, and events counts what it made.
	at, ended time.Duration
	events    int
}

// order is the body of an order.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Version   int64  `json:"version"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Fence     int64  `json:"fencing_token"`
}

// replica is a stand-in for a model replica or, without an engine, for a replica of a plain service.
type replica struct {
	w                 *world
	id, service, zone string
	ip                string
	isEngine          bool
	workTime          time.Duration
	// isHeldUp, if set, decides whether an order is held up on its way to the replica, and for how long. The sender gets no
	// answer then.
	isHeldUp func(r *replica, o order) (time.Duration, bool)
	// staysAtWork is set for a replica that doesn't drop a request when its connection closes.
	staysAtWork bool

	mu       sync.Mutex
	server   *http.Server
	boot     int
	born     int64
	model    bool
	isBusy   bool
	adapters map[string]int64
	coming   map[string]int64
	sequence int64
	fence    int64
	running  int
	// preemptedUntil is the time until which requests that run are preempted.
	preemptedUntil time.Time
	// Until failsUntil the replica fails failShare of the requests that it runs.
	failsUntil time.Time
	failShare  float64
	runs       []run
	// broken are the orders by which more was to be loaded than the replica holds.
	broken []string
	stop   chan struct{}
}

// begin starts the replica. The first boot of an engine holds the model, later ones are empty.
func (r *replica) begin() error {
	l, err := net.Listen("tcp", r.address())
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	r.mu.Lock()
	r.boot++
	r.born = time.Now().UnixMilli()
	r.model, r.isBusy = r.isEngine && r.boot == 1, false
	r.adapters, r.coming = map[string]int64{}, map[string]int64{}
	r.sequence, r.fence, r.running = 0, 0, 0
	r.stop = make(chan struct{})
	mux := http.NewServeMux()
	if r.isEngine {
		mux.HandleFunc("GET /report", r.report)
		mux.HandleFunc("POST /order", r.order)
	}
	mux.HandleFunc("/", r.serve)
	r.server = &http.Server{Handler: mux}
	server, stop := r.server, r.stop
	r.mu.Unlock()
	r.w.logf("replica %s begins boot %d, born %d", r.id, r.boot, r.born)
	go func() { _ = server.Serve(l) }()
	go func() {
		for {
			r.register("ready")
			select {
			case <-time.After(heartbeat):
			case <-stop:
				return
			}
		}
	}()
	return nil
}

func (r *replica) address() string { return r.w.address(r.ip, portReplica) }

// crash ends the replica at once.
func (r *replica) crash() {
	r.mu.Lock()
	server, stop := r.server, r.stop
	r.server = nil
	r.mu.Unlock()
	if server == nil {
		return
	}
	close(stop)
	_ = server.Close()
	r.w.logf("replica %s crashes", r.id)
}

func (r *replica) held() []map[string]any {
	if !r.model {
		return []map[string]any{}
	}
	names := []string{}
	for a, v := range r.adapters {
		names = append(names, fmt.Sprintf("%s@%d", a, v))
	}
	return []map[string]any{{"name": modelName, "version": 1, "adapters": names}}
}

func (r *replica) register(state string) {
	r.mu.Lock()
	value := map[string]any{
		"service": r.service, "address": r.address(), "zone": r.zone, "version": "v1", "slots": 64, "state": state,
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	}
	if r.isEngine {
		value["stage"], value["models"] = "both", r.held()
	}
	r.mu.Unlock()
	r.w.store.put("servers", r.id, value)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (r *replica) report(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	coming := []string{}
	for a, v := range r.coming {
		coming = append(coming, fmt.Sprintf("%s/%s@%d", modelName, a, v))
	}
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "models": r.held(), "busy": r.isBusy, "sequence": r.sequence, "waiting": 0, "running": r.running,
		"kv_used": 0, "kv_total": 232000, "handles": 0, "coming": coming, "born": r.born,
		"at_hand": map[string]any{"in_memory": []string{}, "on_disk": []string{modelName}},
	})
}

func (r *replica) order(w http.ResponseWriter, q *http.Request) {
	content, err := io.ReadAll(q.Body)
	var o order
	if err != nil || json.Unmarshal(content, &o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	target := q.Header.Get("Target-Instance")
	r.mu.Lock()
	boot := r.boot
	r.mu.Unlock()
	if r.isHeldUp != nil {
		if delay, ok := r.isHeldUp(r, o); ok {
			r.w.logf("order held up on its way to %s for %v, no answer: %s target=%s", r.id, delay, bytes.TrimSpace(content), target)
			time.AfterFunc(delay, func() {
				status := r.carryOut(o, target, fmt.Sprintf("late, sent during boot %d", boot))
				r.w.logf("the late order has reached %s: status %d", r.id, status)
			})
			<-q.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
	w.WriteHeader(r.carryOut(o, target, ""))
}

// carryOut decides on an order as the pages say and returns the status of the answer.
func (r *replica) carryOut(o order, target, note string) (status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	expected := "-"
	if o.Expected != nil {
		expected = strconv.FormatInt(*o.Expected, 10)
	}
	before, loaded, coming := r.sequence, len(r.adapters), len(r.coming)
	defer func() {
		r.w.logf("order at %s boot %d: %s %s/%s expected=%s fence=%d holder=%s target=%s -> %d (sequence %d, %d adapters held, %d coming) %s",
			r.id, r.boot, o.Operation, o.Model, o.Adapter, expected, o.Fence, o.Holder, target, status, before, loaded, coming, note)
	}()
	switch {
	case r.server == nil:
		return 0
	case target != "" && target != r.id:
		return http.StatusMisdirectedRequest
	case o.Fence < r.fence:
		return http.StatusPreconditionFailed
	case r.isBusy, o.Expected != nil && *o.Expected != r.sequence:
		return http.StatusConflict
	case o.Model != modelName, o.Adapter != "" && !r.model, o.Operation != "load" && o.Operation != "unload":
		return http.StatusBadRequest
	}
	r.fence = o.Fence
	boot := r.boot
	later := func(d time.Duration, change func()) {
		time.AfterFunc(d, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.boot == boot && r.server != nil {
				change()
			}
		})
	}
	switch {
	case o.Operation == "load" && o.Adapter == "":
		if r.model {
			return http.StatusOK
		}
		r.sequence++
		r.isBusy = true
		later(modelLoad, func() { r.model, r.isBusy = true, false })
		return http.StatusAccepted
	case o.Operation == "load":
		version := max(1, o.Version)
		if r.adapters[o.Adapter] >= version || r.coming[o.Adapter] >= version {
			return http.StatusOK
		}
		r.sequence++
		r.coming[o.Adapter] = version
		if len(r.adapters)+len(r.coming) > adapterSlots {
			r.broken = append(r.broken, fmt.Sprintf("%s boot %d: ordered to load %s with %d adapters held and %d coming in %d places",
				r.id, r.boot, o.Adapter, len(r.adapters), len(r.coming)-1, adapterSlots))
			go r.crash()
			return http.StatusAccepted
		}
		later(adapterLoad, func() {
			if v, ok := r.coming[o.Adapter]; ok {
				r.adapters[o.Adapter] = v
				delete(r.coming, o.Adapter)
			}
		})
		return http.StatusAccepted
	}
	r.sequence++
	delete(r.adapters, o.Adapter)
	return http.StatusOK
}

// tokens returns the cost of a request against its tenant's usage cap.
func tokens(h http.Header) float64 {
	in, out, ok := strings.Cut(h.Get("Token-Usage"), ",")
	if !ok {
		return 200
	}
	a, _ := strconv.ParseFloat(in, 64)
	b, _ := strconv.ParseFloat(out, 64)
	return a + b
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	if _, err := io.ReadAll(q.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	_, adapter, _ := strings.Cut(q.Header.Get("Model"), "/")
	r.mu.Lock()
	version, isHeld := r.adapters[adapter]
	expected := q.Header.Get("Expected-Version")
	isWrong := q.Header.Get("Target-Instance") != r.id
	isWrong = isWrong || r.isEngine && (!r.model || adapter != "" && (!isHeld || expected != "" && expected != strconv.FormatInt(version, 10)))
	if isWrong {
		r.mu.Unlock()
		w.Header().Set("Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.running++
	index := len(r.runs)
	r.runs = append(r.runs, run{id: id, tenant: q.Header.Get("Tenant"), replica: r.id, tokens: tokens(q.Header), at: r.w.elapsed()})
	r.mu.Unlock()
	r.w.logf("%s runs %s tenant=%s model=%s tokens=%.0f", r.id, id, q.Header.Get("Tenant"), q.Header.Get("Model"), tokens(q.Header))
	defer func() {
		r.mu.Lock()
		r.running--
		r.runs[index].ended = r.w.elapsed()
		events := r.runs[index].events
		r.mu.Unlock()
		r.w.logf("%s ceases to work on %s, %d events made", r.id, id, events)
	}()
	w.Header().Set("Response-Signature", "signed-by-"+r.id)
	if !r.isEngine {
		time.Sleep(r.workTime)
		r.mu.Lock()
		isFailed := time.Now().Before(r.failsUntil) && rand.Float64() < r.failShare
		r.mu.Unlock()
		if isFailed {
			r.w.logf("%s has run %s and fails: 503 without Not-Executed", r.id, id)
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprintf(w, "failed")
			return
		}
		_, _ = fmt.Fprintf(w, "answer to %s", id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	left := q.Context().Done()
	if r.staysAtWork {
		left = nil
	}
	for n := after + 1; n <= streamEvents; n++ {
		r.mu.Lock()
		wait := max(r.workTime, time.Until(r.preemptedUntil))
		r.mu.Unlock()
		select {
		case <-time.After(wait):
		case <-left:
			return
		}
		r.mu.Lock()
		r.runs[index].events++
		r.mu.Unlock()
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece\n\n", n)
		w.(http.Flusher).Flush()
	}
}
