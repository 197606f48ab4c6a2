package owners

import "testing"

// BenchmarkOf finds the fronts of a request among those of a large fleet.
func BenchmarkOf(b *testing.B) {
	var table Table
	list := fronts(866)
	for key := uint64(0); b.Loop(); key++ {
		table.Of(start, list, key)
	}
}
