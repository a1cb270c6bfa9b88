package confirmations

import (
	"os"
	"testing"

	"thornnotch/internal/seeded"
)

func TestMain(m *testing.M) { os.Exit(seeded.Main(m, 2000)) }
