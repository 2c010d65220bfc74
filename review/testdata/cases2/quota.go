package main

import (
	"fmt"
	"sort"
	"sync"
	"syscall"
	"time"
)

const quotaManifest = `{"version":7,"routes":[
 {"name":"chat","host":"a.example","prefix":"/s/","kind":"streaming","timeout_ms":5000,"target_latency_ms":1000,"priority":1,"service":"llm","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":250}],
 "services":[{"name":"llm","health_path":"/health","max_connections":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":232000,"kv_token_bytes":327680,"link_mbps":1100000.0,"models":[{"name":"base","weights_mb":65100,"load_s":1.9,"adapters":3000,"adapter_mb":12.0,"warm_s":0.38,"disk_s":0.76}],"weights_mb":66500,"adapter_slots":8,"loads_per_s":2.8}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"org","api_keys":["key-1"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":20000,"burst":400000}]}`

// Figures of the rule: the manifest's, and the installation's bounds.
const (
	quotaRate, quotaBurst    = 20000.0, 400000.0
	quotaWindow              = 8 * time.Second
	quotaOverage, quotaSlack = 0.1, 110000.0
	quotaTokens              = "9000,200"
)

// playQuota kills all entries at the same moment while one tenant uses its cap.
func playQuota(w *world) ([]string, error) {
	w.store.put("op", "config", jsonText(quotaManifest))
	var replicas []*replica
	for n := range 4 {
		r := &replica{w: w, id: fmt.Sprintf("i-%d", n), service: "llm", zone: fmt.Sprintf("z%d", n%3+1), ip: fmt.Sprintf("127.0.1.%d", n+1), isEngine: true, workTime: 20 * time.Millisecond}
		if err := r.begin(); err != nil {
			return nil, err
		}
		replicas = append(replicas, r)
	}
	seeds := []string{"127.0.0.11", "127.0.0.12", "127.0.0.13"}
	var entries []*process
	for n := range 4 {
		p, err := w.newProcess(fmt.Sprintf("edge-%d", n+1), "entry", fmt.Sprintf("127.0.0.%d", 11+n), fmt.Sprintf("z%d", n%3+1), seeds, "", "")
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
	// The tenant is quiet until its burst is available.
	time.Sleep(time.Duration(quotaBurst/quotaRate) * time.Second)
	var mu sync.Mutex
	sentAt := map[string]time.Duration{}
	var requests sync.WaitGroup
	count := 0
	begin := time.Now()
	var kill <-chan time.Time
	if w.isTrouble {
		kill = time.After(2500 * time.Millisecond)
	}
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for time.Since(begin) < 10*time.Second {
		select {
		case <-kill:
			w.logf("all entries are killed at once; each starts again after 0.5 s")
			for _, e := range entries {
				exited := e.signal(syscall.SIGKILL)
				go func() {
					<-exited
					time.Sleep(500 * time.Millisecond)
					_ = e.run()
				}()
			}
		case <-ticker.C:
			count++
			id := fmt.Sprintf("q%05d", count)
			mu.Lock()
			sentAt[id] = w.elapsed()
			mu.Unlock()
			entry := entries[count%len(entries)]
			requests.Add(1)
			go func() {
				defer requests.Done()
				w.send(request{entry: entry, method: "POST", path: "/s/x", body: "prompt", id: id, key: "key-1", model: modelName, tokenUsage: quotaTokens, deadline: 5 * time.Second})
			}()
		}
	}
	requests.Wait()
	var runs []run
	for _, r := range replicas {
		r.mu.Lock()
		runs = append(runs, r.runs...)
		r.mu.Unlock()
	}
	if len(runs) < 40 {
		return nil, fmt.Errorf("%w: only %d requests ran", errNotRun, len(runs))
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].at < runs[j].at })
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	most, mostAt := 0.0, time.Duration(0)
	for i, last := range runs {
		sum := 0.0
		for _, r := range runs[:i+1] {
			if r.at >= last.at-quotaWindow && sentAt[r.id] >= last.at-quotaWindow {
				sum += r.tokens
			}
		}
		if sum > most {
			most, mostAt = sum, last.at
		}
	}
	w.logf("%d requests sent, %d ran; at most %.0f tokens in %v, up to %.3f s; the rule allows %.0f", count, len(runs), most, quotaWindow, mostAt.Seconds(), limit)
	fmt.Printf("at most %.0f tokens within %v; the rule allows %.0f\n", most, quotaWindow, limit)
	if most > limit {
		return []string{fmt.Sprintf("QUOTA: tenant org: %.0f tokens were sent and ran within %v, %.0f are allowed", most, quotaWindow, limit)}, nil
	}
	return nil, nil
}
