// Package weight describes the platform's weight store, from which engines
// load models and adapters. It admits a limited number of loads at a time, so
// orders to load are spaced by what Admit says.
package weight

import (
	"context"
	"time"
)

type (
	// Weights admits loads from the weight store.
	Weights interface {
		// Admit asks to load the model. It returns zero if the load may
		// start now, otherwise how long to wait before asking again.
		Admit(ctx context.Context, model string) (time.Duration, error)
	}
)
