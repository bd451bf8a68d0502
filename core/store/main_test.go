package store

import (
	"os"
	"testing"

	"lycheepond/core/fixed"
)

func TestMain(m *testing.M) { os.Exit(fixed.Run(m, 20261202, 800)) }
