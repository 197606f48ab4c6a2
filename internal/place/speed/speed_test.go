package speed

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestPrefillTracksLowEnd(t *testing.T) {
	is := is.New(t)
	var s Speed
	for i := range 1000 {
		took := time.Second // 1 ms per token
		if i%2 == 0 {
			took = 5 * time.Second // queued
		}
		s.ObservePrefill(took, 1000)
		s.ObservePrefill(time.Minute, minPrefill-1) // too few tokens, ignored
	}
	is.True(s.PerToken() > 0.0009 && s.PerToken() < 0.0015)
}

// An upstream was slow once and gets no requests because of it. Unless old
// measurements lose weight, it would never be used again.
func TestOldSpeedLosesWeight(t *testing.T) {
	is := is.New(t)
	var u, group Speed
	for range 100 {
		u.ObserveCall(epoch, 10*time.Second)
		group.ObserveCall(epoch, time.Second)
	}
	now, later := u.Blend(epoch, &group), u.Blend(epoch.Add(30*halfWeightAge), &group)
	is.True(now.Mean() > 9.9)
	is.True(later.Mean() < 1.5)
	var unknown Speed
	as := unknown.Blend(epoch, &group)
	is.True(math.Abs(as.Mean()-1) < 1e-9)
}
