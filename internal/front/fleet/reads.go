package fleet

import (
	"maps"
	"time"
)

// readerTTL is how long the last read of a daemon is remembered: by then its state is too old to
// confirm anything.
const readerTTL = time.Minute

type (
	// Read identifies one read of the store. The zero value is unknown.
	Read struct {
		By     uint32 // the daemon that read, drawn at its start; not 0
		Number uint64 // increases with each read of that daemon
	}

	// readTimes holds the time of the latest known read of each daemon. The zero value is empty.
	//
	// A peer reports the age of its state, and the time that the message was under way adds to
	// it unnoticed. If each report counted again, daemons that confirm each other would move the
	// time of the same read forward with every exchange, and none would read the store. So the
	// time of a read is set once, by the first report of it.
	readTimes struct {
		latest map[uint32]readTime
	}

	readTime struct {
		number uint64
		at     time.Time
	}
)

// known reports whether the read is identified.
func (r Read) known() bool { return r.By != 0 }

// timeOf returns the time of a read that a report dates at. It is not later than that of the
// latest known read of the same daemon unless the read is a later one.
func (t *readTimes) timeOf(r Read, at time.Time) time.Time {
	last, found := t.latest[r.By]
	if found && r.Number <= last.number {
		if last.at.Before(at) {
			return last.at
		}
		return at
	}
	if !found {
		t.prune(at)
	}
	t.latest[r.By] = readTime{number: r.Number, at: at}
	return at
}

// prune forgets daemons that have not read for readerTTL.
func (t *readTimes) prune(now time.Time) {
	if t.latest == nil {
		t.latest = map[uint32]readTime{}
	}
	maps.DeleteFunc(t.latest, func(_ uint32, r readTime) bool { return now.Sub(r.at) > readerTTL })
}

// shiftBack moves all times back, for a clock that stood still.
func (t *readTimes) shiftBack(by time.Duration) {
	for id, r := range t.latest {
		t.latest[id] = readTime{number: r.number, at: r.at.Add(-by)}
	}
}
