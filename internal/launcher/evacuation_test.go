package launcher_test

import (
	"context"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"geraniumladder/internal/authenticator"
	"geraniumladder/internal/emulator"
	"geraniumladder/internal/inspector"
	"geraniumladder/internal/launcher"
	"geraniumladder/internal/operator"
)

// evacuate runs the operators' command, which returns once all entries apply the order.
func (f *fleet) evacuate(args ...string) {
	f.t.Helper()
	f.t.Setenv("GERANIUMLADDER_SECRET", strings.Repeat("demo", authenticator.MinSecretBytes))
	c := operator.Config{InForce: inspector.NewInForceChecker}
	root := &cli.Command{Name: "geraniumladder", Flags: operator.Flags(), Commands: c.Commands(), Writer: io.Discard, ErrWriter: io.Discard,
		ExitErrHandler: func(context.Context, *cli.Command, error) {}}
	assert.NilError(f.t, root.Run(f.t.Context(), append([]string{"geraniumladder", "--platform", f.announcement.Platform, "evacuate"}, args...)))
}

// Guards against requests that reach an endpoint in an evacuated failure domain through any entry, against a stream there
// that the order breaks off, against requests held although no endpoint is left, and against an evacuation without end.
func TestEvacuatedDomainGetsNoRequests(t *testing.T) {
	f := startFleet(t)
	const tokens = 400
	send := func(entry string) (*http.Response, string) {
		return f.do("POST", entry+"/v1/completions", f.announcement.Keys["accra"], "", completionRequest(f.announcement.Routes.Model["accra"], "short", 2, false))
	}
	f.eventually("a request is admitted", func() bool {
		resp, _ := send(f.announcement.Entries[0])
		return resp.StatusCode == http.StatusOK
	})
	resp := f.send("POST", f.announcement.Entries[0]+"/v1/completions", f.announcement.Keys["accra"], "", completionRequest(f.announcement.Routes.Model["accra"], "draft", tokens, true))
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	domains := []string{"domain-a", "domain-b", "domain-c"}
	evacuated, before := -1, emulator.EngineStats{}
	text, complete, errorCode := readStream(t, resp.Body, func(count int) {
		if count != 5 {
			return
		}
		for i, engine := range f.Engines() {
			if len(engine.Resident()) > 0 {
				evacuated, before = i, engine.Stats()
			}
		}
		f.evacuate(domains[evacuated%len(domains)])
		for _, entry := range f.announcement.Entries {
			for range 4 {
				resp, body := send(entry)
				assert.Equal(t, resp.StatusCode, http.StatusOK, body)
			}
		}
	})
	assert.Check(t, complete, errorCode)
	assert.Equal(t, text, emulator.GenerateText("accra-drafts@v1", "draft", tokens))
	assert.Equal(t, f.Engines()[evacuated].Stats().Requests, before.Requests)
	for i, domain := range domains {
		if i != evacuated%len(domains) {
			f.evacuate(domain)
		}
	}
	resp, body := send(f.announcement.Entries[1])
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(body, `"evacuated"`), body)
	for _, domain := range domains {
		f.evacuate("--undo", domain)
	}
	f.eventually("requests are served again", func() bool {
		resp, _ := send(f.announcement.Entries[2])
		return resp.StatusCode == http.StatusOK
	})
}

// Guards against a request that waits on for the load of an adapter in an evacuated failure domain.
func TestEvacuationEndsTheWaitForALoad(t *testing.T) {
	// The weight store allows no load during the test.
	f := startFleetWith(t, launcher.DemoConfig{Fleet: launcher.FleetConfig{LoadRate: 0.001, Domains: []string{"domain-a"}}})
	end := make(chan string, 1)
	go func() {
		for {
			resp, body := f.do("POST", f.announcement.Entries[0]+"/v1/completions", f.announcement.Keys["accra"], "", completionRequest(f.announcement.Routes.Model["accra"], "x", 2, false))
			if resp.StatusCode != http.StatusTooManyRequests {
				end <- body
				return
			}
		}
	}()
	metrics := func() string {
		_, text := f.do("GET", "http://"+f.Entries()[0].Address()+"/metrics", "", "", nil)
		return text
	}
	f.eventually("the request waits for a load", func() bool { return strings.Contains(metrics(), "geraniumladder_load_stalls_total{") })
	f.evacuate("domain-a")
	assert.Assert(t, regexp.MustCompile(`(?m)^geraniumladder_evacuated_domains\{.*\} 1$`).MatchString(metrics()))
	f.eventually("the request is rejected", func() bool { return len(end) > 0 })
	assert.Assert(t, strings.Contains(<-end, `"evacuated"`))
}
