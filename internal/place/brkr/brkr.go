// Package brkr is the circuit breaker of one upstream.
//
// A breaker opens after Threshold consecutive failures and then allows no
// requests. After a pause it is half-open and allows one request as a probe. A
// success closes it; a failure opens it again for twice as long. Each owner has a
// breaker of its own, so the pauses are lengthened by a random share to avoid
// simultaneous probes.
package brkr

import "time"

const (
	// Threshold is the number of consecutive failures that opens a breaker.
	Threshold = 3

	firstPause = time.Second
	maxPause   = 30 * time.Second
	// A probe whose end is never reported must not keep the breaker open.
	probeTimeout = time.Minute
)

type (
	// Breaker is a circuit breaker. The zero value is closed.
	Breaker struct {
		failures int
		pause    time.Duration
		until    time.Time // open until then
		probe    time.Time // start of the probe in flight
	}
)

// Allow reports whether a request may be sent now. It does not change the state.
func (b *Breaker) Allow(now time.Time) bool {
	if b.pause == 0 {
		return true
	}
	probing := !b.probe.IsZero() && now.Sub(b.probe) < probeTimeout
	return !probing && !now.Before(b.until)
}

// Sent records that a request was sent. Unless the breaker is closed, that
// request is the probe.
func (b *Breaker) Sent(now time.Time) {
	if b.pause > 0 {
		b.probe = now
	}
}

// Succeed closes the breaker.
func (b *Breaker) Succeed() { *b = Breaker{} }

// Abandon records that a request ended without a result for the breaker, such as
// by cancellation; another probe may then be sent.
func (b *Breaker) Abandon() { b.probe = time.Time{} }

// Fail records a failure. A random share from 0 to 1 lengthens the pause by up to
// half. A request sent before the breaker opened may fail during the pause; it must
// not lengthen the pause, or a burst of old failures would exclude a recovered
// upstream for maxPause.
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

// Wait returns how long the breaker stays open, 0 if it is closed or half-open.
func (b *Breaker) Wait(now time.Time) time.Duration {
	if b.pause == 0 {
		return 0
	}
	return max(0, b.until.Sub(now))
}
