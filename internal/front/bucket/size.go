package bucket

import (
	"math"
	"time"
)

const (
	// sizesPerProgram is the number of units in which the sizes of programs are counted and
	// reported: sums of whole numbers are exchanged.
	sizesPerProgram = 10
	// minSize and maxSize bound the size of a program. The time that a program is given says only
	// roughly how many requests it has.
	minSize, maxSize = 0.1, 3.0
	// lengthWeight is the weight of one program in the mean length of its account's programs.
	lengthWeight = 0.05
)

// Size returns the size of a new program, as a multiple of the mean of its account, by the time
// that it is given from start to end, 0 if that is unknown. In a flood a short program thus needs less
// of the limit than a long one, and more of them are served whole.
func (r *Buckets) Size(name string, length time.Duration) float64 {
	a := r.accounts[name]
	if a == nil || length <= 0 {
		return 1
	}
	if a.length == 0 {
		a.length = length.Seconds()
	}
	a.length += lengthWeight * (length.Seconds() - a.length)
	return min(max(length.Seconds()/a.length, minSize), maxSize)
}

func sizeUnits(size float64) int { return int(math.Round(sizesPerProgram * size)) }
