// Program cases2 plays the scripted cases of the second review. It hosts the stand-ins (the platform's store, replicas and
// requesters) and starts the project's own programs as separate processes.
package main

import (
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// row is a row of the store.
type row struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     string `json:"value"`
	Ver       int64  `json:"ver"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in for the platform's store. It is linearizable and loses nothing.
type store struct {
	start   time.Time
	mu      sync.Mutex
	version int64
	rows    map[[2]string]row
	history []row
	changed chan struct{}
}

func newStore() *store {
	return &store{start: time.Now(), rows: map[[2]string]row{}, changed: make(chan struct{})}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	mux.HandleFunc("POST /rows-tx", s.transact)
	return mux
}

func (s *store) apply(list ...row) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyLocked(list...)
}

func (s *store) applyLocked(list ...row) int64 {
	s.version++
	for _, r := range list {
		r.Ver = s.version
		s.history = append(s.history, r)
		if r.Tombstone {
			delete(s.rows, [2]string{r.Table, r.Key})
		} else {
			s.rows[[2]string{r.Table, r.Key}] = r
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

func (s *store) put(table, key string, value any) int64 {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.apply(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(content)})
}

func (s *store) remove(table, key string) { s.apply(row{Table: table, Key: key, Tombstone: true}) }

func (s *store) write(w http.ResponseWriter, status int, body map[string]any) {
	body["ver"], body["now_ms"] = s.version, float64(time.Since(s.start).Milliseconds())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for key, value := range s.rows {
		if key[0] == q.Get("table") && value.Part == q.Get("part") && key[1] >= q.Get("from") && (q.Get("to") == "" || key[1] < q.Get("to")) {
			found = append(found, value)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	s.write(w, http.StatusOK, map[string]any{"rows": found, "more_pages": false})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err1 := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("wait_ms"))
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		found := []row{}
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Ver > after {
				found = append(found, h)
			}
		}
		if len(found) > 0 || isOver {
			s.write(w, http.StatusOK, map[string]any{"rows": found, "more_pages": false})
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expected"`
		Put      []row `json:"put"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []row
	for _, p := range tx.Put {
		list = append(list, p)
	}
	for _, p := range tx.Remove {
		p.Tombstone = true
		list = append(list, p)
	}
	for _, p := range list {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	current := []row{}
	isConflict := false
	for _, e := range tx.Expected {
		now := s.rows[[2]string{e.Table, e.Key}]
		current = append(current, now)
		isConflict = isConflict || now.Ver != e.Ver
	}
	if isConflict {
		s.write(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.applyLocked(list...)
	s.write(w, http.StatusOK, map[string]any{})
}

// world is one play of a case.
type world struct {
	program, folder string
	isTrouble       bool
	start           time.Time
	store           *store
	storeAddress    string
	port            int

	recordMu sync.Mutex
	record   *os.File

	mu        sync.Mutex
	processes []*process
	servers   []*http.Server
}

// errNotRun means that the case couldn't run, as opposed to a rule that was broken.
var errNotRun = errors.New("the case could not run")

func (w *world) logf(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) elapsed() time.Duration { return time.Since(w.start) }

// freePort returns a port such that it and the ones after it are free on all addresses of a play.
func freePort() (int, error) {
	for port := 21000 + os.Getpid()%200*40; port < 31000; port += 40 {
		isFree := true
		for n := range 12 {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+n))
			if err != nil {
				isFree = false
				break
			}
			_ = l.Close()
		}
		if isFree {
			return port, nil
		}
	}
	return 0, errNotRun
}

// Ports relative to world.port.
const (
	portPeer = iota
	portMetrics
	portFront
	portReady
	portControl
	portReplica
	portStore
)

func (w *world) address(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(w.port+port))
}

func (w *world) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	server := &http.Server{Handler: h}
	w.mu.Lock()
	w.servers = append(w.servers, server)
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	return nil
}

// process is one of the project's processes.
type process struct {
	w                        *world
	name, role, ip, settings string
	mu                       sync.Mutex
	cmd                      *exec.Cmd
	exited                   chan struct{}
}

// settings are those of the users' pages for a small deployment, with loopback addresses.
const settings = `node: %q
role: %q
instance_class: %q
serves: []
ip: %q
zone: %q
region: "r1"
zones: {z1: "r1", z2: "r1", z3: "r1"}
listen: {front: %q, ready: %q, control: %q}
port_range: [%d, %d]
seeds: [%s]
bootstrap: true
limits: {cpu_share: 0.304, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
heartbeat_ms: 1200
bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  contact_ms: 3000
  ack_ms: 4000
  catch_up_s: 4
  drain_ms: 2000
  grace_s: 8
  lost_slack_ms: 200
  config_apply_ms: 2000
  rollback_slack_ms: 250
  max_stretch_ms: 5000
  revoke_fail_closed: false
  revoke_ms: 5000
  retry_budget_ratio: 0.2
  budget_window_s: 10
  retry_slack: 54
  quota_window_s: 8
  quota_overage: 0.1
  quota_slack: 110000
  recovery_s: 12
  pass_ms: 120
  again_s: 0
  require_fencing: true
  lease_ms: 3000
  thaw_slack_ms: 300
  ceiling_window_s: 5
  ceiling_overage: 1.1
  version_ms: 5000
platform: {address: %q, form: "table", writes_per_s: 400, reads_per_s: 2000, tx_ms: 3.0, append_per_s: 300, row_bytes: 65536, across: true, history_s: 20}
`

// newProcess writes the settings of a process and starts it. app and service describe the replica beside a sidecar.
func (w *world) newProcess(name, role, ip, zone string, seeds []string, app, service string) (*process, error) {
	var quoted []string
	for _, seed := range seeds {
		quoted = append(quoted, strconv.Quote(w.address(seed, portControl)))
	}
	front, ready, control := "", "", ""
	if role == "entry" {
		front, ready, control = w.address(ip, portFront), w.address(ip, portReady), w.address(ip, portControl)
	}
	text := fmt.Sprintf(settings, name, role, map[string]string{"entry": "edge", "sidecar": "side"}[role], ip, zone, front, ready, control,
		w.port, w.port+1, strings.Join(quoted, ", "), w.storeAddress)
	if app != "" {
		text += fmt.Sprintf("app: %q\nservice: %q\n", app, service)
	}
	p := &process{w: w, name: name, role: role, ip: ip, settings: filepath.Join(w.folder, name+".yaml")}
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	return p, p.run()
}

func (p *process) run() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(filepath.Join(p.w.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.w.program, "platform", p.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GERANIUMLADDER_BOOT=" + p.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited = cmd, exited
	p.w.logf("process %s started (pid %d)", p.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		p.w.logf("process %s ended: %v", p.name, err)
		close(exited)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.w.logf("signal %v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
	return p.exited
}

// close ends all processes and servers of the play.
func (w *world) close() {
	w.mu.Lock()
	processes, servers := w.processes, w.servers
	w.mu.Unlock()
	for _, p := range processes {
		p.mu.Lock()
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
		}
		exited := p.exited
		p.mu.Unlock()
		if exited != nil {
			<-exited
		}
	}
	for _, s := range servers {
		_ = s.Close()
	}
}

// awaitReady waits until the entry says that it is ready.
func (w *world) awaitReady(p *process, timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if w.isReady(p) {
			w.logf("entry %s is ready", p.name)
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not ready", errNotRun, p.name)
}

var probeClient = &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

func (w *world) isReady(p *process) bool {
	response, err := probeClient.Get("http://" + w.address(p.ip, portReady) + "/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
