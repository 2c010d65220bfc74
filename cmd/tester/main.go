// Command tester runs all tests of the module with the race detector. A test that KNOWN-RED.txt lists runs apart and does
// not decide the verdict.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"geraniumladder/internal/tester"
)

func main() {
	packages := os.Args[1:]
	if len(packages) == 0 {
		packages = []string{"./..."}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	err := tester.Run(ctx, tester.Config{Folder: ".", KnownRed: "KNOWN-RED.txt", Packages: packages, Out: os.Stdout})
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "tester: "+err.Error())
		os.Exit(1)
	}
}
