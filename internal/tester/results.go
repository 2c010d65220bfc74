package tester

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Test is a top-level test. Name is empty for the package as a whole.
type Test struct{ Package, Name string }

// Results holds the last action that go test reported of each test and package, for example "pass" or "fail". A test that
// never ended keeps "run".
type Results map[Test]string

// event is a line of go test -json, as documented by go doc test2json.
type event struct {
	Action, Package, Test, Output string
}

// Read reads the output of go test -json. It prints the result of each package and the output of the tests that fail or
// never end.
func Read(r io.Reader, out io.Writer) (Results, error) {
	results, held := Results{}, map[Test]string{}
	lines := bufio.NewReader(r)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil && !errors.Is(err, io.EOF) {
			return results, errors.Wrap(err, "read the output of go test")
		}
		var e event
		if json.Unmarshal(line, &e) != nil {
			// A message of the go command.
			e = event{Action: "output", Output: string(line)}
		}
		if _, printErr := io.WriteString(out, results.record(held, e)); printErr != nil {
			return results, errors.Wrap(printErr, "print the results")
		}
		if errors.Is(err, io.EOF) {
			return results, nil
		}
	}
}

// record records an event and returns what is to be printed. held is the output of the tests that have not ended.
func (r Results) record(held map[Test]string, e event) string {
	name, _, isSubtest := strings.Cut(e.Test, "/")
	test := Test{Package: e.Package, Name: name}
	switch e.Action {
	case "build-output":
		return e.Output
	case "output":
		switch {
		case name != "":
			if !strings.HasPrefix(e.Output, "=== ") {
				held[test] += e.Output
			}
			return ""
		case e.Output == "PASS\n" || strings.Contains(e.Output, "no tests to run"):
			return ""
		}
		return e.Output
	case "run":
		if !isSubtest {
			r[test] = e.Action
		}
	case "pass", "fail", "skip":
		if isSubtest {
			return ""
		}
		r[test] = e.Action
		text := held[test]
		delete(held, test)
		switch {
		case e.Action != "fail":
			return ""
		case name != "":
			return text
		}
		for unfinished, output := range held {
			if unfinished.Package == e.Package {
				text += output
				delete(held, unfinished)
			}
		}
		return text
	}
	return ""
}

// Verdict is the result of a run of all tests.
type Verdict struct {
	// Failures are the failures that decide the verdict, which passes if there are none.
	Failures []string
	// KnownRed says for each listed test how it ended.
	KnownRed []string
}

// Judge decides from the results of the tests without those listed, and from those of the listed tests, which ran apart.
func Judge(listed []string, tests, apart Results) Verdict {
	var v Verdict
	hasFailedTest := map[string]bool{}
	for _, results := range []Results{tests, apart} {
		for t, action := range results {
			if t.Name != "" && (action == "fail" || action == "run") && !slices.Contains(listed, t.Name) {
				hasFailedTest[t.Package] = true
				v.Failures = append(v.Failures, t.Package+": "+t.Name)
			}
		}
	}
	for t, action := range tests {
		if t.Name == "" && action == "fail" && !hasFailedTest[t.Package] {
			v.Failures = append(v.Failures, t.Package+": the package does not build, or failed outside its tests")
		}
	}
	slices.Sort(v.Failures)
	for _, name := range listed {
		v.KnownRed = append(v.KnownRed, apart.describe(name)...)
	}
	return v
}

// describe says in each package how a listed test ended.
func (r Results) describe(name string) []string {
	var lines []string
	for t, action := range r {
		switch {
		case t.Name != name:
		case action == "pass":
			lines = append(lines, fmt.Sprintf("%s: %s PASSES; remove it from KNOWN-RED.txt", t.Package, name))
		case action == "skip":
			lines = append(lines, fmt.Sprintf("%s: %s was skipped", t.Package, name))
		default:
			lines = append(lines, fmt.Sprintf("%s: %s fails as listed", t.Package, name))
		}
	}
	if len(lines) == 0 {
		return []string{name + " did not run; correct its name in KNOWN-RED.txt"}
	}
	slices.Sort(lines)
	return lines
}

// print prints the verdict. It returns an error if the verdict, or the error of go test without the listed tests, is a
// failure.
func (v Verdict) print(out io.Writer, goTestErr error) error {
	var text strings.Builder
	for _, line := range v.KnownRed {
		text.WriteString("known red: " + line + "\n")
	}
	for _, line := range v.Failures {
		text.WriteString("failed: " + line + "\n")
	}
	if _, err := io.WriteString(out, text.String()); err != nil {
		return errors.Wrap(err, "print the verdict")
	}
	if len(v.Failures) > 0 {
		return errors.Newf("%d failures", len(v.Failures))
	}
	return goTestErr
}
