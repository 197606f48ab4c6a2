// Package state rebuilds a shard's programs from the records of its journal.
//
// Fold is the durable state, computed by applying records in journal order.
// The same records in the same order always give the same Fold, whether they
// are replayed from the journal at a takeover or committed by the owner itself.
// The owner keeps the calls in progress separately, and a snapshot is a
// serialized Fold. The texts of calls stay in the journal or, if they are long,
// in data folders; a program keeps the numbers of the entries with its records.
package state

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	// MaxCachedBody is the largest answer, in bytes, that is kept in memory for
	// a repeat of a program's last call; a larger one is read from the journal or from data folders.
	MaxCachedBody = 16 << 10
)

type (
	// Program is the durable part of one program.
	Program struct {
		Open         call.Open         `json:"open"`
		Budget       int64             `json:"budget"`
		Priority     int               `json:"priority"`
		Reserved     int64             `json:"reserved"` // tokens of a root's budget, in total
		Spent        int64             `json:"spent"`    // tokens; of a root, with its sub-agents
		Config       uint64            `json:"config"`
		Opened       time.Time         `json:"opened"`
		LastActive   time.Time         `json:"active"`            // last activity: opened, a call's start or end, closed
		Next         int               `json:"next"`              // one above the newest call that ended in order
		Turns        int               `json:"turns"`             // calls that ended in order, without those that did not run
		Last         hist.Call         `json:"last"`              // newest call that ended in order, without request text
		Final        bool              `json:"final"`             // a repeat of Last gets the same outcome and is not run
		BodyDropped  bool              `json:"dropped"`           // the answer of Last is not in memory
		Intents      map[int]hist.Call `json:"intents,omitempty"` // by call number; without an outcome so far
		Moved        *record.Moved     `json:"moved,omitempty"`   // a call with an attempt in flight at a handover
		Conversation Size              `json:"size"`
		Engines      []string          `json:"engines,omitempty"`  // upstreams of its model calls; may hold KV cache for it
		Entries      []uint64          `json:"entries,omitempty"`  // journal entries with its records
		Segments     []uint64          `json:"segments,omitempty"` // of the compacted journal
		Closed       string            `json:"closed,omitempty"`   // how the program ended; empty while open
	}

	// Size is the length of the conversation at the newest successful model
	// call.
	Size struct {
		Prompt int `json:"prompt"` // tokens, as counted by the engine
		Output int `json:"output"`
		Bytes  int `json:"bytes"` // size of the request's body
	}

	// Text is a text in data folders. Entry is the newest journal entry that
	// refers to it.
	Text struct {
		Blob  hist.Blob
		Entry uint64
	}

	// Fold is the durable state of a shard after applying all entries up to and
	// including Upto.
	Fold struct {
		Upto     uint64              `json:"upto"`
		Epoch    uint64              `json:"epoch"`
		Owner    string              `json:"owner"`
		Programs map[string]*Program `json:"programs"`

		// Texts holds, by digest, the texts in data folders that entries after
		// the newest snapshot refer to. SnapshotTexts holds those that the
		// snapshot listed when it was loaded. SnapshotTexts is read once, at a
		// takeover, to restore missing copies. The owner then clears it, since
		// it grows with the history.
		Texts         map[string]Text      `json:"-"`
		SnapshotTexts map[string]hist.Blob `json:"-"`

		// Gone holds the root programs that were removed from memory because
		// they and all their sub-agents had ended. The key is Hash of the root.
		// The value is the position, in the snapshot's list of index values, of
		// the one that lists the journal entries of the root and its sub-agents.
		Gone map[uint64]uint32 `json:"-"`
	}
)

// Hash identifies a program's family, a root with all its sub-agents, in
// Fold.Gone and in request ids.
func Hash(program string) uint64 { return xxhash.Sum64String(call.Root(program)) }

// Apply applies a record of entry n. A record of a program that was never
// opened is an error: it means that the journal was altered.
func (f *Fold) Apply(n uint64, r record.Record) error {
	if f.Programs == nil {
		f.Programs = map[string]*Program{}
	}
	f.Upto = max(f.Upto, n)
	switch r := r.(type) {
	case record.Acquired:
		f.Epoch, f.Owner = r.Epoch, r.Owner
		return nil
	case record.Holders:
		f.addTextRef(n, &r.Blob)
		return nil
	case record.Opened:
		f.open(r)
	}
	p := f.Programs[r.Subject()]
	if p == nil {
		return fmt.Errorf("state: entry %d: %T of unknown program %q", n, r, r.Subject())
	}
	if l := len(p.Entries); l == 0 || p.Entries[l-1] != n {
		p.Entries = append(p.Entries, n)
	}
	f.apply(p, r)
	return nil
}

