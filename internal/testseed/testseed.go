// Package testseed runs a package's property-based tests with a fixed seed, so that every run
// tests the same cases and failures are reproducible.
package testseed

import (
	"flag"
	"fmt"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // defines the flags that Main sets
)

const (
	seed = "20261201"
	// actionsPerCase is the average number of actions per case of a state machine test.
	actionsPerCase = "60"
)

// Main runs the tests of a package, with the given number of cases per property, and returns
// the exit code. It is called by TestMain.
func Main(m *testing.M, cases int) int {
	flag.Parse()
	setFlag("rapid.seed", seed)
	setFlag("rapid.checks", strconv.Itoa(cases))
	setFlag("rapid.steps", actionsPerCase)
	setFlag("rapid.nofailfile", "true")
	return m.Run()
}

func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(fmt.Sprintf("set flag %s: %v", name, err))
	}
}
