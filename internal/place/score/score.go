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
	reuse = 0.5
	// Each request beside ours slows decoding a little; this is the share of
	// a request's mean time that a full upstream adds.
	crowding = 0.5
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
		Inflight float64 // requests at the upstream
		Queued   float64 // requests that would be served before ours
		Capacity float64 // requests that it serves at a time
		Mean     float64 // seconds of one request, which its turn costs those behind it
		Service  float64 // seconds from the first token to the end
		PerToken float64 // seconds of prefill for one token
		Missing  int     // tokens of the prompt that it does not hold
		Lost     int     // tokens of these that another upstream holds
		Evicted  int     // tokens that leave its cache for ours
	}
)

// Cost returns the seconds, weighted.
func (w Weights) Cost(c Case) float64 {
	if w.Latency == 0 && w.Cache == 0 {
		w = Weights{Latency: 1, Cache: 1}
	}
	latency := c.Wait() + c.Service + float64(c.Missing)*c.PerToken
	waste := (float64(c.Lost) + reuse*float64(c.Evicted)) * c.PerToken
	return w.Latency*latency + w.Cache*waste
}

// Wait returns the seconds that the request loses to the work of others.
func (c Case) Wait() float64 {
	capacity := max(c.Capacity, 1)
	return c.Mean * (c.Queued + crowding*c.Inflight) / capacity
}
