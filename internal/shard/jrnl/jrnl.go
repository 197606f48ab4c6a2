// Package jrnl writes a shard's journal: a sequence of numbered entries in the
// store, each created once. One write is in flight at a time; records added
// meanwhile are committed together in the next entry.
//
// Each entry can be created only once. A new owner first creates an entry with
// its own epoch; the former owner's next creation is then refused, so it is
// fenced even if it never noticed that its lease expired. When the answer to a
// creation is lost, the writer reads the entry back and compares the nonce with
// its own; if the entry is absent it creates the same bytes again. It never
// assumes that the creation succeeded or failed.
//
// Writer is a state machine: Step takes the time and one message and returns
// effects. Creations are spaced by Interval, so that a shard stays within its
// share of the store's writes.
package jrnl

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
	// Created reports a creation that succeeded.
	Created Outcome = iota
	// Exists reports a creation refused because the entry exists.
	Exists
	// Unavailable reports a creation that certainly had no effect.
	Unavailable
	// Unknown reports a creation that may have taken effect.
	Unknown
)

type (
	// Outcome is the result of a creation.
	Outcome int

	// Writer writes one shard's journal in one epoch. Next is the number of
	// the next entry to write; it is set before the first Step. The zero value
	// of the unexported fields is ready to use.
	Writer struct {
		Shard    int
		Epoch    uint64
		Owner    string
		Next     uint64
		Interval time.Duration // minimum time between two creations
		Rand     func() uint64 // for nonces and jitter

		queued           []queued
		uncommittedBytes int    // size of the queued records and those in flight
		seq              uint64 // of the newest record added
		pieceID          uint64 // last id given to record.Units to join a record's pieces
		inFlight         *inFlight
		lastCreated      time.Time // when the newest entry was created
		retryAt          time.Time
		backoff          time.Duration
		firstSent        time.Time // when the entry in flight was first sent
		fenced           bool
	}

	// Message is an input of Writer.
	Message interface{ message() }

	// CreateDone reports the outcome of a Create.
	CreateDone struct {
		Number  uint64
		Outcome Outcome
	}

	// Found reports the entry that was read back.
	Found struct{ Entry record.Entry }

	// Absent reports that the entry to be read back doesn't exist.
	Absent struct{ Number uint64 }

	// ReadFailed reports that the entry could not be read back.
	ReadFailed struct{ Number uint64 }

	// Tick makes Step send what is due.
	Tick struct{}

	// Effect is an action that Writer asks for.
	Effect interface{ effect() }

	// Create writes the entry if it doesn't exist; the answer is CreateDone.
	Create struct {
		Key    string
		Number uint64
		Data   []byte
	}

	// Read reads the entry back; the answer is Found, Absent or ReadFailed.
	Read struct {
		Key    string
		Number uint64
	}

	// Committed reports that entry Number is in the journal. Seq is the newest
	// record that ends in it, or 0 if none does; all records up to Seq are in
	// the journal. RecordBoundary reports that no record is split between this
	// entry and the next, so that a snapshot may be taken here.
	Committed struct {
		Number         uint64
		Seq            uint64
		RecordBoundary bool
	}

	// Fenced reports that another owner has taken the shard over, as seen in
	// its entry. Nothing more is written.
	Fenced struct {
		Number uint64
		Epoch  uint64
		Owner  string
	}

	queued struct {
		unit record.Unit
		seq  uint64 // zero for all pieces but a record's last
	}

	inFlight struct {
		number         uint64
		nonce          uint64
		data           []byte
		size           int
		seq            uint64
		recordBoundary bool
		awaitingStore  bool // a call to the store is in progress
		readBack       bool // the next call must read the entry back
	}
)

func (CreateDone) message() {}
func (Found) message()      {}
func (Absent) message()     {}
func (ReadFailed) message() {}
func (Tick) message()       {}

func (Create) effect()    {}
func (Read) effect()      {}
func (Committed) effect() {}
func (Fenced) effect()    {}

// Key returns the store's key of a journal entry.
func Key(shard int, n uint64) string { return fmt.Sprintf("journal/%04d/%016d", shard, n) }

// Add queues a record and returns its sequence number. The record is in the
// journal once a Committed has this Seq or a higher one.
func (w *Writer) Add(r record.Record) (seq uint64, err error) {
	w.pieceID++
	us, err := record.Units(r, w.pieceID)
	if err != nil {
		return 0, err
	}
	w.seq++
	for i, u := range us {
		q := queued{unit: u}
		if i == len(us)-1 {
			q.seq = w.seq
		}
		w.queued = append(w.queued, q)
		w.uncommittedBytes += len(u)
	}
	return w.seq, nil
}

// Withdraw removes a queued record, so that it never becomes complete in the
// journal, and reports whether it did. A record of several pieces is usually not
// withdrawn; if it is, a piece may be in the journal already.
func (w *Writer) Withdraw(seq uint64) bool {
	for i, q := range w.queued {
		if q.seq != seq {
			continue
		}
		if i > 0 && w.queued[i-1].seq == 0 || i == 0 && w.inFlight != nil && w.inFlight.seq == 0 {
			return false // the record has several pieces, and some may have been sent
		}
		w.uncommittedBytes -= len(q.unit)
		w.queued = append(w.queued[:i], w.queued[i+1:]...)
		return true
	}
	return false
}

