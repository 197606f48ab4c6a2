package pick

import "math/rand/v2"

// jitter returns a random share. Tests may fix it.
var jitter = rand.Float64
