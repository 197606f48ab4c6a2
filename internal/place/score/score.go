// Package score weighs what it costs to send one request to one upstream.
//
// The cost has three parts, all in seconds: the wait before the request is
// served, the prefill of what the upstream does not hold, and the rebuilding
// of what the request pushes out of its cache or leaves unused elsewhere. The
// deployment's weights say what a second of each is worth. The lowest cost
// wins: a program stays where its cache is worth more than the queue costs and
// moves where it is not.
package score

const (
	// An evicted block is needed again only if its program goes on.
	reuse    = 0.5
	moveCost = 0.4
	// How much of the prefill of a shared context is counted as done for the programs that will share it.
	sharedCredit = 0.9
)

type (
	// Weights are the worth of a second of program latency and of a second
	// of prefill that waste costs. The zero value weighs both as one.
	Weights struct {
		Latency float64
		Cache   float64
	}

	// Case is one request before one upstream.
	Case struct {
		Queued     float64 // requests that would be served before ours
		Capacity   float64 // requests that the upstream serves at a time
		Mean       float64 // seconds of one request, which its turn costs those behind it
		Service    float64 // seconds from the first token to the end, at its load
		Slowdown   float64 // seconds that ours adds to those under way there
		LaterCalls float64 // seconds of the program's calls to come, if it stays
		PerToken   float64 // seconds of prefill for one token
		Missing    int     // tokens of the prompt that it does not hold
		Shared     float64 // tokens of these that others pay for by sharing them
		Lost       float64 // tokens of these that are rebuilt for this request alone
		Evicted    int     // tokens that leave its cache for ours
	}
)

// Cost returns the seconds, weighted.
func (w Weights) Cost(c Case) float64 {
	if w.Latency == 0 && w.Cache == 0 {
		w = Weights{Latency: 1, Cache: 1}
	}
	latency := c.Wait() + c.Service + c.Slowdown + c.LaterCalls + (float64(c.Missing)-sharedCredit*c.Shared)*c.PerToken
	waste := (c.Lost + reuse*float64(c.Evicted)) * c.PerToken
	return w.Latency*latency + w.Cache*waste
}

// Move returns the seconds, weighted, by which another upstream must be better
// than the one where a program lives. Estimates are noisy; without a threshold
// the best of several noisy ones would nearly always look better than home.
func (w Weights) MoveThreshold() float64 { return moveCost * max(w.Latency, 1) }

// Wait returns the seconds before the request is served.
func (c Case) Wait() float64 { return c.Mean * c.Queued / max(c.Capacity, 1) }
