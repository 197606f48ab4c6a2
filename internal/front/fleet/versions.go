package fleet

import (
	"maps"
	"time"

	"github.com/slaterock/slaterock/internal/front/avail"
)

// tenure is how long all upstreams of a service have had one software version.
type tenure struct {
	version string
	since   time.Time
}

// OnlyVersionSince returns the software version that all upstreams of the service have had since a time,
// as far as this daemon knows. It returns false if they have several now.
func (v *View) OnlyVersionSince(service string) (version string, since time.Time, ok bool) {
	t, ok := v.tenures[service]
	return t.version, t.since, ok
}

// updateTenures takes over which services have one version only, as known now. What came and went while this
// daemon did not hear of the state for longer than avail.MaxGap is not known, so all begin anew then.
func (v *View) updateTenures(before *View, now time.Time) {
	gap := v.Confirmed.Sub(before.Confirmed) > avail.MaxGap
	next := maps.Clone(before.tenures)
	if next == nil || gap {
		next = map[string]tenure{}
	}
	for name, s := range v.Services {
		version, one := s.OneVersion()
		t, known := next[name]
		switch {
		case !one:
			delete(next, name)
		case !known || t.version != version:
			next[name] = tenure{version, now}
		}
	}
	v.tenures = next
}