// UncommittedBytes returns the size of the records that are not committed yet.
func (w *Writer) UncommittedBytes() int { return w.uncommittedBytes }

// Idle reports whether every record added is in the journal.
func (w *Writer) Idle() bool { return len(w.queued) == 0 && w.inFlight == nil }

// StalledFor returns how long the entry in flight has been waiting for the store,
// or zero without one. An owner uses it to detect that the store is down.
func (w *Writer) StalledFor(now time.Time) time.Duration {
	if w.inFlight == nil {
		return 0
	}
	return now.Sub(w.firstSent)
}

// Step applies one message. Call it with Tick after Add.
func (w *Writer) Step(now time.Time, m Message) []Effect {
	if w.fenced {
		return nil
	}
	switch m := m.(type) {
	case CreateDone:
		return w.createDone(now, m)
	case Found:
		return w.found(now, m.Entry)
	case Absent:
		if w.awaiting(m.Number) {
			w.inFlight.awaitingStore, w.inFlight.readBack = false, false
		}
	case ReadFailed:
		if w.awaiting(m.Number) {
			w.inFlight.awaitingStore = false
			w.backOff(now)
		}
	}
	return w.send(now)
}

func (w *Writer) awaiting(n uint64) bool {
	return w.inFlight != nil && w.inFlight.number == n && w.inFlight.awaitingStore
}

func (w *Writer) createDone(now time.Time, m CreateDone) []Effect {
	if !w.awaiting(m.Number) {
		return nil
	}
	w.inFlight.awaitingStore = false
	switch m.Outcome {
	case Created:
		return w.commit(now)
	case Exists, Unknown:
		// Exists may refer to the writer's own entry, created by an attempt
		// whose answer was lost; treating it as another owner's would give up
		// a shard that this daemon owns.
		w.inFlight.readBack = true
		if m.Outcome == Unknown {
			w.backOff(now)
		}
	case Unavailable:
		w.backOff(now)
	}
	return w.send(now)
}

func (w *Writer) found(now time.Time, e record.Entry) []Effect {
	if !w.awaiting(e.Number) {
		return nil
	}
	w.inFlight.awaitingStore = false
	if e.Nonce == w.inFlight.nonce && e.Epoch == w.Epoch {
		return w.commit(now)
	}
	w.fenced = true
	return []Effect{Fenced{Number: e.Number, Epoch: e.Epoch, Owner: e.Owner}}
}

func (w *Writer) commit(now time.Time) []Effect {
	f := w.inFlight
	w.inFlight = nil
	w.uncommittedBytes -= f.size
	w.Next = f.number + 1
	w.lastCreated, w.backoff, w.retryAt = now, 0, time.Time{}
	effs := []Effect{Committed{Number: f.number, Seq: f.seq, RecordBoundary: f.recordBoundary}}
	return append(effs, w.send(now)...)
}

// backOff delays the next call, with jitter, so that the owners of all shards
// don't retry at a recovering store at the same moment.
func (w *Writer) backOff(now time.Time) {
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	w.retryAt = now.Add(w.backoff/2 + time.Duration(w.Rand()%uint64(w.backoff)))
}

func (w *Writer) send(now time.Time) []Effect {
	if w.inFlight == nil && !w.buildEntry(now) {
		return nil
	}
	f := w.inFlight
	if f.awaitingStore || now.Before(w.retryAt) {
		return nil
	}
	f.awaitingStore = true
	key := Key(w.Shard, f.number)
	if f.readBack {
		return []Effect{Read{Key: key, Number: f.number}}
	}
	return []Effect{Create{Key: key, Number: f.number, Data: f.data}}
}

// buildEntry makes the next entry from the queued records. Its bytes must not
// change afterwards: a creation whose answer was lost may still take effect later.
func (w *Writer) buildEntry(now time.Time) bool {
	if len(w.queued) == 0 || now.Before(w.lastCreated.Add(w.Interval)) {
		return false
	}
	f := &inFlight{number: w.Next, nonce: w.Rand()}
	e := record.Entry{Shard: w.Shard, Number: w.Next, Epoch: w.Epoch, Nonce: f.nonce, Owner: w.Owner}
	n := 0
	for n < len(w.queued) && (n == 0 || f.size+len(w.queued[n].unit) <= record.MaxUnits) {
		q := w.queued[n]
		e.Units = append(e.Units, q.unit)
		f.size += len(q.unit)
		f.recordBoundary = q.seq != 0
		if q.seq != 0 {
			f.seq = q.seq
		}
		n++
	}
	w.queued = append([]queued(nil), w.queued[n:]...)
	data, err := e.Encode()
	if err != nil {
		// Units are valid CBOR by construction, so no input leads here; losing
		// records silently would be worse than a crash.
		panic(err)
	}
	f.data = data
	w.inFlight, w.firstSent = f, now
	return true
}
