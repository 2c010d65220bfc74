package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// foreignAddress is where a server lives that is no replica.
const foreignAddress = "127.0.3.1"

// playForeign lets another writer put an entry into the table of the replicas that lacks most fields, so that it names no
// replica to use. At its address a web server of somebody else answers whatever it gets.
func playForeign(w *world) ([]string, error) {
	w.store.put("op", "config", jsonText(refusedManifest))
	var replicas []*replica
	for n := range 3 {
		r := &replica{w: w, id: fmt.Sprintf("i-%d", n), service: "ledger", zone: fmt.Sprintf("z%d", n+1), ip: fmt.Sprintf("127.0.1.%d", n+1), workTime: 30 * time.Millisecond}
		if err := r.begin(); err != nil {
			return nil, err
		}
		replicas = append(replicas, r)
	}
	var mu sync.Mutex
	got := map[string]time.Duration{}
	err := w.serve(w.address(foreignAddress, portReplica), http.HandlerFunc(func(o http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body)
		id := q.Header.Get("Request-Id")
		w.logf("the server that is no replica gets %s %s %s", q.Method, q.URL.Path, id)
		mu.Lock()
		got[id] = w.elapsed()
		mu.Unlock()
		o.Header().Set("Request-Id", id)
		_, _ = fmt.Fprint(o, "It works!")
	}))
	if err != nil {
		return nil, err
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
		value := map[string]any{"service": "ledger", "address": w.address(foreignAddress, portReplica), "zone": "z1", "state": "ready"}
		w.store.put("servers", "inventory-17", value)
		w.logf("another writer puts servers/inventory-17: %v", value)
	}
	time.Sleep(time.Second)
	statuses := map[string]answer{}
	var served atomic.Int64
	var requests sync.WaitGroup
	ticker := time.NewTicker(40 * time.Millisecond)
	defer ticker.Stop()
	const count = 250
	for n := range count {
		<-ticker.C
		requests.Add(1)
		go func() {
			defer requests.Done()
			id := fmt.Sprintf("q%04d", n)
			a := w.send(request{
				entry: entries[n%len(entries)], method: "POST", path: "/b/", body: fmt.Sprintf("order-%04d", n), id: id, key: "key-1", deadline: 1500 * time.Millisecond,
			})
			mu.Lock()
			statuses[id] = a
			mu.Unlock()
			if a.status == 200 {
				served.Add(1)
			}
		}()
	}
	requests.Wait()
	ran := map[string]bool{}
	for _, r := range replicas {
		r.mu.Lock()
		for _, one := range r.runs {
			ran[one.id] = true
		}
		r.mu.Unlock()
	}
	var broken []string
	lost := 0
	for id, a := range statuses {
		if a.status < 200 || a.status > 299 || a.signature != "" {
			continue
		}
		if !ran[id] {
			lost++
		}
		broken = append(broken, fmt.Sprintf("MIXED: %s was answered %d without a replica's Response-Signature; ran at a replica: %v; sent to a server that is no replica: %v", id, a.status, ran[id], got[id] > 0))
	}
	w.logf("%d bookings, %d answered with success, %d of these have run nowhere", count, served.Load(), lost)
	if served.Load() < count/2 {
		return nil, fmt.Errorf("%w: too few requests were served", errNotRun)
	}
	return broken, nil
}
