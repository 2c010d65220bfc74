package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// cases maps the name of each case to its play. A play returns what broke the rule, empty if it held.
var cases = map[string]func(w *world) ([]string, error){
	"foreign": playForeign,
	"limit":   playLimit,
	"refused": playRefused,
	"twice":   playTwice,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases2 CASE PROGRAM FOLDER; the folder gets record.txt")
		os.Exit(2)
	}
	// A reader that closes the output early must not end this process before it has ended the others.
	signal.Ignore(syscall.SIGPIPE)
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, folder string) int {
	record, err := os.Create(folder + "/record.txt")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = record.Close() }()
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = os.RemoveAll(temporary) }()
	w := &world{program: program, folder: temporary, isTrouble: os.Getenv("TROUBLE") != "0", start: time.Now(), store: newStore(), record: record}
	defer w.close()
	if w.port, err = freePort(); err == nil {
		w.storeAddress = w.address("127.0.0.1", portStore)
		err = w.serve(w.storeAddress, w.store.handler())
	}
	if err != nil {
		w.logf("%v", err)
		return 2
	}
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	type result struct {
		broken []string
		err    error
	}
	results := make(chan result, 1)
	w.logf("case %s, TROUBLE=%v", name, w.isTrouble)
	go func() {
		broken, err := cases[name](w)
		results <- result{broken, err}
	}()
	select {
	case r := <-results:
		w.close()
		if r.err != nil {
			w.logf("the case could not run: %v", r.err)
			fmt.Println("could not run:", r.err)
			return 2
		}
		for _, b := range r.broken {
			w.logf("BROKEN: %s", b)
			fmt.Println("broken:", b)
		}
		if len(r.broken) > 0 {
			return 1
		}
		w.logf("the rule held")
		fmt.Println("the rule held")
		return 0
	case <-ends:
		w.logf("ended by a signal")
		return 2
	}
}

// request is one request of a requester.
type request struct {
	entry              *process
	method, path, body string
	id, key            string
	model, tokenUsage  string
	deadline           time.Duration
}

// answer is what the requester got. status is 0 if there was no answer.
type answer struct {
	status     int
	body       string
	signature  string
	retryAfter string
	err        error
}

var requesterClient = &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second}}

func (w *world) send(r request) answer {
	ctx, cancel := context.WithTimeout(context.Background(), r.deadline+500*time.Millisecond)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, r.method, "http://"+w.address(r.entry.ip, portFront)+r.path, strings.NewReader(r.body))
	if err != nil {
		return answer{err: err}
	}
	q.Host = "a.example"
	q.Header.Set("Request-Id", r.id)
	q.Header.Set("X-Api-Key", r.key)
	q.Header.Set("Request-Deadline", fmt.Sprint(r.deadline.Milliseconds()))
	if r.model != "" {
		q.Header.Set("Model", r.model)
	}
	if r.tokenUsage != "" {
		q.Header.Set("Token-Usage", r.tokenUsage)
	}
	w.logf("request %s sent to %s: %s %s model=%s usage=%s", r.id, r.entry.name, r.method, r.path, r.model, r.tokenUsage)
	var a answer
	response, err := requesterClient.Do(q)
	if err == nil {
		var content []byte
		content, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.body = response.StatusCode, string(content)
		a.signature, a.retryAfter = response.Header.Get("Response-Signature"), response.Header.Get("Retry-After")
	}
	a.err = err
	if err != nil && errors.Is(err, context.DeadlineExceeded) {
		a.status = 0
	}
	w.logf("request %s answered: status=%d signature=%s retry-after=%s error=%v", r.id, a.status, a.signature, a.retryAfter, a.err)
	return a
}
