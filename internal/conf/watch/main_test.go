package watch

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests, so that each run gives the same result. Use
// -rapid.seed for another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("1")
	}
	os.Exit(m.Run())
}
