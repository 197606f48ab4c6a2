package frontd

import "time"

const (
	// readInterval is the age at which the state is read again from the store, by one front
	// for all. A leaving upstream may get requests for two seconds, which must cover this
	// age, the call and two exchanges between fronts. One call per second costs as much as
	// 0.1 VMs.
	readInterval = 500 * time.Millisecond
	// rankDelay is added for each front that ranks before this one, so that the next one
	// reads only if the first did not.
	rankDelay = 130 * time.Millisecond
	// maxReadAge is the age at which a front reads whatever its rank: those that rank before
	// it may all be cut off from the store. A front that hears less than half of the others
	// can't be told by those that read, and does so at maxReadAgeAlone. Each front adds a
	// random part of readAgeSpread, so that the first one can tell the rest.
	maxReadAge      = 1200 * time.Millisecond
	maxReadAgeAlone = 800 * time.Millisecond
	readAgeSpread   = 300 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff after failed reads, of which at least half is
	// waited, at random. Meanwhile other fronts may reach the store. A front that hears the
	// others and has read without its turn waits for lateBackoff, so that hundreds of fronts
	// don't all call a store that is away.
	minBackoff  = 300 * time.Millisecond
	maxBackoff  = 1200 * time.Millisecond
	lateBackoff = 2500 * time.Millisecond
	// farRank is the rank from which fronts read later and later than maxReadAge, each
	// farDelay after the one before and all within maxFarDelay, so that the calls of an outage
	// don't grow with the number of fronts.
	farRank     = 320
	farDelay    = 5 * time.Millisecond
	maxFarDelay = 2 * time.Second
)

// readTurn is a front's place in the order in which fronts read the store for all.
type readTurn struct {
	rank   int           // number of fronts before it
	alone  bool          // it hears less than half of the others
	spread time.Duration // its own part of readAgeSpread
}

// readTurn returns this front's present place in the order of reads.
func (d *Daemon) readTurn(now time.Time, spread time.Duration) readTurn {
	return readTurn{
		rank: d.meshio.Rank(now), spread: spread,
		alone: !d.meshio.Summary(now).ReachesHalf(len(d.peers())),
	}
}

// maxAge is the age of the state at which the front reads.
func (t readTurn) maxAge() time.Duration {
	return min(t.inOrder(), t.latest())
}

// inOrder is the age at which it is the front's turn, if those before it do not read.
func (t readTurn) inOrder() time.Duration {
	return readInterval + time.Duration(t.rank)*rankDelay
}

// latest is the age at which the front reads whatever its rank.
func (t readTurn) latest() time.Duration {
	if t.alone {
		return maxReadAgeAlone + t.spread
	}
	far := time.Duration(max(t.rank-farRank, 0)) * farDelay
	return maxReadAge + t.spread + min(far, maxFarDelay)
}

// backoff returns the backoff after a failed read that followed the given one.
func (t readTurn) backoff(last time.Duration) time.Duration {
	if !t.alone && t.inOrder() > t.latest() {
		return lateBackoff
	}
	return min(max(2*last, minBackoff), maxBackoff)
}
