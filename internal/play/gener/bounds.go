package gener

// bounds are the stated latencies and wasted tokens of each scenario at seed
// 1, a tenth above what docs/POLICY.md reports as measured.
var bounds = map[string][]struct {
	measure string
	most    float64
}{}
