package brkr

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// An upstream fails, recovers, or fails again when it is probed. A breaker that
// stays open too long costs capacity; one that allows all requests at once sends a
// burst of them to an upstream that is still down.
func TestBreaker(t *testing.T) {
	open := func(b *Breaker) {
		for range Threshold {
			b.Fail(epoch, 0)
		}
	}
	tests := map[string]struct {
		do   func(b *Breaker)
		at   time.Duration
		want bool
	}{
		"new":                     {func(*Breaker) {}, 0, true},
		"below the threshold":     {func(b *Breaker) { b.Fail(epoch, 0); b.Fail(epoch, 0) }, 0, true},
		"a success between":       {func(b *Breaker) { b.Fail(epoch, 0); b.Fail(epoch, 0); b.Succeed(); b.Fail(epoch, 0) }, 0, true},
		"open":                    {open, firstPause - 1, false},
		"half-open":               {open, firstPause, true},
		"longer by its share":     {func(b *Breaker) { b.Fail(epoch, 0); b.Fail(epoch, 0); b.Fail(epoch, 1) }, firstPause * 5 / 4, false},
		"late failures":           {func(b *Breaker) { open(b); open(b) }, firstPause, true},
		"one probe at a time":     {func(b *Breaker) { open(b); b.Sent(epoch.Add(firstPause)) }, 2 * firstPause, false},
		"probe never ends":        {func(b *Breaker) { open(b); b.Sent(epoch.Add(firstPause)) }, firstPause + probeTimeout, true},
		"probe withdrawn":         {func(b *Breaker) { open(b); b.Sent(epoch); b.Abandon() }, firstPause, true},
		"probe succeeds":          {func(b *Breaker) { open(b); b.Sent(epoch.Add(firstPause)); b.Succeed() }, firstPause, true},
		"probe fails":             {func(b *Breaker) { open(b); b.Fail(epoch.Add(firstPause), 0) }, 3*firstPause - 1, false},
		"probe fails, pause over": {func(b *Breaker) { open(b); b.Fail(epoch.Add(firstPause), 0) }, 3 * firstPause, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var b Breaker
			tt.do(&b)
			is.Equal(b.Allow(epoch.Add(tt.at)), tt.want)
		})
	}
}
