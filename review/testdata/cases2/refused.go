package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const refusedManifest = `{"version":7,"routes":[
 {"name":"book","host":"a.example","prefix":"/b/","kind":"unsafe","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"ledger","max_attempts":1,"public":false,"sticky":false,"resumable":false}],
 "services":[{"name":"ledger","health_path":"/health","max_connections":100,"protocol":"h1","tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"org","api_keys":["key-1"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":132858,"burst":132858}]}`

// Figures of the disruption: the share of requests that the grey replica fails, and for how long.
const (
	refusedShare = 0.45
	refusedGrey  = 4 * time.Second
)

// playRefused lets the replicas fail a part of the requests that they have run, while their health probes are good. They
// answer these with 503 and without Not-Executed, so that they don't state that they haven't run.
func playRefused(w *world) ([]string, error) {
	w.store.put("op", "config", jsonText(refusedManifest))
	var replicas []*replica
	for n := range 3 {
		r := &replica{w: w, id: fmt.Sprintf("i-%d", n), service: "ledger", zone: fmt.Sprintf("z%d", n+1), ip: fmt.Sprintf("127.0.1.%d", n+1), workTime: 30 * time.Millisecond}
		if err := r.begin(); err != nil {
			return nil, err
		}
		replicas = append(replicas, r)
	}
	seeds := []string{"127.0.0.11", "127.0.0.12", "127.0.0.13"}
	var entries []*process
	for n, ip := range seeds {
		p, err := w.newProcess(fmt.Sprintf("edge-%d", n+1), "entry", ip, fmt.Sprintf("z%d", n+1), seeds, "", "")
		if err != nil {
			return nil, err
		}
		entries = append(entries, p)
	}
	for _, e := range entries {
		if err := w.awaitReady(e, 10*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	if w.isTrouble {
		w.logf("the replicas fail %.0f in 100 requests from now on for %v", 100*refusedShare, refusedGrey)
		for _, r := range replicas {
			r.mu.Lock()
			r.failsUntil, r.failShare = time.Now().Add(refusedGrey), refusedShare
			r.mu.Unlock()
		}
	}
	var mu sync.Mutex
	statuses := map[string]int{}
	bookings := map[string]string{}
	var served atomic.Int64
	var requests sync.WaitGroup
	ticker := time.NewTicker(90 * time.Millisecond)
	defer ticker.Stop()
	const count = 130
	for n := range count {
		<-ticker.C
		requests.Add(1)
		go func() {
			defer requests.Done()
			booking := fmt.Sprintf("order-%04d", n)
			// A requester retries an unsafe request once, and only after a promise that it has not run.
			for try := range 2 {
				id := fmt.Sprintf("q%04d-%d", n, try)
				a := w.send(request{
					entry: entries[(n+try)%len(entries)], method: "POST", path: "/b/", body: booking, id: id, key: "key-1", deadline: 1500 * time.Millisecond,
				})
				mu.Lock()
				statuses[id], bookings[id] = a.status, booking
				mu.Unlock()
				if a.status == 200 {
					served.Add(1)
				}
				if !isPromise(a.status) {
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	requests.Wait()
	w.logf("%d bookings, %d answered with success", count, served.Load())
	if served.Load() < count/2 {
		return nil, fmt.Errorf("%w: too few requests were served", errNotRun)
	}
	var broken []string
	ran := map[string]int{}
	for _, r := range replicas {
		r.mu.Lock()
		for _, one := range r.runs {
			ran[bookings[one.id]]++
			if isPromise(statuses[one.id]) {
				broken = append(broken, fmt.Sprintf("REFUSED: %s (%s) was answered %d and has run at %s at %.3f s", one.id, bookings[one.id], statuses[one.id], one.replica, one.at.Seconds()))
			}
		}
		r.mu.Unlock()
	}
	for booking, times := range ran {
		if times > 1 {
			w.logf("%s ran %d times", booking, times)
		}
	}
	return broken, nil
}

// isPromise reports whether the status promises that a request has not run and never will.
func isPromise(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}
