package fleet

import "slices"

type (
	// Service is an immutable set of the upstreams of a service: those that the store lists
	// and those that are retained. A nil one is empty.
	Service struct {
		Upstreams

		open     []batchCount
		versions []versionCount
	}

	// batchCount is the number of upstreams of a batch size that are not leaving.
	batchCount struct{ batch, n int }

	// versionCount is the number of upstreams of a software version.
	versionCount struct {
		version string
		n       int
		open    int // of these, those that are not leaving
	}
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

// OneVersion returns the software version of all upstreams, also of those that are leaving. It
// returns false if they have several, or there are none.
func (s *Service) OneVersion() (version string, ok bool) {
	if s == nil || len(s.versions) != 1 {
		return "", false
	}
	return s.versions[0].version, true
}

// Serves reports whether an upstream of the software version is not leaving.
func (s *Service) Serves(version string) bool {
	return s != nil && slices.ContainsFunc(s.versions, func(c versionCount) bool { return c.version == version && c.open > 0 })
}

// serviceEdit is a service that is being changed.
type serviceEdit struct {
	upstreams upstreamsEdit
	open      []batchCount
	versions  []versionCount
}

func newServiceEdit(s *Service) *serviceEdit {
	if s == nil {
		return &serviceEdit{}
	}
	return &serviceEdit{upstreams: upstreamsEdit{set: s.Upstreams}, open: slices.Clone(s.open), versions: slices.Clone(s.versions)}
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
	e.countVersion(u, n)
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

func (e *serviceEdit) countVersion(u *Upstream, n int) {
	i := slices.IndexFunc(e.versions, func(c versionCount) bool { return c.version == u.Version })
	if i < 0 {
		i = len(e.versions)
		e.versions = append(e.versions, versionCount{version: u.Version})
	}
	if !u.Leaving {
		e.versions[i].open += n
	}
	if e.versions[i].n += n; e.versions[i].n == 0 {
		e.versions = slices.Delete(e.versions, i, i+1)
	}
}

func (e *serviceEdit) done() *Service {
	return &Service{Upstreams: e.upstreams.set, open: e.open, versions: e.versions}
}
