package pick

import "math/rand/v2"

// jitter returns a random number in [0, 1). Tests may replace it.
var jitter = rand.Float64
