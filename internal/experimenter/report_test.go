package experimenter_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	"geraniumladder/internal/experimenter"
)

// Guards against a table in which a missed target looks like one that is met.
func TestWriteMarkdown(t *testing.T) {
	var b bytes.Buffer
	r := experimenter.Report{Sections: []experimenter.Section{{Heading: "accra", Table: experimenter.Table{Header: []string{"A", "B"}, Rows: [][]string{{"1", "2"}}}}},
		Targets: []experimenter.Target{{Name: "x", Figure: "3", Met: true}, {Name: "y", Figure: "4"}}}
	assert.NilError(t, r.WriteMarkdown(&b, "title"))
	assert.Equal(t, b.String(), "# title\n\n## accra\n\n| A | B |\n|---|---|\n| 1 | 2 |\n\n## Against the targets\n\n"+
		"| Target | Figure | Result |\n|---|---|---|\n| x | 3 | met |\n| y | 4 | **missed** |\n")
}

// Guards against charts that fail on a zero value on a logarithmic axis or on a missing value, and against a missing
// value that is drawn like zero.
func TestChartWrite(t *testing.T) {
	chart := experimenter.Chart{Name: "n", Title: "t", Groups: []string{"a", "b"}, Series: []string{"first", "second"},
		Values: [][]float64{{0, 10}, {-1, 100}}, Log: true, Floor: 0.1, Target: 1}
	for format, start := range map[string]string{"svg": "<?xml", "png": "\x89PNG"} {
		path := filepath.Join(t.TempDir(), "chart."+format)
		assert.NilError(t, chart.Write(path))
		written, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(string(written), start))
		drawn := chart
		drawn.Values = [][]float64{{0, 10}, {0, 100}}
		assert.NilError(t, drawn.Write(path))
		other, err := os.ReadFile(path)
		assert.NilError(t, err)
		assert.Assert(t, string(other) != string(written), "a missing value is drawn like zero")
	}
}

// Guards against a command that accepts invalid arguments and starts a long measurement that was not requested.
func TestCommands(t *testing.T) {
	run := func(args ...string) (string, error) {
		var b bytes.Buffer
		root := &cli.Command{Name: "geraniumladder", Commands: experimenter.Commands(), Writer: &b, ErrWriter: &b}
		err := root.Run(t.Context(), append([]string{"geraniumladder", "experiment"}, args...))
		return b.String(), err
	}
	list, err := run("list")
	assert.NilError(t, err)
	for _, name := range []string{"limits", "placement", "fairness", "pacing"} {
		assert.Assert(t, strings.Contains(list, name))
	}
	_, err = run("limits", "--user", "lautoka", "--out", t.TempDir())
	assert.ErrorContains(t, err, "use --user vunidawa, accra or both")
	_, err = run("limits", "--seeds", "0", "--out", t.TempDir())
	assert.ErrorContains(t, err, "use --seeds with 1 or more")
	_, err = run("unknown")
	assert.ErrorContains(t, err, "experiment list")
}