func (f *Fold) open(r record.Opened) {
	if f.Programs[r.Open.Program] != nil {
		return
	}
	f.Programs[r.Open.Program] = &Program{
		Open:       r.Open,
		Budget:     r.Budget,
		Priority:   r.Priority,
		Reserved:   r.Reserved,
		Config:     r.Config,
		Opened:     r.At,
		LastActive: r.At,
	}
}

func (f *Fold) apply(p *Program, r record.Record) {
	switch r := r.(type) {
	case record.Reserved:
		p.Reserved = r.Total
	case record.Intent:
		if p.Intents == nil {
			p.Intents = map[int]hist.Call{}
		}
		p.Intents[r.Call.Number] = r.Call
		p.LastActive = r.Call.Start
	case record.Moved:
		p.Moved = &r
	case record.Ended:
		if p.Moved != nil && p.Moved.Call.Request == r.Call.Request {
			p.Moved = nil
		}
		f.addTextRef(p.Entries[len(p.Entries)-1], r.Call.AskedBlob)
		f.addTextRef(p.Entries[len(p.Entries)-1], r.Call.AnswerBlob)
		p.applyEnded(r)
		if root := f.Programs[call.Root(r.Program)]; root != nil {
			root.Spent += r.Tokens
		}
	case record.Closed:
		p.Closed = r.Code
		p.LastActive = r.At
	}
}

// addTextRef records that entry n refers to a text or changes its holders.
func (f *Fold) addTextRef(n uint64, b *hist.Blob) {
	if b == nil {
		return
	}
	if f.Texts == nil {
		f.Texts = map[string]Text{}
	}
	f.Texts[b.Digest] = Text{Blob: *b, Entry: n}
}

// DropTexts removes the texts that a snapshot up to entry upto lists.
func (f *Fold) DropTexts(upto uint64) {
	maps.DeleteFunc(f.Texts, func(_ string, t Text) bool { return t.Entry <= upto })
}

// Known calls each once for every text that the journal refers to. After the owner
// has cleared SnapshotTexts, it covers only the texts that entries after the newest
// snapshot refer to.
func (f *Fold) Known(each func(b hist.Blob)) {
	for digest, b := range f.SnapshotTexts {
		if _, newer := f.Texts[digest]; !newer {
			each(b)
		}
	}
	for _, t := range f.Texts {
		each(t.Blob)
	}
}

func (p *Program) applyEnded(r record.Ended) {
	c := r.Call
	delete(p.Intents, c.Number)
	p.LastActive = c.End
	p.addEngines(c)
	if !r.InOrder {
		return
	}
	if c.Result.Ran != result.No {
		p.Turns++
	}
	p.Next = c.Number + 1
	p.Last, p.Final, p.BodyDropped = c, r.Final, false
	p.Last.Asked, p.Last.AskedBlob = "", nil
	if len(c.Result.Body) > MaxCachedBody || c.AnswerBlob != nil {
		p.Last.Result.Body, p.BodyDropped = nil, true
	}
	if c.Kind == call.Model && c.Result.OK() {
		p.Conversation = Size{Prompt: c.Result.Prompt, Output: c.Result.Output, Bytes: c.Size}
	}
}

// addEngines adds the upstreams of a model call's attempts. When the program ends,
// the shard's owner orders all of them to free the memory that they hold for the
// program, including those selected by former owners.
func (p *Program) addEngines(c hist.Call) {
	if c.Kind != call.Model {
		return
	}
	for _, t := range c.Tries {
		if t.Upstream != "" && !slices.Contains(p.Engines, t.Upstream) {
			p.Engines = append(p.Engines, t.Upstream)
		}
	}
}

// Clone returns a copy that later changes of f don't affect, and the other way
// round. The copy has no SnapshotTexts and no Gone.
func (f *Fold) Clone() Fold {
	c := *f
	c.Programs = make(map[string]*Program, len(f.Programs))
	for id, p := range f.Programs {
		q := *p
		q.Entries = append([]uint64(nil), p.Entries...)
		q.Engines = slices.Clone(p.Engines)
		q.Intents = maps.Clone(p.Intents)
		c.Programs[id] = &q
	}
	c.Texts = maps.Clone(f.Texts)
	c.SnapshotTexts, c.Gone = nil, nil
	return c
}

// CompleteUpTo reports whether the program has ended, has no Intent or Moved call
// without an outcome, and has all its records in entries up to upto.
func (p *Program) CompleteUpTo(upto uint64) bool {
	return p.Closed != "" && len(p.Intents) == 0 && p.Moved == nil && p.Entries[len(p.Entries)-1] <= upto
}
