package sched

import (
	"time"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/prog/result"
)

type (
	// Sched is the machine. The zero value works and refuses every request
	// until it is configured.
	Sched struct {
		Seed uint64 // of the sampling among upstreams; differs between daemons

		cfg      file.File
		inflight map[string]int
	}
)

// Step applies one message and returns the effects in the order in which they
// must be carried out.
func (s *Sched) Step(now time.Time, m Message) []Effect {
	if s.inflight == nil {
		s.inflight = map[string]int{}
	}
	switch m := m.(type) {
	case Configure:
		s.cfg = m.File
	case Ask:
		return s.ask(m)
	case Done:
		s.inflight[m.Upstream]--
	}
	return nil
}

func (s *Sched) ask(a Ask) []Effect {
	best, found := "", false
	for name, u := range s.cfg.Upstreams {
		if u.Group != a.Group || contains(a.Avoid, name) {
			continue
		}
		if !found || s.inflight[name] < s.inflight[best] || s.inflight[name] == s.inflight[best] && name < best {
			best, found = name, true
		}
	}
	if !found {
		return []Effect{Refuse{ID: a.ID, Code: result.CodeNoUpstream, Message: "no upstream in group " + a.Group}}
	}
	s.inflight[best]++
	return []Effect{Assign{ID: a.ID, Upstream: best, Address: s.cfg.Upstreams[best].Address}}
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}
