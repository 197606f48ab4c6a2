// Package state folds a shard's journal into the programs it tells of.
//
// Fold is what is durable: the same records in the same order always give the
// same Fold, whether they come from the journal at a takeover or from the
// owner's own commits. The owner keeps what is under way beside it, and a
// snapshot is a Fold written out. Texts stay in the journal; a program
// remembers which entries hold its records.
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
	// KeepBody is the largest answer, in bytes, that stays in memory for a
	// repeat of a program's last call; a larger one is read from the journal.
	MaxCachedBody = 16 << 10
)

type (
	// Program is the durable part of one program.
	Program struct {
		Open        call.Open         `json:"open"`
		Budget      int64             `json:"budget"`
		Priority    int               `json:"priority"`
		Reserved    int64             `json:"reserved"`
		Spent       int64             `json:"spent"`
		Config      uint64            `json:"config"`
		Opened      time.Time         `json:"opened"`
		Active      time.Time         `json:"active"`
		Next        int               `json:"next"`  // one above the highest call that ended
		Turns       int               `json:"turns"` // calls that ended
		Last        hist.Call         `json:"last"`  // the newest outcome, without the question
		Final       bool              `json:"final"` // a repeat of Last doesn't run
		BodyDropped bool              `json:"dropped"`
		Intents     map[int]hist.Call `json:"intents,omitempty"` // by call number; no outcome yet
		Moved       *record.Moved     `json:"moved,omitempty"`   // its attempt was under way at a handover
		Tokens      Size              `json:"size"`
		Engines     []string          `json:"engines,omitempty"`  // that ran its model calls, and may hold memory for it
		Entries     []uint64          `json:"entries,omitempty"`  // journal entries
		Segments    []uint64          `json:"segments,omitempty"` // compacted journal
		Closed      string            `json:"closed,omitempty"`
	}

	// Size is the length of the conversation at the newest model call.
	Size struct {
		Prompt int `json:"prompt"` // tokens, as the engine counted
		Output int `json:"output"`
		Bytes  int `json:"bytes"` // of the request's body
	}

	// Text is a text in data folders. Entry is the journal entry that told of
	// it last.
	Text struct {
		Blob  hist.Blob
		Entry uint64
	}

	// Fold is the durable state of a shard up to and with entry Upto.
	Fold struct {
		Upto     uint64              `json:"upto"`
		Epoch    uint64              `json:"epoch"`
		Owner    string              `json:"owner"`
		Programs map[string]*Program `json:"programs"`

		// Texts has the texts in data folders that records after the newest
		// snapshot refer to, by digest, and Older those that the snapshot
		// named when it was loaded. Older serves a takeover alone: whoever
		// looks after the texts takes them from it, and an owner that goes on
		// without it holds no list that grows with the history.
		Texts         map[string]Text      `json:"-"`
		SnapshotTexts map[string]hist.Blob `json:"-"`

		// Gone has the hash of each root program that ended and left memory
		// with all its sub-agents, and the position of the index value that
		// knows the family's journal entries.
		Gone map[uint64]uint32 `json:"-"`
	}
)

// Hash is the number under which an ended family is remembered, and by which
// request ids name the family.
func Hash(program string) uint64 { return xxhash.Sum64String(call.Root(program)) }

// Apply adds a record that entry n holds. A record that can't follow on what
// is known is an error: it means that the journal was altered.
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
		Open:     r.Open,
		Budget:   r.Budget,
		Priority: r.Priority,
		Reserved: r.Reserved,
		Config:   r.Config,
		Opened:   r.At,
		Active:   r.At,
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
		p.Active = r.Call.Start
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
		p.Active = r.At
	}
}

// refer notes that entry n refers to a text, or has new holders of it.
func (f *Fold) addTextRef(n uint64, b *hist.Blob) {
	if b == nil {
		return
	}
	if f.Texts == nil {
		f.Texts = map[string]Text{}
	}
	f.Texts[b.Digest] = Text{Blob: *b, Entry: n}
}

// Named forgets the texts that a snapshot up to entry upto names.
func (f *Fold) DropTexts(upto uint64) {
	maps.DeleteFunc(f.Texts, func(_ string, t Text) bool { return t.Entry <= upto })
}

// Known calls each for every text that the journal refers to, each text once.
// It is complete only before Older is let go.
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
	p.Active = c.End
	p.addEngines(c)
	if !r.Head {
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
		p.Tokens = Size{Prompt: c.Result.Prompt, Output: c.Result.Output, Bytes: c.Size}
	}
}

// ran notes which engines ran a call. Whoever owns the program when it ends has them free
// its memory, whichever daemon chose them.
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

// Clone returns a copy that shares nothing with f that either changes later.
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

// Settled reports whether the program has ended with all its records in
// entries up to upto.
func (p *Program) ClosedBy(upto uint64) bool {
	return p.Closed != "" && len(p.Intents) == 0 && p.Moved == nil && p.Entries[len(p.Entries)-1] <= upto
}
