package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in for a replica: a model engine if it has a model, and a plain service otherwise.
type replica struct {
	w       *world
	name    string
	service string
	zone    string
	machine int
	port    int
	// model is empty for a plain service.
	model    string
	slots    int
	loadTime time.Duration
	// work is how long a plain request takes; a stream has events at this distance.
	work   time.Duration
	events int

	// spoil, if set, decides on an answer that is about to be sent whether a second copy of it comes late, in front of the
	// next answer on the connection.
	spoil func(status int) bool

	mu       sync.Mutex
	id       string
	born     int64
	listener net.Listener
	open     map[net.Conn]bool
	isUp     bool
	// isListed replicas renew their registration.
	isListed bool
	sequence int64
	fence    int64
	hasModel bool
	isBusy   bool
	adapters map[string]int64
	loading  map[string]int64
	unloads  map[string]bool
	inUse    map[string]int
	recent   map[string]bool
	running  int
	// runs counts how often each request has begun to run, and arrivals the requests that arrived after they were cleared.
	runs     map[string]int
	answers  int
	arrivals []arrival
	crashes  []string
}

// arrival is a request that reached the replica.
type arrival struct {
	id string
	at time.Time
}

// order is the body of a call to POST /order.
type order struct {
	Operation string `json:"operation"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter"`
	Version   int64  `json:"version"`
	Expected  *int64 `json:"expected"`
	Holder    string `json:"holder"`
	Fence     int64  `json:"fencing_token"`
}

// up starts a new run of the replica under a new ID, and lists it.
func (r *replica) up(withModel bool) error {
	l, err := net.Listen("tcp", r.w.address(r.machine, r.port))
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.id, r.born = "i-"+newID()[:10], time.Now().UnixMilli()
	r.listener, r.open, r.isUp, r.isListed = l, map[net.Conn]bool{}, true, true
	r.sequence, r.fence, r.hasModel, r.isBusy = 0, 0, withModel && r.model != "", false
	r.adapters, r.loading, r.unloads = map[string]int64{}, map[string]int64{}, map[string]bool{}
	r.inUse, r.recent, r.running = map[string]int{}, map[string]bool{}, 0
	if r.runs == nil {
		r.runs = map[string]int{}
	}
	id := r.id
	r.mu.Unlock()
	r.w.record.add("replica %s up as %s at %s", r.name, id, l.Addr())
	r.register()
	go r.accept(l)
	go r.renew(id)
	return nil
}

func (r *replica) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.open[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

// down ends the run at once, as a crash does.
func (r *replica) down(why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isUp {
		return
	}
	r.isUp, r.isListed = false, false
	_ = r.listener.Close()
	for c := range r.open {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	r.w.record.add("replica %s (%s) ends: %s, %d requests running", r.name, r.id, why, r.running)
}

func (r *replica) models() []map[string]any {
	if !r.hasModel {
		return []map[string]any{}
	}
	adapters := []string{}
	for name, version := range r.adapters {
		adapters = append(adapters, fmt.Sprintf("%s@%d", name, version))
	}
	slices.Sort(adapters)
	return []map[string]any{{"name": r.model, "version": 1, "adapters": adapters}}
}

// register writes the replica's row.
func (r *replica) register() {
	r.mu.Lock()
	if !r.isListed {
		r.mu.Unlock()
		return
	}
	value := map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "v1", "slots": 64, "state": "ready",
		"cold_remaining_ms": 0, "sequence": r.sequence, "born": r.born,
	}
	if r.model != "" {
		value["stage"], value["models"] = "both", r.models()
	}
	id := r.id
	r.mu.Unlock()
	r.w.store.put("servers", id, value)
}

// unlist removes the replica's row. It goes on serving.
func (r *replica) unlist() {
	r.mu.Lock()
	r.isListed = false
	id := r.id
	r.mu.Unlock()
	r.w.store.remove("servers", id)
	r.w.record.add("replica %s (%s): its entry is removed from the store, confirmed", r.name, id)
}

func (r *replica) renew(id string) {
	for {
		time.Sleep(1200 * time.Millisecond)
		r.mu.Lock()
		current := r.isUp && r.isListed && r.id == id
		r.mu.Unlock()
		if !current {
			return
		}
		if !r.w.store.isAway() {
			r.register()
		}
	}
}

// connection is the replica's side of one connection.
type connection struct {
	net    net.Conn
	reader *bufio.Reader
	// extra is a second copy of an answer that comes in front of the next one.
	extra []byte
	// next is closed when the first byte of the next request has arrived, or the connection has been closed; nil if
	// nobody waits for that.
	next chan struct{}
}

func (r *replica) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		r.mu.Lock()
		delete(r.open, c)
		r.mu.Unlock()
	}()
	conn := &connection{net: c, reader: bufio.NewReader(c)}
	for {
		if conn.next != nil {
			<-conn.next
			conn.next = nil
		}
		request, err := http.ReadRequest(conn.reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		r.mu.Lock()
		isUp := r.isUp
		r.mu.Unlock()
		if !isUp {
			return
		}
		if len(conn.extra) > 0 {
			_, _ = c.Write(conn.extra)
			conn.extra = nil
		}
		ok := false
		switch request.URL.Path {
		case "/report":
			ok = r.answerJSON(conn, 200, r.report())
		case "/order":
			ok = r.takeOrder(conn, request, body)
		default:
			ok = r.run(conn, request)
		}
		if !ok {
			return
		}
	}
}

