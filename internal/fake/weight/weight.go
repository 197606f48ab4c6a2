// Package weight is a stand-in for the platform's weight store, which admits a
// limited number of loads at a time.
package weight

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	defaultLoads = 2
	defaultTime  = 10 * time.Second
)

type (
	// Weights implements plat/weight.Weights. The zero value admits two loads
	// in ten seconds.
	Weights struct {
		Loads int           // at a time
		Time  time.Duration // what one load takes
		Now   func() time.Time

		mu          sync.Mutex
		ends        []time.Time
		unavailable bool
	}
)

var errUnavailable = errors.New("weight store: unavailable")

// Down makes requests fail until it is called with false.
func (w *Weights) SetUnavailable(unavailable bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unavailable = unavailable
}

// Admit implements plat/weight.Weights.
func (w *Weights) Admit(context.Context, string) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unavailable {
		return 0, errUnavailable
	}
	now := w.now()
	for len(w.ends) > 0 && !now.Before(w.ends[0]) {
		w.ends = w.ends[1:]
	}
	if len(w.ends) >= w.loads() {
		return w.ends[0].Sub(now), nil
	}
	w.ends = append(w.ends, now.Add(w.time()))
	return 0, nil
}

func (w *Weights) loads() int {
	if w.Loads <= 0 {
		return defaultLoads
	}
	return w.Loads
}

func (w *Weights) time() time.Duration {
	if w.Time <= 0 {
		return defaultTime
	}
	return w.Time
}

func (w *Weights) now() time.Time {
	if w.Now == nil {
		return time.Now()
	}
	return w.Now()
}
