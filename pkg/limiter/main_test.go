package limiter_test

import (
	"flag"
	"os"
	"testing"
)

// defaultChecks is the number of schedules that each property test tries. With rapid's default of 100, removing a check
// from the loan protocol is detected in fewer than half of the runs.
const defaultChecks = "3000"

func TestMain(m *testing.M) {
	flag.Parse()
	checksSet := false
	flag.Visit(func(f *flag.Flag) { checksSet = checksSet || f.Name == "rapid.checks" })
	if !checksSet {
		if err := flag.Set("rapid.checks", defaultChecks); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
