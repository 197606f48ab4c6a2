// Package pace estimates the time of each upstream relative to its service, from the samples
// of all daemons together.
//
// A sample is the time of a part of a stream or of a call, and the time that the service
// usually takes for it at the same load. Samples are sums, which can be added in any order:
// daemons send their own since the last message, and those that add them up send estimates
// back. The estimate of an upstream is its factor, the sum of the measured over the sum of
// the expected times. It is used if it differs from 1 by more than chance.
//
// Table has no clock, lock or network.
package pace

import (
	"cmp"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HalfLife is the time in which the weight of a sample decays by half. An upstream of a
	// busy service then has some thirty samples, with which a factor of 1.3 is significant.
	HalfLife = 3 * time.Second
	// recentHalfLife is that of the samples in which a change is looked for. Fronts are to
	// know of a change within 0.6 s, of which the messages take up to 0.3 s.
	recentHalfLife = 400 * time.Millisecond
	// estimateHalfLife is that of an estimate that another daemon sent. A thousand estimates,
	// a dozen in each message, are repeated every nine seconds.
	estimateHalfLife = 12 * time.Second

	// maxSample is the most that a sample counts, as a multiple of what is expected of the
	// upstream: 15 in 100 responses take 2.5 times as long by chance.
	maxSample = 2.5
	// beyondChance is the multiple of what is expected of the upstream above which chance
	// does not explain a sample.
	beyondChance = 2.9
	// minSamples is the number of samples before which an upstream counts as unknown.
	minSamples = 12
	// significance is by how many standard errors a factor has to differ from 1.
	significance = 2.0
	// dependence is how many samples count as one in the standard error: a stream gives about
	// four samples, which are slow or fast together.
	dependence = 4.0
	// minDeviation is the least standard deviation that is assumed, relative to the mean.
	minDeviation = 0.1
	// shrinkCount is the number of samples with which a factor counts half.
	shrinkCount = 2.0

	// shortRatio is the multiple of what is expected of the upstream below which chance does not
	// explain a sample.
	shortRatio = 0.5
	// An upstream has become slower or faster once so many recent samples more were too long or
	// too short than usualWeight of the usual ones. Its earlier samples are then forgotten, but
	// count as changedCount of the least change that explains the new ones.
	slowSamples  = 1.5
	fastSamples  = 2.5
	usualWeight  = 0.5
	changedCount = 14.0
	// changedDeviation is the standard deviation, relative to the mean, that is assumed then.
	changedDeviation = 0.3
	// usualAge is the least age of the factor with which a sample is compared. A newer one
	// already includes samples of the change.
	usualAge = time.Second

	// minCount is the number of samples below which an upstream is forgotten.
	minCount = 0.1
	// sweepInterval is the interval between searches for upstreams to forget.
	sweepInterval = 5 * time.Second
	// unit is the unit of times in messages, and usualTime the expected time of a usual
	// sample in it.
	unit      = 100 * time.Microsecond
	usualTime = float64(100 * time.Millisecond / unit)
)

type (
	// ID is a hash of an upstream's id and its start time, so that a process that restarts
	// under the same id is another upstream. Four bytes identify it in a message.
	ID uint32

	// Table holds the sums of all upstreams. The zero value is ready.
	Table struct {
		// HalfLife is that of the samples, 0 for the usual one.
		HalfLife time.Duration

		all     map[ID]*entry
		pending map[ID]sums // not yet returned by TakeDelta
		changes int         // number of changes of speed that were noticed
		swept   time.Time   // when upstreams were last forgotten
	}

	// bounds are two factors; both are 0 if unknown.
	bounds struct{ least, most float64 }

	entry struct {
		long           sums
		slower, faster float64       // recent samples that were too long or too short, less usual ones
		at             time.Time     // to which the sums are decayed
		halfLife       time.Duration // of long
		known          bool          // there were minSamples at a time

		changedAt time.Time // when its speed was last found to have changed
		earlier   [2]bounds // factors as of usualAt and usualAge before, 0 if unknown
		usualAt   time.Time

		sent     float64   // factor as recipients of Select have it, 0 if not sent
		sentAt   time.Time // when it was last selected
		differed time.Time // when its factor was last seen not to be 1
	}
)

// IDOf returns the hash of an upstream's id and its start time.
func IDOf(id string, born int64) ID {
	var d xxhash.Digest
	var buf [8]byte
	d.Reset()
	_, _ = d.WriteString(id)
	binary.LittleEndian.PutUint64(buf[:], uint64(born))
	_, _ = d.Write(buf[:])
	return ID(d.Sum64())
}

