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

// Guards against an entry that does not record its requests, and against a planned stop that loses the last ones.
func TestBurnReportHoldsTheRequestsUpToAPlannedStop(t *testing.T) {
	f := startFleet(t)
	for _, entry := range f.at.Entries {
		resp, text := f.do("POST", entry+"/v1/completions", f.at.Keys["accra"], "", completion(f.at.Routes.Model["accra"], "hello", 3, false))
		assert.Equal(t, resp.StatusCode, http.StatusOK, text)
	}
	f.stop()
	err := <-f.ended
	f.ended <- err
	assert.NilError(t, err)

	platform := httptest.NewServer(f.Platform().Handler())
	defer platform.Close()
	client := storer.NewClient(storer.ClientConfig{URL: platform.URL})
	defer client.Close()
	report, err := reporter.Read(context.Background(), client, time.Now())
	assert.NilError(t, err)
	total := map[string]int64{}
	for _, line := range report.Lines {
		assert.Equal(t, line.Organisation, "accra")
		total[line.Objective.Name] = line.Windows[3].Total
	}
	n := int64(len(f.at.Entries))
	assert.DeepEqual(t, total, map[string]int64{
		"availability": n, "wrongful-refusals": n, "first-token": n, "between-tokens": 2 * n,
	})
}
