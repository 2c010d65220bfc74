package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const limitManifest = `{"version":7,"routes":[
 {"name":"chat","host":"a.example","prefix":"/s/","kind":"streaming","timeout_ms":10000,"target_latency_ms":1000,"priority":1,"service":"llm","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":250}],
 "services":[{"name":"llm","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":232000,"kv_token_bytes":327680,"link_mbps":1100000.0,"models":[{"name":"base","weights_mb":65100,"load_s":1.9,"adapters":3000,"adapter_mb":12.0,"warm_s":0.38,"disk_s":0.76}],"weights_mb":66500,"adapter_slots":8,"loads_per_s":2.8}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"org","api_keys":["key-1"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":132858,"burst":132858}]}`

// Times of the case. An order may be carried out 2 to 12 s late, and a crashed replica may be down for 2 s and more.
const (
	limitLate = 11 * time.Second
	limitDown = 2 * time.Second
	// limitReplicas is the number of replicas, of which one crashes.
	limitReplicas = 4
)

// playLimit lets one order be carried out late and the replica that it goes to crash and start again meanwhile, under the
// id that it had.
func playLimit(w *world) ([]string, error) {
	w.store.put("op", "config", jsonText(limitManifest))
	var replicas []*replica
	var target atomic.Pointer[replica]
	held := make(chan time.Time, 1)
	var once sync.Once
	for n := range limitReplicas {
		r := &replica{w: w, id: fmt.Sprintf("i-%d", n), service: "llm", zone: fmt.Sprintf("z%d", n%3+1), ip: fmt.Sprintf("127.0.1.%d", n+1), isEngine: true, workTime: 20 * time.Millisecond}
		if w.isTrouble {
			r.isHeldUp = func(r *replica, o order) (delay time.Duration, ok bool) {
				r.mu.Lock()
				isFirst := r.boot == 1 && o.Operation == "load" && o.Adapter != "" && o.Expected != nil && *o.Expected == adapterSlots+1
				r.mu.Unlock()
				if !isFirst {
					return 0, false
				}
				once.Do(func() {
					target.Store(r)
					ok = true
					held <- time.Now()
				})
				return limitLate, ok
			}
		}
		if err := r.begin(); err != nil {
			return nil, err
		}
		replicas = append(replicas, r)
	}
	seeds := []string{"127.0.0.11", "127.0.0.12"}
	var entries []*process
	for n, ip := range seeds {
		p, err := w.newProcess(fmt.Sprintf("edge-%d", n+1), "entry", ip, fmt.Sprintf("z%d", n+1), seeds, "", "")
		if err != nil {
			return nil, err
		}
		entries = append(entries, p)
	}
	for n, r := range replicas {
		if _, err := w.newProcess(fmt.Sprintf("side-%d", n+1), "sidecar", r.ip, r.zone, seeds, r.address(), "llm"); err != nil {
			return nil, err
		}
	}
	for _, e := range entries {
		if err := w.awaitReady(e, 10*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(2 * time.Second)
	var sent, served, next atomic.Int64
	ask := func(adapter int) {
		n := sent.Add(1)
		a := w.send(request{
			entry: entries[int(n)%len(entries)], method: "POST", path: "/s/x", body: "prompt", id: fmt.Sprintf("q%04d", n), key: "key-1",
			model: fmt.Sprintf("%s/a%d", modelName, adapter), tokenUsage: "400,12", deadline: 5 * time.Second,
		})
		if a.status == 200 {
			served.Add(1)
		}
	}
	askNew := func(together int) {
		var group sync.WaitGroup
		for range together {
			group.Add(1)
			go func() {
				defer group.Done()
				ask(int(next.Add(1)))
			}()
		}
		group.Wait()
	}
	// New adapters are asked for until one replica is full and makes room for the first time.
	isFull := func() bool {
		for _, r := range replicas {
			r.mu.Lock()
			sequence := r.sequence
			r.mu.Unlock()
			if sequence >= adapterSlots+2 {
				return true
			}
		}
		return false
	}
	for end := time.Now().Add(30 * time.Second); !isFull() && time.Now().Before(end); {
		askNew(1)
	}
	if !isFull() || w.isTrouble && target.Load() == nil {
		return nil, fmt.Errorf("%w: no replica was full", errNotRun)
	}
	crashed := replicas[0]
	heldAt := time.Now()
	if w.isTrouble {
		crashed, heldAt = target.Load(), <-held
		time.Sleep(300 * time.Millisecond)
		crashed.crash()
		time.Sleep(limitDown)
		if err := crashed.begin(); err != nil {
			return nil, err
		}
	}
	// New adapters are asked for until that replica is full again.
	taken := func() int {
		crashed.mu.Lock()
		defer crashed.mu.Unlock()
		return len(crashed.adapters) + len(crashed.coming)
	}
	for taken() < adapterSlots && time.Since(heldAt) < limitLate {
		// More requests at once while there is room for all of them.
		askNew(max(1, min(4, adapterSlots-taken())))
	}
	crashed.mu.Lock()
	w.logf("%s holds %d adapters, sequence %d", crashed.id, len(crashed.adapters), crashed.sequence)
	crashed.mu.Unlock()
	// Then only adapters that are held are asked for.
	for time.Since(heldAt) < limitLate+2*time.Second {
		crashed.mu.Lock()
		adapter := ""
		for a := range crashed.adapters {
			adapter = a
		}
		crashed.mu.Unlock()
		n := 0
		if _, err := fmt.Sscanf(adapter, "a%d", &n); err == nil {
			ask(n)
		}
		time.Sleep(100 * time.Millisecond)
	}
	w.logf("%d requests sent, %d served", sent.Load(), served.Load())
	if served.Load() < 20 {
		return nil, fmt.Errorf("%w: too few requests were served", errNotRun)
	}
	var broken []string
	for _, r := range replicas {
		r.mu.Lock()
		broken = append(broken, r.broken...)
		r.mu.Unlock()
	}
	return broken, nil
}

// jsonText is a text that is JSON already.
type jsonText string

// MarshalJSON implements json.Marshaler.
func (t jsonText) MarshalJSON() ([]byte, error) { return []byte(t), nil }
