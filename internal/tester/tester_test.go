package tester_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/tester"
)

// Guards against a listed test that decides the verdict, an unlisted failure that doesn't, and a listed test that passes
// without a report. It runs go test on a module of its own.
func TestOnlyUnlistedFailuresDecide(t *testing.T) {
	const red, green = `t.Fatal("broken")`, ``
	for _, c := range []struct {
		name, listed, unlisted, known, report string
		isFailure                             bool
	}{
		{name: "listed test fails", listed: red, unlisted: green, known: "test: TestListed\n", report: "m: TestListed fails as listed"},
		{name: "listed test panics", listed: `panic("broken")`, unlisted: green, known: "test: TestListed\n", report: "m: TestListed fails as listed"},
		{name: "listed test passes", listed: green, unlisted: green, known: "test: TestListed\n", report: "m: TestListed PASSES"},
		{name: "unlisted test fails", listed: red, unlisted: red, known: "test: TestListed\n", report: "failed: m: TestOther\n", isFailure: true},
		{name: "name is a prefix", listed: red, unlisted: red, known: "test: TestOthe\ntest: TestListed\n", report: "TestOthe did not run", isFailure: true},
		{name: "unlisted subtest fails", listed: red, unlisted: `t.Run("TestListed", func(t *testing.T) { t.Fatal("broken") })`,
			known: "test: TestListed\n", report: "failed: m: TestOther\n", isFailure: true},
		{name: "no list", listed: red, unlisted: green, report: "failed: m: TestListed\n", isFailure: true},
		{name: "does not build", listed: `undefined()`, unlisted: green, known: "test: TestListed\n", report: "does not build", isFailure: true},
		{name: "race", listed: green, unlisted: `x, done := 0, make(chan bool); go func() { x++; close(done) }(); x++; <-done`, report: "DATA RACE", isFailure: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			for name, text := range map[string]string{
				"go.mod": "module m\n\ngo 1.24\n", "KNOWN-RED.txt": c.known + "replay: x\n",
				"m_test.go": "package m\n\nimport \"testing\"\n\nfunc TestListed(t *testing.T) { " + c.listed + " }\n" +
					"func TestOther(t *testing.T) { " + c.unlisted + " }\n",
			} {
				assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
			}
			var out bytes.Buffer
			err := tester.Run(t.Context(), tester.Config{Folder: dir, KnownRed: filepath.Join(dir, "KNOWN-RED.txt"), Packages: []string{"./..."}, Out: &out})
			assert.Equal(t, err != nil, c.isFailure, "%v\n%s", err, out.String())
			assert.Assert(t, bytes.Contains(out.Bytes(), []byte(c.report)), out.String())
		})
	}
}
