package recsrv

import (
	"os"
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
	kindRun         kind = "run"
)

type (
	// Load is what a server did in some time.
	Load struct {
		Served      int           // requests for records, refused ones excluded
		Refused     int           // reservations refused for overload
		Slowest     time.Duration // of the served requests
		SlowestSync time.Duration // of the log, which writes wait for: for the one under way and for their own
		UnderWay    int           // writes, at the end of that time
	}

	// kind is the kind of a request, as metrics name it.
	kind string

	// meter counts requests in the metrics, and since the last report.
	meter struct {
		refused    map[kind]tally.Counter
		time       map[kind]tally.Timer
		syncTime   tally.Timer
		dropped    tally.Counter // segments
		moved      tally.Counter // records out of segments that were dropped, and their bytes
		movedBytes tally.Counter
		refusing   tally.Gauge   // 1 while the disk takes no records
		unwritten  tally.Counter // records that the disk refused

		mu   sync.Mutex
		load Load
	}
)

var kinds = []kind{kindReservation, kindTurn, kindSettlement, kindRead, kindRun}

// open looks the metrics up; doing so for each request would cost as much as counting it.
func (m *meter) open(scope tally.Scope) {
	if scope == nil {
		scope = tally.NoopScope
	}
	m.syncTime = scope.Timer("records_sync_time")
	m.dropped = scope.Counter("records_segments_dropped")
	m.moved, m.movedBytes = scope.Counter("records_moved"), scope.Counter("records_moved_bytes")
	m.refusing, m.unwritten = scope.Gauge("records_disk_refuses"), scope.Counter("records_unwritten")
	m.refused, m.time = map[kind]tally.Counter{}, map[kind]tally.Timer{}
	for _, k := range kinds {
		tagged := scope.Tagged(map[string]string{"kind": string(k)})
		m.refused[k], m.time[k] = tagged.Counter("records_refused"), tagged.Timer("records_request_time")
	}
}

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

// timed returns a function that makes a file durable with sync, nil for os.File.Sync, and notes the time.
func (m *meter) timed(sync func(*os.File) error) func(*os.File) error {
	if sync == nil {
		sync = (*os.File).Sync
	}
	return func(f *os.File) error {
		began := time.Now()
		err := sync(f)
		took := time.Since(began)
		m.syncTime.Record(took)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.load.SlowestSync = max(m.load.SlowestSync, took)
		return err
	}
}

// observe counts a request that has ended.
func (m *meter) observe(k kind, began time.Time, refusal Refusal) {
	took := time.Since(began)
	if refusal.Code != "" {
		m.refused[k].Inc(1)
	} else {
		m.time[k].Record(took)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch refusal.Code {
	case CodeBusy:
		m.load.Refused++
	case "":
		m.load.Served++
		m.load.Slowest = max(m.load.Slowest, took)
	}
}

func kindOf(r index.Record) kind {
	switch {
	case r.Reserved:
		return kindReservation
	case r.Turn != nil:
		return kindTurn
	case r.Run != nil:
		return kindRun
	default:
		return kindSettlement
	}
}
