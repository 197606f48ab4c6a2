package trcrec

import (
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
)

const (
	// Speeds of an engine with too few answers for an estimate.
	defaultPrefill = 5000 // tokens per second
	defaultDecode  = 20   // milliseconds per token

	minAnswers  = 4    // needed to estimate speeds
	maxOpenEnds = 1024 // maximum length of openEnds, and therefore of maxConcurrent
)

type (
	// upstreamStats accumulates the attempts at one upstream: the sums of a
	// least-squares fit of an attempt's duration t (seconds) to its uncached
	// prompt tokens x and output tokens y, and the highest concurrency.
	upstreamStats struct {
		n                  int
		xx, xy, yy, xt, yt float64
		maxConcurrent      int
		cacheTokens        int
		openEnds           []time.Time // ends of attempts that may overlap the next one
	}
)

// addAttempt adds one attempt. Only an attempt that answered a model call counts
// towards the speeds.
func (l *upstreamStats) addAttempt(a hist.Try, c hist.Call, answered bool) {
	l.openEnds = slices.DeleteFunc(l.openEnds, func(end time.Time) bool { return !end.After(a.Start) })
	if len(l.openEnds) < maxOpenEnds {
		l.openEnds = append(l.openEnds, a.End)
	}
	l.maxConcurrent = max(l.maxConcurrent, len(l.openEnds))
	if !answered || c.Kind != call.Model {
		return
	}
	x := float64(c.Result.Prompt - c.Result.Cached)
	y := float64(c.Result.Output)
	t := a.End.Sub(a.Start).Seconds()
	l.n++
	l.xx += x * x
	l.xy += x * y
	l.yy += y * y
	l.xt += x * t
	l.yt += y * t
}

// speeds returns the estimated prefill speed in tokens per second and the time
// per output token in milliseconds.
func (l *upstreamStats) speeds() (prefill, decode float64) {
	det := l.xx*l.yy - l.xy*l.xy
	if l.n < minAnswers || det <= 0 {
		return defaultPrefill, defaultDecode
	}
	perPrompt := (l.xt*l.yy - l.yt*l.xy) / det
	perOutput := (l.yt*l.xx - l.xt*l.xy) / det
	prefill, decode = defaultPrefill, defaultDecode
	if perPrompt > 0 {
		prefill = 1 / perPrompt
	}
	if perOutput > 0 {
		decode = perOutput * float64(time.Second/time.Millisecond)
	}
	return prefill, decode
}
