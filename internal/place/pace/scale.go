package pace

// excessWeight is the weight of one factor in the mean of Scale.
const excessWeight = 0.02

// Scale converts times at upstreams to those that the mean upstream would take, to which the usual
// time of a service over its load is fitted. Fast upstreams run more requests, and a line fitted
// to the times themselves would be flatter than that of any upstream. The scale keeps the mean
// factor at 1: without it, a usual time that is too short would raise all factors, and these would
// make it shorter still. The zero value is ready.
type Scale struct {
	excess float64 // moving average of the factors, less 1
}

// Usual returns the time that the mean upstream would have taken.
func (s *Scale) Usual(took, factor float64) float64 {
	s.excess += excessWeight * (factor - 1 - s.excess)
	return took * (1 + s.excess) / factor
}
