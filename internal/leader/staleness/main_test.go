package staleness

import (
	"os"
	"testing"

	"thornnotch/internal/testseed"
)

func TestMain(m *testing.M) { os.Exit(testseed.Main(m, 1000)) }
