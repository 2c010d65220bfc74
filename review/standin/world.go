package main

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// world is one small deployment on loopback addresses: the project's processes, and stand-ins for the rest. Each machine
// has an address of its own.
type world struct {
	dir     string
	program string
	begin   time.Time
	record  *record
	store   *store

	// prefix is the first three numbers of all addresses; ports are the same on all machines.
	prefix                                      string
	frontPort, readyPort, peerPort, metricsPort int
	appPort                                     int

	mu        sync.Mutex
	processes []*process
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.4f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// process is one of the project's processes.
type process struct {
	name    string
	command *exec.Cmd
	ended   chan struct{}
}

func newWorld(recordPath, program string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, program: program, begin: time.Now()}
	w.record = &record{file: file, begin: w.begin}
	w.prefix = fmt.Sprintf("127.%d.%d", 64+os.Getpid()%64, (os.Getpid()/64)%250+1)
	ports := []*int{&w.frontPort, &w.readyPort, &w.appPort}
	for _, p := range ports {
		*p = freePort(w.ip(1))
	}
	w.peerPort = freePort(w.ip(1))
	w.metricsPort = w.peerPort + 1
	w.store = newStore()
	return w, nil
}

func freePort(ip string) int {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

func (w *world) ip(machine int) string { return fmt.Sprintf("%s.%d", w.prefix, machine) }

func (w *world) address(machine, port int) string {
	return net.JoinHostPort(w.ip(machine), strconv.Itoa(port))
}

// settings returns the settings file of a machine. The figures are those of a small deployment.
func (w *world) settings(machine int, name, class, zone, storeAddress string, seeds []int, service string) map[string]any {
	listen := map[string]any{}
	if class == "edge" {
		listen["front"] = w.address(machine, w.frontPort)
		listen["ready"] = w.address(machine, w.readyPort)
		listen["control"] = w.address(machine, w.peerPort+5)
	}
	var seedAddresses []string
	for _, s := range seeds {
		seedAddresses = append(seedAddresses, w.address(s, w.peerPort+5))
	}
	s := map[string]any{
		"node": name, "role": class, "instance_class": class, "serves": []string{class}, "ip": w.ip(machine), "zone": zone,
		"region": "region-1", "zones": map[string]string{"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1"},
		"listen": listen, "port_range": []int{w.peerPort, w.peerPort + 15}, "seeds": seedAddresses, "bootstrap": true,
		"loss_counts": false,
		"limits":      map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery":   "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "tenants", "quota", "platform"},
		"fault_tolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
			"grace_s": 8, "lost_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
			"revoke_fail_closed": false, "revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_slack": 54,
			"quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 110000, "recovery_s": 12, "pass_ms": 120, "again_s": 0,
			"require_fencing": true, "lease_ms": 3000, "thaw_slack_ms": 300, "ceiling_window_s": 5, "ceiling_overage": 1.1,
			"version_ms": 5000,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 3.0, "append_per_s": 300,
			"row_bytes": 65536, "across": true, "history_s": 20, "blob_bytes": 8388608, "blob_ms": 25.0, "blob_mb_s": 80.0,
		},
	}
	if service != "" {
		s["app"], s["service"] = w.address(machine, w.appPort), service
	}
	return s
}

// start runs one of the deploy file's roles with the settings.
func (w *world) start(role string, settings map[string]any) (*process, error) {
	name := settings["node"].(string)
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(w.dir, name+".yaml")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return nil, err
	}
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	command := exec.Command(w.program, "platform", role)
	command.Env = []string{"GERANIUMLADDER_BOOT=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + w.dir}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	w.record.add("process %s started: platform %s, pid %d", name, role, command.Process.Pid)
	return p, nil
}

// stop ends all processes that were started and removes the temporary folder. It copies the logs beside the record if
// KEEP_LOGS is set.
func (w *world) stop() {
	w.mu.Lock()
	list := slices.Clone(w.processes)
	w.mu.Unlock()
	for _, p := range list {
		_ = p.command.Process.Kill()
	}
	for _, p := range list {
		select {
		case <-p.ended:
		case <-time.After(5 * time.Second):
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.MkdirAll(keep, 0o755)
		for _, p := range list {
			content, err := os.ReadFile(filepath.Join(w.dir, p.name+".log"))
			if err == nil {
				_ = os.WriteFile(filepath.Join(keep, p.name+".log"), content, 0o600)
			}
		}
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.file.Close()
}

// hasTrouble reports whether the disruption is to be made.
func hasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
