package recsrv

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/disk/index"
)

const (
	kindReservation kind = "reservation"
	kindTurn        kind = "turn"
	kindSettlement  kind = "settlement"
	kindRead        kind = "read"
)

type (
	// Load is what a server did in some time.
	Load struct {
		Served   int           // requests for records, refused ones excluded
		Refused  int           // reservations refused for overload
		Slowest  time.Duration // of the served requests
		UnderWay int           // writes, at the end of that time
	}

	// kind is the kind of a request, as metrics name it.
	kind string

	// meter counts requests in the metrics, and since the last report.
	meter struct {
		mu   sync.Mutex
		load Load
	}
)

// TakeLoad returns what the server did since the last call.
func (s *Server) TakeLoad() Load {
	s.mu.Lock()
	writes := s.writes
	s.mu.Unlock()
	s.meter.mu.Lock()
	defer s.meter.mu.Unlock()
	load := s.meter.load
	load.UnderWay = writes
	s.meter.load = Load{}
	return load
}

// observe counts a request that has ended.
func (s *Server) observe(k kind, began time.Time, refusal Refusal) {
	took := time.Since(began)
	scope := s.Scope
	if scope == nil {
		scope = tally.NoopScope
	}
	scope = scope.Tagged(map[string]string{"kind": string(k)})
	if refusal.Code != "" {
		scope.Counter("records_refused").Inc(1)
	} else {
		scope.Timer("records_request_time").Record(took)
	}
	s.meter.mu.Lock()
	defer s.meter.mu.Unlock()
	switch refusal.Code {
	case CodeBusy:
		s.meter.load.Refused++
	case "":
		s.meter.load.Served++
		s.meter.load.Slowest = max(s.meter.load.Slowest, took)
	}
}

func kindOf(r index.Record) kind {
	switch {
	case r.Reserved:
		return kindReservation
	case r.Turn != nil:
		return kindTurn
	default:
		return kindSettlement
	}
}
