// Package chain writes a shard's journal: a chain of values in the store, each
// created once, one write in flight, everything that waits in the next.
//
// Whoever creates entry n decides what follows entry n-1. A new owner first
// creates an entry with its own epoch; from then on the former owner's next
// creation is refused, so it is fenced even if it never noticed that its lease
// lapsed. When the answer to a creation is lost, the chain reads the entry
// back and looks for its own nonce; if the entry is absent it creates the same
// bytes again. It never assumes either way.
//
// Chain is a state machine: Step takes the time and one message and returns
// effects. Creations are spaced by Interval, which is how a shard stays within
// its share of the store's writes.
package chain

import (
	"fmt"
	"time"

	"github.com/slaterock/slaterock/internal/prog/record"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

const (
	// Created is a creation that succeeded.
	Created Outcome = iota
	// Exists is a creation refused because the entry exists.
	Exists
	// Unavailable is a creation that certainly had no effect.
	Unavailable
	// Lost is a creation that may have had its effect.
	Lost
)

type (
	// Outcome tells how a creation ended.
	Outcome int

	// Chain is the writer of one shard's journal in one epoch. Next is the
	// number of the first entry to write. The zero value of everything else
	// is ready.
	Chain struct {
		Shard    int
		Epoch    uint64
		Owner    string
		Next     uint64
		Interval time.Duration // least time between two creations
		Rand     func() uint64 // for nonces and jitter

		waiting []waiting
		bytes   int    // of waiting and flight together
		seq     uint64 // of the newest record added
		id      uint64 // of the newest record that was cut into pieces
		flight  *flight
		last    time.Time // when the newest entry was created
		retryAt time.Time
		backoff time.Duration
		since   time.Time // when the flight was first sent
		fenced  bool
	}

	// Message is what Chain reacts to.
	Message interface{ message() }

	// Wrote tells how the creation of an entry ended.
	Wrote struct {
		Number  uint64
		Outcome Outcome
	}

	// Found is the entry that was read back.
	Found struct{ Entry record.Entry }

	// Absent tells that the entry that was to be read back doesn't exist.
	Absent struct{ Number uint64 }

	// Unread tells that the entry could not be read back.
	Unread struct{ Number uint64 }

	// Tick lets time pass.
	Tick struct{}

	// Effect is what Chain wants done.
	Effect interface{ effect() }

	// Create writes the entry if it doesn't exist; the answer is Wrote.
	Create struct {
		Key    string
		Number uint64
		Data   []byte
	}

	// Read reads the entry back; the answer is Found, Absent or Unread.
	Read struct {
		Key    string
		Number uint64
	}

	// Committed tells that all records up to Seq are in the journal. Number
	// is the entry that holds those since the last Committed.
	// Whole tells that no record is split between this entry and the next, so
	// that a snapshot may be taken here.
	Committed struct {
		Number uint64
		Seq    uint64
		Whole  bool
	}

	// Fenced tells that another owner has the shard. Nothing more is written.
	Fenced struct {
		Number uint64
		Epoch  uint64
		Owner  string
	}

	waiting struct {
		unit record.Unit
		seq  uint64 // zero for all pieces but a record's last
	}

	flight struct {
		number uint64
		nonce  uint64
		data   []byte
		size   int
		seq    uint64
		whole  bool
		busy   bool // a call to the store is under way
		read   bool // the next call must read back
	}
)

func (Wrote) message()  {}
func (Found) message()  {}
func (Absent) message() {}
func (Unread) message() {}
func (Tick) message()   {}

func (Create) effect()    {}
func (Read) effect()      {}
func (Committed) effect() {}
func (Fenced) effect()    {}

// Key is the store's key of a journal entry.
func Key(shard int, n uint64) string { return fmt.Sprintf("journal/%04d/%016d", shard, n) }

// Add queues a record and returns its sequence number, which a Committed will
// reach.
func (c *Chain) Add(r record.Record) (seq uint64, err error) {
	c.id++
	us, err := record.Units(r, c.id)
	if err != nil {
		return 0, err
	}
	c.seq++
	for i, u := range us {
		w := waiting{unit: u}
		if i == len(us)-1 {
			w.seq = c.seq
		}
		c.waiting = append(c.waiting, w)
		c.bytes += len(u)
	}
	return c.seq, nil
}

// Drop takes back a record that no creation has carried yet, and reports
// whether it could. What was dropped will certainly never be in the journal.
func (c *Chain) Drop(seq uint64) bool {
	for i, w := range c.waiting {
		if w.seq != seq {
			continue
		}
		if i > 0 && c.waiting[i-1].seq == 0 || i == 0 && c.flight != nil && c.flight.seq == 0 {
			return false // it has pieces, and some may be on their way
		}
		c.bytes -= len(w.unit)
		c.waiting = append(c.waiting[:i], c.waiting[i+1:]...)
		return true
	}
	return false
}

// Bytes is the size of the records that wait for the store.
func (c *Chain) Bytes() int { return c.bytes }

// Idle reports whether every record added is in the journal.
func (c *Chain) Idle() bool { return len(c.waiting) == 0 && c.flight == nil }

// Stalled is how long the entry in flight has been waiting for the store; zero
// without one. It is how an owner notices that the store is down.
func (c *Chain) Stalled(now time.Time) time.Duration {
	if c.flight == nil {
		return 0
	}
	return now.Sub(c.since)
}

// Step applies one message. Call it with Tick after Add.
func (c *Chain) Step(now time.Time, m Message) []Effect {
	if c.fenced {
		return nil
	}
	switch m := m.(type) {
	case Wrote:
		return c.wrote(now, m)
	case Found:
		return c.found(now, m.Entry)
	case Absent:
		if c.current(m.Number) {
			c.flight.busy, c.flight.read = false, false
		}
	case Unread:
		if c.current(m.Number) {
			c.flight.busy = false
			c.pause(now)
		}
	}
	return c.send(now)
}

func (c *Chain) current(n uint64) bool {
	return c.flight != nil && c.flight.number == n && c.flight.busy
}

func (c *Chain) wrote(now time.Time, m Wrote) []Effect {
	if !c.current(m.Number) {
		return nil
	}
	c.flight.busy = false
	switch m.Outcome {
	case Created:
		return c.commit(now)
	case Exists, Lost:
		// Exists may be our own entry, created by an attempt whose answer was
		// lost; taking it for another's would give up a shard that is ours.
		c.flight.read = true
		if m.Outcome == Lost {
			c.pause(now)
		}
	case Unavailable:
		c.pause(now)
	}
	return c.send(now)
}

func (c *Chain) found(now time.Time, e record.Entry) []Effect {
	if !c.current(e.Number) {
		return nil
	}
	c.flight.busy = false
	if e.Nonce == c.flight.nonce && e.Epoch == c.Epoch {
		return c.commit(now)
	}
	c.fenced = true
	return []Effect{Fenced{Number: e.Number, Epoch: e.Epoch, Owner: e.Owner}}
}

func (c *Chain) commit(now time.Time) []Effect {
	f := c.flight
	c.flight = nil
	c.bytes -= f.size
	c.Next = f.number + 1
	c.last, c.backoff, c.retryAt = now, 0, time.Time{}
	effs := []Effect{Committed{Number: f.number, Seq: f.seq, Whole: f.whole}}
	return append(effs, c.send(now)...)
}

// pause backs off with jitter, so that the owners of all shards don't come
// back to a recovering store at the same moment.
func (c *Chain) pause(now time.Time) {
	c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
	c.retryAt = now.Add(c.backoff/2 + time.Duration(c.Rand()%uint64(c.backoff)))
}

func (c *Chain) send(now time.Time) []Effect {
	if c.flight == nil && !c.load(now) {
		return nil
	}
	f := c.flight
	if f.busy || now.Before(c.retryAt) {
		return nil
	}
	f.busy = true
	key := Key(c.Shard, f.number)
	if f.read {
		return []Effect{Read{Key: key, Number: f.number}}
	}
	return []Effect{Create{Key: key, Number: f.number, Data: f.data}}
}

// load makes the next entry of what waits. Its bytes don't change any more: a
// creation whose answer was lost may still take effect later.
func (c *Chain) load(now time.Time) bool {
	if len(c.waiting) == 0 || now.Before(c.last.Add(c.Interval)) {
		return false
	}
	f := &flight{number: c.Next, nonce: c.Rand()}
	e := record.Entry{Shard: c.Shard, Number: c.Next, Epoch: c.Epoch, Nonce: f.nonce, Owner: c.Owner}
	n := 0
	for n < len(c.waiting) && (n == 0 || f.size+len(c.waiting[n].unit) <= record.MaxUnits) {
		w := c.waiting[n]
		e.Units = append(e.Units, w.unit)
		f.size += len(w.unit)
		f.whole = w.seq != 0
		if w.seq != 0 {
			f.seq = w.seq
		}
		n++
	}
	c.waiting = append([]waiting(nil), c.waiting[n:]...)
	data, err := e.Encode()
	if err != nil {
		// Units are valid CBOR by construction, so this can't be reached by
		// any input; losing records without a word would be worse than a stop.
		panic(err)
	}
	f.data = data
	c.flight, c.since = f, now
	return true
}
