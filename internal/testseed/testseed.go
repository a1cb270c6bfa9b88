// Package testseed runs a package's generated tests with a fixed seed, so that
// they say the same every time.
package testseed

import (
	"flag"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // defines the flags
)

// Main runs the tests with so many generated cases each.
func Main(m *testing.M, checks int) int {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "20261201", "rapid.checks": strconv.Itoa(checks), "rapid.steps": "60", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
