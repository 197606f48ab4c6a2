// Package brkr is the circuit breaker of one upstream.
//
// A breaker opens after Threshold failures in a row and then lets nothing
// through. After a pause it lets one request through as a probe. A success
// closes it; a failure opens it again for twice as long. Several owners hold a
// breaker each, so their pauses are spread by a random share.
package brkr

import "time"

const (
	// Threshold is the number of failures in a row that opens a breaker.
	Threshold = 3

	firstPause = time.Second
	maxPause   = 30 * time.Second
	// A probe whose end is never reported must not keep the breaker shut.
	probeTimeout = time.Minute
)

type (
	// Breaker is closed as a zero value.
	Breaker struct {
		failures int
		pause    time.Duration
		until    time.Time // open until then
		probe    time.Time // since when a probe is under way
	}
)

// Allow reports whether a request may be sent now. It changes nothing.
func (b *Breaker) Allow(now time.Time) bool {
	if b.pause == 0 {
		return true
	}
	probing := !b.probe.IsZero() && now.Sub(b.probe) < probeTimeout
	return !probing && !now.Before(b.until)
}

// Sent notes that a request was sent. While the breaker is not closed that
// request is the probe.
func (b *Breaker) Sent(now time.Time) {
	if b.pause > 0 {
		b.probe = now
	}
}

// Succeed closes the breaker.
func (b *Breaker) Succeed() { *b = Breaker{} }

// Abandon notes that a request ended without telling anything about the
// upstream; a probe may then be sent again.
func (b *Breaker) Abandon() { b.probe = time.Time{} }

// Fail counts a failure. The share, from 0 to 1, lengthens the pause by up to
// half. A request sent before the breaker opened may fail later; it must not
// lengthen the pause, or a burst of old failures would keep a mended upstream
// out for the longest pause.
func (b *Breaker) Fail(now time.Time, share float64) {
	b.failures++
	if b.failures < Threshold {
		return
	}
	if b.pause > 0 && now.Before(b.until) {
		return
	}
	b.probe = time.Time{}
	b.pause = min(max(2*b.pause, firstPause), maxPause)
	b.until = now.Add(b.pause + time.Duration(share*float64(b.pause)/2))
}

// Wait returns how long the breaker stays open, 0 if requests may be sent.
func (b *Breaker) Wait(now time.Time) time.Duration {
	if b.pause == 0 {
		return 0
	}
	return max(0, b.until.Sub(now))
}
