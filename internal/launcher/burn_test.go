package launcher_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/reporter"
	"geraniumladder/internal/storer"
)

// Guards against entries that do not record their requests, and against a graceful shutdown that loses the last of
// them.
func TestBurnReportCountsRequestsUntilShutdown(t *testing.T) {
	f := startFleet(t)
	for _, entry := range f.announcement.Entries {
		resp, text := f.do("POST", entry+"/v1/completions", f.announcement.Keys["accra"], "", completionRequest(f.announcement.Routes.Model["accra"], "hello", 3, false))
		assert.Equal(t, resp.StatusCode, http.StatusOK, text)
	}
	f.shutdown()
	err := <-f.runErr
	f.runErr <- err
	assert.NilError(t, err)

	platform := httptest.NewServer(f.Platform().Handler())
	defer platform.Close()
	client := storer.NewClient(storer.ClientConfig{URL: platform.URL})
	defer client.Close()
	report, err := reporter.ReadReport(context.Background(), client, time.Now())
	assert.NilError(t, err)
	totals := map[string]int64{}
	for _, line := range report.Lines {
		assert.Equal(t, line.Organisation, "accra")
		totals[line.Objective.Name] = line.Windows[3].Total
	}
	n := int64(len(f.announcement.Entries))
	assert.DeepEqual(t, totals, map[string]int64{
		"availability": n, "wrongful-refusals": n, "first-token": n, "between-tokens": 2 * n,
	})
}