func (r *replica) answerJSON(conn *connection, status int, value any) bool {
	body, err := json.Marshal(value)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(conn.net, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
	return err == nil
}

func (r *replica) report() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	coming := []string{}
	for name, version := range r.loading {
		coming = append(coming, fmt.Sprintf("%s/%s@%d", r.model, name, version))
	}
	onDisk := []string{r.model}
	return map[string]any{
		"stage": "both", "models": r.models(), "busy": r.isBusy, "sequence": r.sequence, "waiting": 0, "running": r.running,
		"kv_used": 1000 * r.running, "kv_total": 232000, "handles": 0, "coming": coming, "born": r.born, "state": "ready",
		"at_hand": map[string]any{"in_memory": []string{}, "on_disk": onDisk}, "pinned": 0, "held": 0, "runs": []any{},
	}
}

func (r *replica) takeOrder(conn *connection, request *http.Request, body []byte) bool {
	var o order
	target := request.Header.Get("Target-Instance")
	if err := json.Unmarshal(body, &o); err != nil || o.Holder == "" || o.Fence == 0 {
		return r.answerJSON(conn, 400, map[string]any{})
	}
	expected := int64(-1)
	if o.Expected != nil {
		expected = *o.Expected
	}
	status := r.carryOut(o, expected, target)
	r.w.record.add("replica %s: order %s %s/%s expected %d fence %d target %q: %d", r.name, o.Operation, o.Model, o.Adapter, expected, o.Fence, target, status)
	return r.answerJSON(conn, status, map[string]any{})
}

// maxAdapter is the number of adapters of the model; they are named a1, a2, and so on.
const maxAdapter = 3000

// carryOut does what the order says and returns the status of the answer.
func (r *replica) carryOut(o order, expected int64, target string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	number, err := strconv.Atoi(strings.TrimPrefix(o.Adapter, "a"))
	switch {
	case target != "" && target != r.id:
		return 421
	case o.Fence < r.fence:
		return 412
	case o.Model != r.model || o.Adapter != "" && (err != nil || number < 1 || number > maxAdapter):
		return 400
	case r.isBusy, expected >= 0 && expected != r.sequence:
		return 409
	}
	r.fence = o.Fence
	born := r.born
	switch {
	case o.Adapter == "" && o.Operation == "load":
		if r.hasModel {
			return 200
		}
		r.sequence++
		r.isBusy = true
		time.AfterFunc(760*time.Millisecond, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.born == born {
				r.isBusy, r.hasModel = false, true
			}
		})
		return 202
	case o.Adapter == "" || !r.hasModel:
		return 400
	case o.Operation == "load":
		version := max(1, o.Version)
		if held, ok := r.adapters[o.Adapter]; ok && held == version {
			return 200
		}
		if _, ok := r.loading[o.Adapter]; ok {
			return 200
		}
		if len(r.adapters)+len(r.loading) >= r.slots {
			r.crashes = append(r.crashes, fmt.Sprintf("ordered to load %s with %d of %d places taken", o.Adapter, len(r.adapters)+len(r.loading), r.slots))
			go r.down(r.crashes[len(r.crashes)-1])
			return 0
		}
		r.sequence++
		r.loading[o.Adapter] = version
		after := r.loadTime
		if r.recent[o.Adapter] {
			after /= 10
		}
		time.AfterFunc(after, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.born == born && r.loading[o.Adapter] == version {
				delete(r.loading, o.Adapter)
				r.adapters[o.Adapter] = version
			}
		})
		return 202
	default:
		if _, ok := r.adapters[o.Adapter]; !ok {
			return 200
		}
		r.sequence++
		r.recent[o.Adapter] = true
		if r.inUse[o.Adapter] > 0 {
			r.unloads[o.Adapter] = true
			return 202
		}
		delete(r.adapters, o.Adapter)
		return 200
	}
}

