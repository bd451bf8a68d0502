package homes

import (
	"os"
	"testing"

	"lycheepond/core/fixed"
)

func TestMain(m *testing.M) { os.Exit(fixed.Run(m, fixed.Seed, 1500)) }
