package mesh

import (
	"time"

	"github.com/slaterock/slaterock/internal/place/pace"
)

const (
	// maxSamples is the number of upstreams of which a report or share has samples at most,
	// less than 3 KB. The others are in the next one.
	maxSamples = 100
	// maxEstimates is the number of estimates in a digest at most, 14 bytes each: a front gets
	// ten digests a second and less than 2 KB of estimates.
	maxEstimates = 12
	// selectInterval is the interval in which all digests have the same estimates, so that
	// fronts that report every reportInterval get most of the selections. A change of speed starts
	// another interval, but not within changeInterval: a selection among 10,000 upstreams takes
	// 1.5 ms, and hundreds of them may change their speed in a second.
	selectInterval = reportInterval
	changeInterval = 10 * time.Millisecond
)

// selected are the estimates in the digests of one interval.
type selected struct {
	at      time.Time
	changes int // as of Paces.Changes
	list    []pace.Estimate
}

// selectPaces returns the estimates for a digest.
func (m *Mesh) selectPaces(now time.Time) []pace.Estimate {
	changes := m.Paces.Changes()
	if s := &m.selected; s.at.IsZero() || now.Sub(s.at) >= selectInterval || s.changes != changes && now.Sub(s.at) >= changeInterval {
		*s = selected{at: now, changes: changes, list: m.Paces.Select(now, maxEstimates)}
	}
	return m.selected.list
}

// forwardPaces adds the samples of a front in this one's group, and reports whether they show that
// the speed of an upstream has changed.
func (m *Mesh) forwardPaces(now time.Time, r Report) (noticed bool) {
	before := m.Paces.Changes()
	m.Paces.Forward(now, r.Paces)
	return m.Paces.Changes() != before
}

// mergePaces takes over the estimates of a hub. A hub has estimates of its own, from the samples
// that all hubs pass on.
func (m *Mesh) mergePaces(now time.Time, d Digest) {
	if !m.isHub {
		m.Paces.Merge(now, d.Paces)
	}
}

// addPaces adds the samples since the last time to messages of one kind: to all shares, since
// each goes to another hub, or to the first of several reports, since hubs pass them on to each
// other and would count them several times. Without a recipient it drops the samples: a front that
// starts later would take hours of them for new ones.
func (m *Mesh) addPaces(sends []Send) []Send {
	if len(sends) == 0 {
		m.Paces.DropDelta()
		return sends
	}
	delta := m.Paces.TakeDelta(maxSamples)
	if len(delta) == 0 {
		return sends
	}
	for i := range sends {
		switch msg := sends[i].Message.(type) {
		case Share:
			msg.Paces = delta
			sends[i].Message = msg
		case Report:
			msg.Paces = delta
			sends[i].Message = msg
			return sends
		}
	}
	return sends
}

func (r Report) withoutPaces() Report {
	r.Paces = nil
	return r
}

func (s Share) withoutPaces() Share {
	s.Paces = nil
	return s
}

// first returns so many elements at most.
func first[T any](list []T, most int) []T { return list[:min(most, len(list))] }
