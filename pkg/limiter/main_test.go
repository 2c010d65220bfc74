package limiter_test

import (
	"flag"
	"os"
	"testing"
)

// defaultChecks is the number of schedules of each property test. At rapid's own default of 100 a missing guard of
// the loans is found in fewer than one run in two.
const defaultChecks = "3000"

func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.checks" })
	if !given {
		if err := flag.Set("rapid.checks", defaultChecks); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
