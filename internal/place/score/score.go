// Package score computes the cost of sending one request to one upstream.
//
// All parts are in seconds. Latency is the time in the queue, the prefill of
// uncached tokens, the service time, the slowdown of other requests and the
// program's later calls. Waste is the prefill that is repeated because the
// request evicts cached tokens or leaves its own unused elsewhere. Both have a
// configured weight. The upstream with the lowest cost is chosen: a program stays
// where its cache saves more than the queue costs, and moves otherwise.
package score

const (
	// Assumed fraction of the evicted tokens that will be needed again; the rest
	// belong to programs that have ended.
	reuse    = 0.5
	moveCost = 0.4 // seconds, before weighting
	// Fraction of the Shared tokens whose prefill is not counted as this request's
	// latency, since other programs will use them too.
	sharedCredit = 0.9
)

type (
	// Weights are the weights of a second of latency and of a second of wasted
	// prefill. The zero value weighs both as 1.
	Weights struct {
		Latency float64
		Cache   float64
	}

	// Candidate is one upstream with the estimates for sending one request there.
	Candidate struct {
		Queued      float64 // requests queued before this one
		Capacity    float64 // concurrent requests that the upstream serves
		Mean        float64 // mean seconds of one request
		ServiceTime float64 // seconds of the request after its prefill, at the upstream's load
		Slowdown    float64 // seconds that this request adds to the others in flight there, in total
		LaterCalls  float64 // seconds of the program's later calls, if it stays there
		PerToken    float64 // seconds of prefill per token
		Missing     int     // tokens of the prompt that are not cached there
		Shared      float64 // part of Missing charged to other programs that use the same blocks
		Lost        float64 // tokens cached at another upstream but not here, less the share of other programs
		Evicted     int     // cached tokens that the request evicts
	}
)

// Cost returns the weighted cost in seconds.
func (w Weights) Cost(c Candidate) float64 {
	if w.Latency == 0 && w.Cache == 0 {
		w = Weights{Latency: 1, Cache: 1}
	}
	latency := c.Wait() + c.ServiceTime + c.Slowdown + c.LaterCalls + (float64(c.Missing)-sharedCredit*c.Shared)*c.PerToken
	waste := (c.Lost + reuse*float64(c.Evicted)) * c.PerToken
	return w.Latency*latency + w.Cache*waste
}

// MoveThreshold returns the weighted seconds by which another upstream must be
// cheaper than the program's current one. Estimates are noisy: without a threshold
// the lowest of several would nearly always be below that of the current one. The
// threshold is weighted as latency, with a weight of at least 1.
func (w Weights) MoveThreshold() float64 { return moveCost * max(w.Latency, 1) }

// Wait returns the seconds that the request spends in the queue.
func (c Candidate) Wait() float64 { return c.Mean * c.Queued / max(c.Capacity, 1) }
