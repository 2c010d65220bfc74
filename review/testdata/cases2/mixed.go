package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the disruption: the share of the answers that a faulty replica spoils, and for how long.
const (
	mixedShare  = 0.05
	mixedGarble = 5500 * time.Millisecond
)

// playMixed lets one of three replicas hand out wrong bytes in some of its answers: one byte in the name of the header that
// bears the signature.
func playMixed(w *world) ([]string, error) {
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
		r := replicas[0]
		w.logf("%s spoils %.0f in 100 answers from now on for %v", r.id, 100*mixedShare, mixedGarble)
		r.mu.Lock()
		r.spoilsUntil, r.spoilShare = time.Now().Add(mixedGarble), mixedShare
		r.mu.Unlock()
	}
	var mu sync.Mutex
	var broken []string
	var served atomic.Int64
	var requests sync.WaitGroup
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	const count = 800
	for n := range count {
		<-ticker.C
		requests.Add(1)
		go func() {
			defer requests.Done()
			id := fmt.Sprintf("q%04d", n)
			a := w.send(request{
				entry: entries[n%len(entries)], method: "POST", path: "/b/", body: "booking", id: id, key: "key-1", deadline: 1500 * time.Millisecond,
			})
			if a.status < 200 || a.status > 299 {
				return
			}
			served.Add(1)
			if a.signature == "" {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("MIXED: %s was answered %d without the replica's Response-Signature at %.3f s", id, a.status, w.elapsed().Seconds()))
			}
		}()
	}
	requests.Wait()
	w.logf("%d requests sent, %d answered with success", count, served.Load())
	if served.Load() < count/2 {
		return nil, fmt.Errorf("%w: too few requests were served", errNotRun)
	}
	return broken, nil
}
