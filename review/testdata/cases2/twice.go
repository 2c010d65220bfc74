package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of the case.
const (
	// twiceReplicas and two entries are ten machines, of which the process of one is killed.
	twiceReplicas = 8
	// twiceKills is the number of kills in succession, restartDelay the time after which a killed process starts again, and
	// twiceGap the time from a start to the next kill.
	twiceKills   = 3
	restartDelay = 500 * time.Millisecond
	twiceGap     = 50 * time.Millisecond
	// twicePause is how long a request that was preempted in the middle of its stream waits until it goes on.
	twicePause = 2500 * time.Millisecond
	// twiceSlack is the time of the rule for which the replica before must still be at work.
	twiceSlack = 400 * time.Millisecond
)

// playTwice kills the sidecar beside a replica, again and again for a moment; the replica itself goes on working. The replica
// preempts its requests for a while, as it does when its memory runs out, and does not drop a request when its connection
// closes.
func playTwice(w *world) ([]string, error) {
	w.store.put("op", "config", jsonText(limitManifest))
	var replicas []*replica
	for n := range twiceReplicas {
		r := &replica{w: w, id: fmt.Sprintf("i-%d", n), service: "llm", zone: fmt.Sprintf("z%d", n%3+1), ip: fmt.Sprintf("127.0.1.%d", n+1), isEngine: true, workTime: 60 * time.Millisecond}
		if err := r.begin(); err != nil {
			return nil, err
		}
		replicas = append(replicas, r)
	}
	busy := replicas[0]
	busy.staysAtWork = true
	seeds := []string{"127.0.0.11", "127.0.0.12"}
	var entries []*process
	for n, ip := range seeds {
		p, err := w.newProcess(fmt.Sprintf("edge-%d", n+1), "entry", ip, fmt.Sprintf("z%d", n+1), seeds, "", "")
		if err != nil {
			return nil, err
		}
		entries = append(entries, p)
	}
	var sidecars []*process
	for n, r := range replicas {
		p, err := w.newProcess(fmt.Sprintf("side-%d", n+1), "sidecar", r.ip, r.zone, seeds, r.address(), "llm")
		if err != nil {
			return nil, err
		}
		sidecars = append(sidecars, p)
	}
	for _, e := range entries {
		if err := w.awaitReady(e, 10*time.Second); err != nil {
			return nil, err
		}
	}
	begin := time.Now()
	var requests sync.WaitGroup
	var served atomic.Int64
	count := 0
	kills, preempts := time.After(12*time.Second), time.After(12200*time.Millisecond)
	killed := make(chan struct{})
	ticker := time.NewTicker(12 * time.Millisecond)
	defer ticker.Stop()
	for time.Since(begin) < 20*time.Second {
		select {
		case <-kills:
			go func() {
				defer close(killed)
				for n := 0; w.isTrouble && n < twiceKills; n++ {
					<-sidecars[0].signal(syscall.SIGKILL)
					time.Sleep(restartDelay)
					if err := sidecars[0].run(); err != nil {
						w.logf("%v", err)
						return
					}
					time.Sleep(twiceGap)
				}
			}()
		case <-preempts:
			w.logf("%s runs out of memory and preempts its requests for %v", busy.id, twicePause)
			busy.mu.Lock()
			busy.preemptedUntil = time.Now().Add(twicePause)
			busy.mu.Unlock()
		case <-ticker.C:
			count++
			r := request{
				entry: entries[count%len(entries)], method: "POST", path: "/s/x", body: "prompt", id: fmt.Sprintf("q%04d", count), key: "key-1",
				model: modelName, tokenUsage: "400,60", deadline: 5 * time.Second,
			}
			requests.Add(1)
			go func() {
				defer requests.Done()
				if w.send(r).status == 200 {
					served.Add(1)
				}
			}()
		}
	}
	requests.Wait()
	<-killed
	w.logf("%d requests sent, %d served", count, served.Load())
	// A run that began at another replica while the one before was at work, and still was 400 ms later, breaks the rule.
	byID := map[string][]run{}
	for _, r := range replicas {
		r.mu.Lock()
		for _, one := range r.runs {
			byID[one.id] = append(byID[one.id], one)
		}
		r.mu.Unlock()
	}
	var broken []string
	for id, runs := range byID {
		for _, a := range runs {
			for _, b := range runs {
				if a.replica != b.replica && a.at < b.at && a.ended > b.at+twiceSlack {
					broken = append(broken, fmt.Sprintf("TWICE: %s went on at %s at %.3f s while %s worked on it from %.3f s to %.3f s (%d and %d events made)",
						id, b.replica, b.at.Seconds(), a.replica, a.at.Seconds(), a.ended.Seconds(), b.events, a.events))
				}
			}
		}
	}
	if len(broken) == 0 && served.Load() < int64(count)/2 {
		return nil, fmt.Errorf("%w: too few requests were served", errNotRun)
	}
	return broken, nil
}
