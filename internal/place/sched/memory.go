package sched

import (
	"slices"
	"time"
)

const (
	// Maximum number of exports of one leaving upstream; more would delay its streams.
	maxExports = 256
)

func (s *Sched) cache(m Cache) {
	if i, ok := s.byName[m.Upstream]; ok {
		s.index.Apply(i, m.Events)
	}
}

// programEnded releases the program's memory at each engine that may hold some: those
// where this owner placed it, and those in the message, where a previous owner did.
func (s *Sched) programEnded(m ProgramEnded) {
	if e, ok := s.index.Home(m.Program); ok && s.ups[e].group != nil {
		g := s.ups[e].group
		g.programEnded(float64(s.index.Calls(m.Program)))
	}
	holders := slices.Clone(s.index.Holders(m.Program))
	for _, name := range m.Engines {
		if e, ok := s.byName[name]; ok && !slices.Contains(holders, e) {
			holders = append(holders, e)
		}
	}
	for _, e := range holders {
		s.emit(Release{Upstream: s.ups[e].name, Program: m.Program})
	}
	s.index.End(m.Program)
}

// programMoved removes a program that another daemon owns now. Attempts that
// are still in flight here must not release its memory when they end.
func (s *Sched) programMoved(program string) {
	s.index.End(program)
	for i := range s.requests {
		if r := &s.requests[i]; r.used && r.submit.Program == program {
			r.submit.Blocks = nil // releaseLate ignores requests without blocks
		}
	}
}

// releaseLate releases the memory again after an attempt that ended later than
// its program: the engine continued after the first release and left memory
// that would leak until the next sweep.
func (s *Sched) releaseLate(r *request, upstream string) {
	if len(r.submit.Blocks) > 0 && !s.index.Known(r.submit.Program) {
		s.emit(Release{Upstream: upstream, Program: r.submit.Program})
	}
}

func (s *Sched) held(m Held) {
	for _, p := range s.sweep.Compare(m.Upstream, m.Programs, m.Live) {
		s.emit(Release{Upstream: m.Upstream, Program: p})
	}
}

// handleLeaving exports, once per departure, the cached prefixes of up to
// maxExports programs that no engine but the leaving one holds. Otherwise they
// would all have to compute their whole prompts again at the same time.
func (s *Sched) handleLeaving(now time.Time, i int, u *upstream) {
	if !u.leaving() {
		u.leaveHandled = false
		return
	}
	if u.leaveHandled || u.group == nil {
		return
	}
	u.leaveHandled = true
	u.group.measure(s, now)
	var names []string
	s.index.Programs(i, func(name string, _ []uint64) { names = append(names, name) })
	slices.Sort(names)
	for _, name := range names[:min(len(names), maxExports)] {
		s.export(now, i, name)
	}
}

func (s *Sched) export(now time.Time, from int, program string) {
	if len(s.index.Holders(program)) > 1 {
		return // another engine holds at least an older part
	}
	u := s.ups[from]
	r := request{submit: Submit{Program: program, Group: u.group.name}}
	if len(u.conf.Models) == 1 {
		r.submit.Model = u.conf.Models[0]
	}
	c := s.pick(now, &r)
	if c.withRoom == none {
		return
	}
	s.index.Placed(program, c.withRoom)
	s.emit(Export{Upstream: u.name, Program: program, To: s.ups[c.withRoom].name})
}
