package applier_test

import (
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/applier"
	"geraniumladder/internal/emulator"
	"geraniumladder/internal/merger"
	"geraniumladder/internal/storer"
)

// callTimeout is long enough for a call of 5 MB on a slow machine, because the test does not check speed.
const callTimeout = 5 * time.Minute

// Guards against rows, transactions or queries that the real protocols of the table service and object store reject.
func TestApplyOverHTTP(t *testing.T) {
	server := httptest.NewServer(emulator.NewPlatform(emulator.PlatformConfig{}).Handler())
	defer server.Close()
	client := storer.NewClient(storer.ClientConfig{URL: server.URL, Timeout: callTimeout})
	defer client.Close()
	c := applier.Config{Table: client, Objects: client}
	var files []merger.File
	// 5 MB in total, above the limit of 4 MB per transaction.
	for i := range 80 {
		var text strings.Builder
		text.WriteString("Adapters:\n")
		for k := range 20 {
			fmt.Fprintf(&text, "- {Name: a-%d-%d, BaseModel: llama, Versions: [{Version: 1, Path: %s}]}\n", i, k, strings.Repeat("x", 3000))
		}
		files = append(files, merger.File{Name: fmt.Sprintf("%02d.yaml", i), Content: []byte(text.String())})
	}
	result, err := applier.Apply(t.Context(), c, applier.Manifest{}, files, nil)
	assert.NilError(t, err)
	_, err = applier.Apply(t.Context(), c, result.Manifest, []merger.File{organisationFile("o", 5)}, []string{"00.yaml"})
	assert.NilError(t, err)
	m, pulled, err := applier.Pull(t.Context(), c)
	assert.NilError(t, err)
	assert.Assert(t, m.Revision == 2 && len(pulled) == 80)
	f := applier.NewFollower(applier.FollowerConfig{Table: client, Objects: client})
	f.Poll(t.Context())
	items, _ := merger.Parse(pulled)
	assert.Assert(t, f.Current().Number() == 2 && merger.Diff(f.Current().Items(), items).Empty())
}
