package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// The largest dose of the disruption that the pages name: a third of the replicas, 3 in 100 of their answers, 5 s at a time.
const (
	spoiledShare = 0.03
	spoilFor     = 5 * time.Second
	spoilPause   = 3 * time.Second
	latePlay     = 85 * time.Second
)

// spoiler decides which answers of a faulty replica come twice. In each spell it stays within the share.
type spoiler struct {
	mu      sync.Mutex
	begin   time.Time
	spell   int
	answers int
	spoiled int
	total   int
}

func (s *spoiler) decide(status int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Since(s.begin)
	spell := int(at / (spoilFor + spoilPause))
	if spell != s.spell {
		s.spell, s.answers, s.spoiled = spell, 0, 0
	}
	if at < 0 || at%(spoilFor+spoilPause) > spoilFor {
		return false
	}
	s.answers++
	if status != 421 || float64(s.spoiled+1) > spoiledShare*float64(s.answers) {
		return false
	}
	s.spoiled++
	s.total++
	return true
}

// playLateCopy: a replica sends a second copy of an answer late, in front of the next answer on the connection. It looks
// for requests of a route that is neither safe nor resumable and runs them more than once.
func playLateCopy(w *world) (int, error) {
	w.store.put("op", "config", manifest(1, []any{
		route("r-draft", "/draft/", "streaming", "scribe", 10000, 1, false),
		route("r-look", "/look/", "safe", "ledger", 800, 2, false),
	}, []any{engineService("scribe"), plainService("ledger")}))
	faulty := &replica{w: w, name: "R1", service: "scribe", zone: "zone-a", machine: 21, port: w.appPort, model: "m0", slots: 8, loadTime: 250 * time.Millisecond, work: 20 * time.Millisecond, events: 16}
	ledgers := []*replica{
		{w: w, name: "L1", service: "ledger", zone: "zone-a", machine: 31, port: w.appPort, work: 30 * time.Millisecond},
		{w: w, name: "L2", service: "ledger", zone: "zone-b", machine: 32, port: w.appPort, work: 30 * time.Millisecond},
	}
	spoil := &spoiler{}
	for _, r := range append(ledgers, faulty) {
		if err := r.up(true); err != nil {
			return 0, err
		}
	}
	for i, zone := range []string{"zone-a", "zone-b"} {
		settings := w.settings(11+i, fmt.Sprintf("edge-%d", i+1), "edge", zone, w.store.newDoor(w.ip(11+i)), []int{11, 12}, "")
		if _, err := w.start("entry", settings); err != nil {
			return 0, err
		}
	}
	settings := w.settings(21, "side-1", "side", "zone-a", w.store.newDoor(w.ip(21)), []int{11, 12}, "scribe")
	if _, err := w.start("sidecar", settings); err != nil {
		return 0, err
	}
	if !w.waitReady(11, 10*time.Second) || !w.waitReady(12, 10*time.Second) {
		return 0, errors.New("the entries did not become ready")
	}
	time.Sleep(3 * time.Second)

	entries := []string{w.address(11, w.frontPort), w.address(12, w.frontPort)}
	clients := []*client{newClient(w), newClient(w)}
	var mu sync.Mutex
	answered := map[int]int{}
	var waiting sync.WaitGroup
	ask := func(entry int, adapter string) {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			r := clients[entry].send(entries[entry], call{
				method: "POST", path: "/draft/x", host: "h.example", key: tenantKey, model: "m0/" + adapter, tokens: "400,40",
				prefix: "aa:100,bb:" + fmt.Sprint(rand.IntN(200)+1) + ",cc" + newID()[:4] + ":100", deadline: 10 * time.Second, body: "draft",
			})
			w.record.add("requester: request %s for %s at edge-%d answered %d, %d events, complete %t, after %d ms, %v", r.id, adapter, entry+1, r.status, r.events, r.isComplete, r.took.Milliseconds(), r.err)
			mu.Lock()
			answered[r.status]++
			mu.Unlock()
		}()
	}
	if hasTrouble() {
		faulty.mu.Lock()
		spoil.begin = time.Now()
		faulty.spoil = spoil.decide
		faulty.mu.Unlock()
		w.record.add("disruption: replica R1 (1 of 3) sends a second copy of up to 3 in 100 of its answers late, %v at a time", spoilFor)
	}
	const adapters = 24
	end := time.Now().Add(latePlay)
	for time.Now().Before(end) {
		faulty.mu.Lock()
		var held, missing []string
		for name := range faulty.adapters {
			held = append(held, name)
		}
		faulty.mu.Unlock()
		for n := 1; n <= adapters; n++ {
			if name := fmt.Sprintf("a%d", n); !slices.Contains(held, name) {
				missing = append(missing, name)
			}
		}
		// One requester asks for an adapter that is not loaded, and others at the same time for those that are.
		if len(missing) > 0 {
			ask(1, missing[rand.IntN(len(missing))])
		}
		time.Sleep(time.Duration(rand.IntN(4000)) * time.Microsecond)
		rand.Shuffle(len(held), func(i, j int) { held[i], held[j] = held[j], held[i] })
		for _, name := range held[:min(4, len(held))] {
			ask(0, name)
		}
		for range 9 {
			time.Sleep(60 * time.Millisecond)
			if len(held) > 0 {
				ask(1, held[rand.IntN(min(3, len(held)))])
			}
		}
	}
	waiting.Wait()
	faulty.mu.Lock()
	defer faulty.mu.Unlock()
	twice := 0
	for id, n := range faulty.runs {
		if n > 1 {
			twice++
			w.record.add("TWICE: request %s has begun to run %d times; its route is neither safe nor resumable", id, n)
		}
	}
	w.record.add("answers by status: %v; %d requests ran, %d of them more than once; %d answers came twice", answered, len(faulty.runs), twice, spoil.total)
	if answered[200] == 0 {
		return 0, errors.New("no request was answered")
	}
	if twice > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