func (r *replica) run(conn *connection, request *http.Request) bool {
	id := request.Header.Get("Request-Id")
	adapter := ""
	if _, name, ok := strings.Cut(request.Header.Get("Model"), "/"); ok {
		adapter = name
	}
	target := request.Header.Get("Target-Instance")
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id: id, at: time.Now()})
	isHere := target == "" || target == r.id
	if r.model != "" && isHere {
		version, ok := r.adapters[adapter]
		isHere = r.hasModel && (adapter == "" || ok && !r.unloads[adapter])
		if wanted := request.Header.Get("Expected-Version"); isHere && wanted != "" && wanted != strconv.FormatInt(version, 10) {
			isHere = false
		}
	}
	instance := r.id
	if !isHere {
		r.answers++
		r.mu.Unlock()
		answer := fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nReplica-Id: %s\r\nNot-Executed: 1\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n", id, instance)
		spoiled := r.spoil != nil && r.spoil(421)
		if spoiled {
			conn.extra = []byte(answer)
		}
		r.w.record.add("replica %s: request %s (%s) from %s not run: 421, second copy late: %t", r.name, id, request.Header.Get("Model"), conn.net.RemoteAddr(), spoiled)
		_, err := conn.net.Write([]byte(answer))
		return err == nil
	}
	r.runs[id]++
	r.running++
	r.inUse[adapter]++
	r.answers++
	times := r.runs[id]
	r.mu.Unlock()
	r.w.record.add("replica %s: request %s (%s) from %s runs, time %d", r.name, id, request.Header.Get("Model"), conn.net.RemoteAddr(), times)
	if r.spoil != nil {
		r.spoil(200)
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
		r.inUse[adapter]--
		if r.inUse[adapter] == 0 && r.unloads[adapter] {
			delete(r.unloads, adapter)
			delete(r.adapters, adapter)
		}
	}()
	if r.model == "" {
		return r.runPlain(conn, id)
	}
	return r.runStream(conn, id)
}

func (r *replica) runPlain(conn *connection, id string) bool {
	time.Sleep(r.work)
	body := "done " + id
	_, err := fmt.Fprintf(conn.net, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
	return err == nil
}

// runStream answers with events. It stops when the connection is closed.
func (r *replica) runStream(conn *connection, id string) bool {
	gone := make(chan struct{})
	next := make(chan struct{})
	conn.next = next
	go func() {
		defer close(next)
		if _, err := conn.reader.Peek(1); err != nil {
			close(gone)
		}
	}()
	time.Sleep(r.work)
	if _, err := fmt.Fprintf(conn.net, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s.%s\r\nWeight-Versions: 1\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n", id, id); err != nil {
		return false
	}
	for n := 1; n <= r.events; n++ {
		select {
		case <-gone:
			r.w.record.add("replica %s: request %s stopped after %d events, its connection was closed", r.name, id, n-1)
			return false
		case <-time.After(r.work):
		}
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, id)
		if _, err := fmt.Fprintf(conn.net, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(conn.net, "0\r\n\r\n")
	return err == nil
}
