package trcrec

import (
	"slices"
	"time"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
)

const (
	// What is assumed of an engine that gave too few answers to tell.
	defaultPrefill = 5000 // tokens a second
	defaultDecode  = 20   // milliseconds a token

	minAnswers  = 4    // answers from which speeds are told
	maxOpenEnds = 1024 // attempts by which the most at a time is found
)

type (
	// learnt is what attempts told of one upstream: the sums of a least-squares
	// fit of an attempt's time to its uncached prompt and its output.
	upstreamStats struct {
		n                  int
		xx, xy, yy, xt, yt float64
		maxConcurrent      int
		cacheTokens        int
		openEnds           []time.Time // ends of attempts that may overlap
	}
)

// attempt takes one attempt in. Only the one that gave the answer tells speeds.
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

// speeds returns prefilled tokens a second and milliseconds for a generated
// token.
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
