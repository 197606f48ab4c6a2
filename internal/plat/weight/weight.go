// Package weight defines the interface to the platform's weight store, from which
// engines load models and adapters. The store admits a limited number of loads at a
// time, so the orders to load a model are spaced by the waits that Admit returns.
package weight

import (
	"context"
	"time"
)

type (
	// Weights admits loads from the weight store.
	Weights interface {
		// Admit requests a load of the model. It returns zero if the load may
		// start now, otherwise how long to wait before the next request.
		Admit(ctx context.Context, model string) (time.Duration, error)
	}
)
