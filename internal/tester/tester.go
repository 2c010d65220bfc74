// Package tester runs the tests of the module and decides whether they pass. The tests that KNOWN-RED.txt lists run apart
// from the others: their results are printed and don't decide.
package tester

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Config configures Run.
type Config struct {
	// Folder is the folder in which go test runs.
	Folder string
	// KnownRed is the path of the list of tests that fail for a recorded fault. The file may be missing.
	KnownRed string
	// Packages are the patterns of the packages to test.
	Packages []string
	Out      io.Writer
}

// Run runs the tests and prints their results. It returns an error if a test fails that is not listed.
func Run(ctx context.Context, c Config) error {
	list, err := os.ReadFile(c.KnownRed)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "read the list of known red tests")
	}
	listed := ParseKnownRed(string(list))
	if len(listed) == 0 {
		tests, err := c.goTest(ctx)
		return Judge(listed, tests, Results{}).print(c.Out, err)
	}
	pattern := "^(" + strings.Join(listed, "|") + ")$"
	tests, err := c.goTest(ctx, "-skip", pattern)
	if _, printErr := fmt.Fprintln(c.Out, "\n== known red tests (these do not decide the verdict)"); printErr != nil {
		return errors.Wrap(printErr, "print the results")
	}
	apart, apartErr := c.goTest(ctx, "-run", pattern)
	if apartErr != nil && !errors.HasType(apartErr, (*exec.ExitError)(nil)) {
		return apartErr
	}
	return Judge(listed, tests, apart).print(c.Out, err)
}

// goTest runs go test with the race detector. Its error is an exec.ExitError if a test failed.
func (c Config) goTest(ctx context.Context, flags ...string) (Results, error) {
	command := exec.CommandContext(ctx, "go", slices.Concat([]string{"test", "-json", "-race", "-count=1"}, flags, c.Packages)...)
	output, err := command.StdoutPipe()
	if err != nil {
		return Results{}, errors.Wrap(err, "run go test")
	}
	command.Dir, command.Stderr = c.Folder, command.Stdout
	if err := command.Start(); err != nil {
		return Results{}, errors.Wrap(err, "run go test")
	}
	results, readErr := Read(output, c.Out)
	if readErr != nil {
		// go test would otherwise block on a pipe that nobody reads.
		_ = command.Process.Kill()
	}
	err = command.Wait()
	if readErr != nil {
		return results, readErr
	}
	return results, errors.Wrap(err, "go test")
}

// ParseKnownRed returns the names of the tests in a list of known red entries: those of the lines "test: NAME".
func ParseKnownRed(list string) []string {
	var names []string
	for line := range strings.Lines(list) {
		if name, ok := strings.CutPrefix(line, "test:"); ok {
			names = append(names, strings.TrimSpace(name))
		}
	}
	return names
}
