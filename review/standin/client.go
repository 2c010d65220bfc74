package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// client is a requester with kept connections.
type client struct {
	w    *world
	http *http.Client
}

func newClient(w *world) *client {
	return &client{w: w, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32, DisableCompression: true, IdleConnTimeout: 10 * time.Second}}}
}

// call is one request.
type call struct {
	method, path, host, key string
	model                   string
	tokens                  string
	prefix                  string
	deadline                time.Duration
	// leaveAfter, if set, is when the requester leaves before its deadline.
	leaveAfter time.Duration
	body       string
}

// result is what the requester saw.
type result struct {
	id     string
	status int
	// events is the number of complete events.
	events     int
	isComplete bool
	sentAt     time.Time
	took       time.Duration
	err        error
}

// send makes one attempt at the entry.
func (c *client) send(entry string, k call) result {
	r := result{id: newID(), sentAt: time.Now()}
	limit := k.deadline
	if k.leaveAfter > 0 {
		limit = k.leaveAfter
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, k.method, "http://"+entry+k.path, strings.NewReader(k.body))
	if err != nil {
		r.err = err
		return r
	}
	request.GetBody = nil
	request.Host = k.host
	h := request.Header
	h.Set("Request-Id", r.id)
	h.Set("Request-Deadline", fmt.Sprint(k.deadline.Milliseconds()))
	h.Set("X-Api-Key", k.key)
	if k.model != "" {
		h.Set("Model", k.model)
		h.Set("Token-Usage", k.tokens)
		h.Set("Prompt-Prefix", k.prefix)
	}
	response, err := c.http.Do(request)
	if err != nil {
		r.err, r.took = err, time.Since(r.sentAt)
		return r
	}
	defer func() { _ = response.Body.Close() }()
	r.status = response.StatusCode
	body, err := io.ReadAll(response.Body)
	r.took, r.err, r.isComplete = time.Since(r.sentAt), err, err == nil
	r.events = strings.Count(string(body), "\n\n")
	return r
}

// waitReady waits until the entry says that it is ready.
func (w *world) waitReady(machine int, timeout time.Duration) bool {
	address := w.address(machine, w.readyPort)
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + address + "/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
