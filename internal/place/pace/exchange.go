package pace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// changedShare is the share of a selection for estimates that have changed, if others are
	// due as well.
	changedShare = 0.75
	// minChange is the relative change of a factor from which on it counts as changed.
	minChange = 0.08
	// resendTime is how long an estimate is repeated after its factor has become 1, since
	// some fronts may have missed it.
	resendTime = 10 * time.Second
	// sentWeight is how far the value that recipients are assumed to have follows the one that
	// was selected. One message in five may be lost, so a large change is sent several times.
	sentWeight = 0.5
)

type (
	// Sample is the sum of samples at one upstream in a message.
	Sample struct {
		_        struct{} `cbor:",toarray"`
		ID       ID
		Count    uint32
		Expected uint64 // time in units of 100 us, as all others
		Measured uint64
		Square   uint64
		Long     uint32 // of Count, longer than chance explains and confirmed
		Short    uint32 // of Count, shorter than chance explains
		Usual    uint32 // of Count, neither
		Slower   uint32 // number of daemons that found the upstream to have become slower
		Faster   uint32 // the same for faster
	}

	// Estimate is the estimate of an upstream in a message, in thousandths.
	Estimate struct {
		_         struct{} `cbor:",toarray"`
		ID        ID
		Count     uint32 // number of samples by which it is known
		Mean      uint32
		Deviation uint32 // standard deviation of a sample
	}

	// candidate is an upstream that may be selected; higher ranks come first.
	candidate struct {
		id   ID
		e    *entry
		now  float64 // factor
		rank float64
	}

	// candidates are the few with the highest ranks, in descending order.
	candidates []candidate
)

// TakeDelta returns the samples since the last call, of n upstreams at most, those with the most
// samples. The others are returned by later calls.
func (t *Table) TakeDelta(n int) (list []Sample) {
	for id, s := range t.pending {
		list = append(list, Sample{
			ID: id, Count: uint32(s.count), Expected: uint64(math.Round(s.expected)), Measured: uint64(math.Round(s.measured)),
			Square: uint64(math.Round(s.square)), Long: uint32(s.long), Short: uint32(s.short), Usual: uint32(s.usual),
			Slower: uint32(s.slower), Faster: uint32(s.faster),
		})
	}
	slices.SortFunc(list, func(a, b Sample) int {
		return cmp.Or(cmp.Compare(b.Slower+b.Faster, a.Slower+a.Faster), cmp.Compare(b.Count, a.Count), cmp.Compare(a.ID, b.ID))
	})
	list = list[:min(n, len(list))]
	for _, s := range list {
		delete(t.pending, s.ID)
	}
	return list
}

// DropDelta forgets the samples that TakeDelta has not returned yet.
func (t *Table) DropDelta() { clear(t.pending) }

// AddDelta adds samples of other daemons. A daemon that gets them has no need of estimates that it
// merged before, and lets these decay as samples do.
func (t *Table) AddDelta(now time.Time, list []Sample) {
	for _, s := range list {
		if d, ok := s.sums(); ok {
			e := t.entry(now, s.ID)
			e.halfLife = cmp.Or(t.HalfLife, HalfLife)
			t.add(now, s.ID, e, d)
		}
	}
}

// Forward adds samples of other daemons, and has TakeDelta return them together with those of
// this one.
func (t *Table) Forward(now time.Time, list []Sample) {
	t.AddDelta(now, list)
	for _, s := range list {
		if d, ok := s.sums(); ok {
			t.addPending(s.ID, d)
		}
	}
}

// sums returns the sums of a received sample, and whether it has any.
func (s Sample) sums() (d sums, ok bool) {
	d = sums{
		count: float64(s.Count), expected: float64(s.Expected), measured: float64(s.Measured), square: float64(s.Square),
		long: float64(s.Long), short: float64(s.Short), usual: float64(s.Usual), slower: float64(s.Slower), faster: float64(s.Faster),
	}
	return d, s.Count > 0 && s.Expected > 0 || s.Slower+s.Faster > 0
}

// Select returns n estimates at most for other daemons: those that have changed most since they
// were selected, and those that were not selected for the longest time. Upstreams that were
// never known to differ from their service are left out.
func (t *Table) Select(now time.Time, n int) []Estimate {
	t.sweep(now)
	changed, oldest := make(candidates, 0, n+1), make(candidates, 0, n+1)
	for id, e := range t.all {
		e.decay(now)
		c := candidate{id: id, e: e, now: e.current()}
		if c.now != 1 {
			e.differed = now
		}
		if e.sent == 0 && c.now == 1 {
			continue
		}
		if c.rank = math.Abs(math.Log(c.now / max(e.sent, minCount))); c.rank >= minChange {
			changed.put(c, n)
		}
		if c.rank = now.Sub(e.sentAt).Seconds(); now.Sub(e.differed) < resendTime {
			oldest.put(c, n)
		}
	}
	list := make([]Estimate, 0, n)
	for i, c := range changed {
		if float64(i) < changedShare*float64(n) || i < n-len(oldest) {
			list = append(list, c.take(now))
		}
	}
	for _, c := range oldest {
		if len(list) < n && !c.e.sentAt.Equal(now) {
			list = append(list, c.take(now))
		}
	}
	return list
}

// less reports whether c comes first, in an order that does not depend on that of the map.
func (o candidate) less(c candidate) bool {
	return o.rank < c.rank || o.rank == c.rank && o.id < c.id
}

// put inserts a candidate if it is among the n with the highest ranks.
func (l *candidates) put(c candidate, n int) {
	i := len(*l)
	for i > 0 && (*l)[i-1].less(c) {
		i--
	}
	if i < n {
		*l = slices.Insert(*l, i, c)
		*l = (*l)[:min(len(*l), n)]
	}
}

// take returns the estimate of a candidate that is selected.
func (o candidate) take(now time.Time) Estimate {
	e := o.e
	if e.sentAt = now; e.sent == 0 {
		e.sent = 1
	}
	e.sent += sentWeight * (o.now - e.sent)
	return Estimate{
		ID: o.id, Count: uint32(math.Round(e.long.count)), Mean: thousandths(e.long.mean()), Deviation: thousandths(e.long.deviation()),
	}
}

func thousandths(x float64) uint32 { return uint32(math.Round(min(x, 1e6) * 1000)) }

// Merge replaces what is known of upstreams by estimates of another daemon, which include the
// samples that this one has sent.
func (t *Table) Merge(now time.Time, list []Estimate) {
	for _, s := range list {
		e := t.entry(now, s.ID)
		e.halfLife, e.known = estimateHalfLife, true
		e.slower, e.faster = 0, 0 // the estimate includes them
		e.long.set(float64(s.Count), float64(s.Mean)/1000, float64(s.Deviation)/1000)
	}
}