// Observe adds a sample of this daemon: the time taken at an upstream and the usual time of its
// service at the same load, in seconds. It reports whether that is longer than chance explains.
// It is a sign of a slower upstream only if it is confirmed (see Stream).
func (t *Table) Observe(now time.Time, id ID, measured, expected float64, confirmed bool) (long bool) {
	if measured <= 0 || expected <= 0 {
		return false
	}
	e := t.entry(now, id)
	measured, expected = measured/unit.Seconds(), expected/unit.Seconds()
	usual := e.usual(now)
	s := sums{count: 1, expected: expected, measured: min(measured, maxSample*usual.most*expected)}
	s.square = s.measured * s.measured / expected
	switch long = measured > beyondChance*usual.most*expected; {
	case long && confirmed:
		s.long = 1
	case long:
	case measured < shortRatio*usual.least*expected:
		s.short = 1
	default:
		s.usual = 1
	}
	t.addPending(id, s)
	t.add(now, id, e, s)
	return long
}

// Factor returns the time of an upstream as a multiple of that of its service, 1 if it is unknown
// or does not differ by more than chance.
func (t *Table) Factor(now time.Time, id ID) float64 {
	e := t.all[id]
	if e == nil {
		return 1
	}
	return e.factorAt(now)
}

// Factors returns the factors that are not 1, nil if there are none.
func (t *Table) Factors(now time.Time) (out map[ID]float64) {
	for id, e := range t.all {
		f := e.factorAt(now)
		if f == 1 {
			continue
		}
		if out == nil {
			out = map[ID]float64{}
		}
		out[id] = f
	}
	return out
}

func (t *Table) addPending(id ID, s sums) {
	if t.pending == nil {
		t.pending = map[ID]sums{}
	}
	p := t.pending[id]
	p.add(s)
	t.pending[id] = p
}

// entry returns the entry of an upstream, decayed until now. Tables that select nothing for other
// daemons have to forget upstreams too.
func (t *Table) entry(now time.Time, id ID) *entry {
	t.sweep(now)
	e := t.all[id]
	if e == nil {
		if t.all == nil {
			t.all = map[ID]*entry{}
		}
		e = &entry{at: now, halfLife: cmp.Or(t.HalfLife, HalfLife)}
		t.all[id] = e
	}
	e.decay(now)
	return e
}

// sweep forgets upstreams without recent samples.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepInterval {
		return
	}
	t.swept = now
	for id, e := range t.all {
		if e.decay(now); e.long.count < minCount {
			delete(t.all, id)
		}
	}
}

func (e *entry) decay(now time.Time) {
	age := now.Sub(e.at)
	if age <= 0 {
		return
	}
	e.at = now
	e.long.scale(decay(age, e.halfLife))
	recent := decay(age, recentHalfLife)
	e.slower *= recent
	e.faster *= recent
}

// current returns the factor as of the last decay.
func (e *entry) current() float64 {
	if !e.known {
		return 1
	}
	return e.long.factor()
}

// factorAt returns the factor at a later time, without a change of the entry.
func (e *entry) factorAt(now time.Time) float64 {
	if !e.known {
		return 1
	}
	long := e.long
	long.scale(decay(now.Sub(e.at), e.halfLife))
	return long.factor()
}

// usual returns the factors between which the upstream's lies by the samples until usualAge ago, or
// until its last change.
func (e *entry) usual(now time.Time) bounds {
	if !e.known || e.long.count <= 0 {
		return bounds{1, 1} // without samples the standard error is not defined
	}
	if now.Sub(e.usualAt) >= usualAge || e.earlier[0].most == 0 {
		mean, margin := e.long.mean(), significance*e.long.standardError()
		e.earlier, e.usualAt = [2]bounds{{mean - margin, mean + margin}, e.earlier[0]}, now
	}
	if e.earlier[1].most > 0 {
		return e.earlier[1]
	}
	return e.earlier[0]
}

// add adds samples to the sums of an upstream. If they show that its speed has changed, it tells
// the other daemons: their samples are compared with the new speed as soon as they know it, and
// would not show the change to a daemon that missed earlier ones.
func (t *Table) add(now time.Time, id ID, e *entry, s sums) {
	e.long.add(s)
	if !e.known {
		e.known = e.long.count >= minSamples
		return
	}
	e.slower = max(e.slower-usualWeight*(s.usual+s.short), 0) + s.long
	e.faster = max(e.faster-usualWeight*(s.usual+s.long), 0) + s.short
	told := now.Sub(e.changedAt) > usualAge
	mean := e.long.mean()
	change := sums{}
	switch {
	case e.slower >= slowSamples || told && s.slower > 0:
		mean *= maxSample
		change.slower = 1
	case e.faster >= fastSamples || told && s.faster > 0:
		mean *= shortRatio
		change.faster = 1
	default:
		return
	}
	e.long.set(changedCount, mean, mean*changedDeviation)
	e.slower, e.faster, e.earlier, e.changedAt = 0, 0, [2]bounds{}, now
	t.changes++
	t.addPending(id, change)
}

// Changes returns the number of changes of speed that were noticed.
func (t *Table) Changes() int { return t.changes }
