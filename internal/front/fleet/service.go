package fleet

import "slices"

type (
	// Service is an immutable set of the upstreams of a service: those that the store lists
	// and those that are retained. A nil one is empty.
	Service struct {
		Upstreams

		open []batchCount
	}

	// batchCount is the number of upstreams of a batch size that are not leaving.
	batchCount struct{ batch, n int }
)

// NewService returns a service with these upstreams.
func NewService(list ...Upstream) *Service {
	e := serviceEdit{}
	for i := range list {
		e.put(&list[i])
	}
	return e.done()
}

// Len returns the number of upstreams.
func (s *Service) Len() int {
	if s == nil {
		return 0
	}
	return s.Upstreams.Len()
}

// Find returns the upstream with the id. It must not be changed.
func (s *Service) Find(id string) (u *Upstream, found bool) {
	if s == nil {
		return nil, false
	}
	return s.Upstreams.Find(id)
}

// Capacity returns the number of requests that the upstreams that are not leaving run
// together, if each of them runs share(batch size) of its batch.
func (s *Service) Capacity(share func(batch int) float64) int {
	if s == nil {
		return 0
	}
	total := 0.0
	for _, c := range s.open {
		total += float64(c.n*c.batch) * share(c.batch)
	}
	return int(total)
}

// serviceEdit is a service that is being changed.
type serviceEdit struct {
	upstreams upstreamsEdit
	open      []batchCount
}

func newServiceEdit(s *Service) *serviceEdit {
	if s == nil {
		return &serviceEdit{}
	}
	return &serviceEdit{upstreams: upstreamsEdit{set: s.Upstreams}, open: slices.Clone(s.open)}
}

func (e *serviceEdit) put(u *Upstream) {
	e.remove(u.ID)
	e.upstreams.put(u)
	e.count(u, 1)
}

func (e *serviceEdit) remove(id string) {
	if old, found := e.upstreams.set.Find(id); found {
		e.count(old, -1)
		e.upstreams.remove(id)
	}
}

func (e *serviceEdit) count(u *Upstream, n int) {
	if u.Leaving {
		return
	}
	i := slices.IndexFunc(e.open, func(c batchCount) bool { return c.batch == u.Batch })
	if i < 0 {
		i = len(e.open)
		e.open = append(e.open, batchCount{batch: u.Batch})
	}
	if e.open[i].n += n; e.open[i].n == 0 {
		e.open = slices.Delete(e.open, i, i+1)
	}
}

func (e *serviceEdit) done() *Service {
	return &Service{Upstreams: e.upstreams.set, open: e.open}
}
