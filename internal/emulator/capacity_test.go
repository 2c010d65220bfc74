package emulator_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/emulator"
	"geraniumladder/internal/storer"
)

// BenchmarkVMList measures the size of the platform's list of VMs and the time to read it over loopback, including the
// time that the emulator takes, for several numbers of VMs.
func BenchmarkVMList(b *testing.B) {
	for _, vms := range []int{9, 93, 750} {
		b.Run(fmt.Sprint("vms=", vms), func(b *testing.B) {
			platform := emulator.NewPlatform(emulator.PlatformConfig{})
			for i := range vms {
				platform.VMList.Register(emulator.RegisteredVM{
					VM: fmt.Sprintf("model-%03d", i), Address: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
					FailureDomain: fmt.Sprint("domain-", i%5), Role: "sidecar", State: "live",
				})
			}
			server := httptest.NewServer(platform.Handler())
			defer server.Close()
			client := storer.NewClient(storer.ClientConfig{URL: server.URL})
			defer client.Close()
			b.ReportAllocs()
			for b.Loop() {
				list, err := client.ListVMs(context.Background())
				assert.NilError(b, err)
				assert.Equal(b, len(list), vms)
			}
			resp, err := http.Get(server.URL + "/vms")
			assert.NilError(b, err)
			text, err := io.ReadAll(resp.Body)
			assert.NilError(b, err)
			assert.NilError(b, resp.Body.Close())
			b.ReportMetric(float64(len(text)), "listB")
		})
	}
}
