// Package sheds reports clients that had to give way to others, or were not let in, for want of memory or
// descriptors.
package sheds

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/front/memory"
)

// logInterval is the shortest time between two lines of the log. Crowds lose hundreds of connections a second.
const logInterval = time.Second

// Sheds counts them in metrics, and logs one a second with how many more there were. Set the exported fields before use.
type Sheds struct {
	Log   zerolog.Logger
	Scope tally.Scope

	mu     sync.Mutex
	logged time.Time // when a line was logged last
	more   int       // that were not logged since
}

// Note reports one client; it is memory.Budget.OnShed.
func (s *Sheds) Note(l memory.Loss) {
	what := map[bool]string{true: "shed", false: "refused"}[l.In]
	s.Scope.Tagged(map[string]string{"what": what, "room": l.Kind.String(), "stage": l.Stage.String()}).Counter("clients_shed").Inc(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.logged) < logInterval {
		s.more++
		return
	}
	s.Log.Warn().Str("client", l.Name).Str("what", what).Str("room", l.Kind.String()).Str("stage", l.Stage.String()).
		Int64("held", l.Held).Dur("still_ms", l.Still).Int("more", s.more).Msg("client gave way: too little room")
	s.logged, s.more = now, 0
}

// Report sets the gauges of what clients hold.
func (s *Sheds) Report(b *memory.Budget) {
	for _, k := range memory.Kinds() {
		used, limit := b.Used(k)
		scope := s.Scope.Tagged(map[string]string{"room": k.String()})
		scope.Gauge("clients_hold").Update(float64(used))
		scope.Gauge("clients_may_hold").Update(float64(limit))
	}
}
