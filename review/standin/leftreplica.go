package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// The times of one round: the replica's entry is removed, the store goes down at downAt and is back at backAt. The replica
// serves on for drainTime and servesOn more.
const (
	leavingRounds = 7
	roundTime     = 14500 * time.Millisecond
	downAt        = 50 * time.Millisecond
	backAt        = downAt + 4500*time.Millisecond
	drainTime     = 2 * time.Second
	servesOn      = 11 * time.Second
	contactTime   = 3 * time.Second
	// margin is added to the bounds, for this machine's own delays.
	margin = 200 * time.Millisecond
)

// playLeftReplica: a replica leaves without reporting that it drains, and the store goes down for some seconds. It looks
// for requests that reach the replica long after, through entries that are in touch again.
func playLeftReplica(w *world) (int, error) {
	w.store.put("op", "config", manifest(1, []any{
		route("r-book", "/book/", "unsafe", "ledger", 1500, 1, false),
		route("r-look", "/look/", "safe", "ledger", 1500, 2, false),
	}, []any{plainService("ledger"), engineService("scribe")}))
	var ledgers []*replica
	for i := range 9 {
		r := &replica{w: w, name: fmt.Sprintf("L%d", i+1), service: "ledger", zone: "zone-c", machine: 31 + i, port: w.appPort, work: 30 * time.Millisecond}
		ledgers = append(ledgers, r)
		if err := r.up(false); err != nil {
			return 0, err
		}
	}
	for i, zone := range []string{"zone-a", "zone-b", "zone-c"} {
		if _, err := w.start("entry", w.settings(11+i, fmt.Sprintf("edge-%d", i+1), "edge", zone, w.store.newDoor(w.ip(11+i)), []int{11, 12, 13}, "")); err != nil {
			return 0, err
		}
		time.Sleep(170 * time.Millisecond)
	}
	for i := range 6 {
		r := &replica{w: w, name: fmt.Sprintf("R%d", i+1), service: "scribe", zone: "zone-c", machine: 21 + i, port: w.appPort, model: "m0", slots: 8, loadTime: 250 * time.Millisecond, work: 20 * time.Millisecond, events: 4}
		if err := r.up(true); err != nil {
			return 0, err
		}
		if _, err := w.start("sidecar", w.settings(21+i, fmt.Sprintf("side-%d", i+1), "side", "zone-c", w.store.newDoor(w.ip(21+i)), []int{11, 12, 13}, "scribe")); err != nil {
			return 0, err
		}
	}
	if !w.waitReady(11, 10*time.Second) || !w.waitReady(12, 10*time.Second) || !w.waitReady(13, 10*time.Second) {
		return 0, errors.New("the entries did not become ready")
	}
	time.Sleep(2 * time.Second)

	stop := make(chan struct{})
	var waiting sync.WaitGroup
	var mu sync.Mutex
	sent := map[string]result{}
	at := map[string]int{}
	answered := map[int]int{}
	for i := range 3 {
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			c := newClient(w)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(33 * time.Millisecond):
				}
				k := call{method: "POST", path: "/book/x", host: "h.example", key: tenantKey, deadline: 1500 * time.Millisecond, body: "book"}
				if n%2 == 1 {
					k.method, k.path, k.body = "GET", "/look/x", ""
				}
				waiting.Add(1)
				go func() {
					defer waiting.Done()
					a := c.send(w.address(11+i, w.frontPort), k)
					mu.Lock()
					defer mu.Unlock()
					sent[a.id], at[a.id] = a, i+1
					answered[a.status]++
				}()
			}
		}()
	}
	type leave struct {
		replica *replica
		leftAt  time.Time
		// inTouchFrom is the time from which all machines are in touch again.
		inTouchFrom time.Time
	}
	var leaves []leave
	for n := range leavingRounds {
		begin := time.Now()
		await := func(at time.Duration) { time.Sleep(time.Until(begin.Add(at))) }
		l := leave{replica: ledgers[n]}
		l.replica.unlist()
		l.leftAt = time.Now()
		await(downAt)
		if hasTrouble() {
			w.store.setDown(true)
			w.record.add("disruption: the store is down, it doesn't answer")
		}
		await(backAt)
		if hasTrouble() {
			w.store.setDown(false)
			w.record.add("the store is back")
			l.inTouchFrom = time.Now().Add(contactTime)
		}
		leaves = append(leaves, l)
		await(drainTime + servesOn)
		l.replica.down("it has left")
		await(roundTime)
	}
	close(stop)
	waiting.Wait()
	broken, cut := 0, 0
	for _, l := range leaves {
		l.replica.mu.Lock()
		late := map[int]int{}
		for _, a := range l.replica.arrivals {
			mu.Lock()
			s, ok := sent[a.id]
			entry := at[a.id]
			mu.Unlock()
			bound := l.leftAt.Add(drainTime)
			if l.inTouchFrom.After(bound) {
				bound = l.inTouchFrom
			}
			bound = bound.Add(margin)
			if ok && s.sentAt.After(bound) && a.at.After(bound) {
				late[entry]++
				if late[entry] <= 3 || s.status != 200 {
					w.record.add("DRAIN: request %s, sent to edge-%d, reached replica %s %.2f s after its entry was removed; it was answered %d", a.id, entry, l.replica.name, a.at.Sub(l.leftAt).Seconds(), s.status)
				}
				if s.status != 200 {
					cut++
				}
			}
		}
		l.replica.mu.Unlock()
		for entry, n := range late {
			broken += n
			w.record.add("DRAIN: %d requests reached replica %s through edge-%d later than the bound, up to its end", n, l.replica.name, entry)
		}
	}
	w.record.add("answers by status: %v; %d requests reached replicas that had left, %d of them were not answered with success", answered, broken, cut)
	if answered[200] == 0 {
		return 0, errors.New("no request was answered")
	}
	if broken > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
