// Package histio reads the histories of programs from a shard's journal.
//
// A program's state lists the journal entries that hold its records. Reader reads
// those entries and builds a hist.History from them. Leading messages that a
// model call has in common with the program's newest answered one are recorded
// with earlier calls only. Texts that are in data folders are read from there.
package histio

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/plat/store"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/shard/jrnl"
)

type (
	// Reader reads histories from the journal of one shard.
	Reader struct {
		Store store.Store
		Shard int
		// ReadText reads a text from the data folders; nil if no data folder
		// is known.
		ReadText func(ctx context.Context, b hist.Blob) ([]byte, error)
	}
)

// maxConcurrentReads limits the texts of a history that are read at a time.
const maxConcurrentReads = 8

var errNoDataFolder = errors.New("no data folder is known")

// Histories reads the histories of the programs in the map and of those opened in
// pending, sorted by program id. The map has each program's journal entries; pending
// holds further records, which are newer than all entries.
func (p Reader) Histories(ctx context.Context, programs map[string][]uint64, pending []record.Record) (hs []hist.History, err error) {
	defer func() { err = errors.Wrapf(err, "histio: read histories of shard %d", p.Shard) }()
	var numbers []uint64
	for _, ns := range programs {
		numbers = append(numbers, ns...)
	}
	slices.Sort(numbers)
	histories := map[string]*hist.History{}
	for _, n := range slices.Compact(numbers) {
		rs, err := p.entry(ctx, n)
		if err != nil {
			return nil, err
		}
		for _, r := range rs {
			if _, ok := programs[r.Subject()]; ok {
				applyRecord(histories, r)
			}
		}
	}
	for _, r := range pending {
		applyRecord(histories, r)
	}
	for _, h := range histories {
		hs = append(hs, *h)
	}
	slices.SortFunc(hs, func(a, b hist.History) int {
		if a.Program < b.Program {
			return -1
		}
		return 1
	})
	return hs, nil
}

// Fill reads the texts of the history's calls that are in data folders. A call
// whose text can't be read now gets a Note, so that a support engineer does not
// take the missing text for an empty one.
func (p Reader) Fill(ctx context.Context, h *hist.History) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentReads)
	h.Calls = slices.Clone(h.Calls)
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.AskedBlob == nil && c.AnswerBlob == nil {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			p.fill(ctx, c)
			<-slots
		})
	}
	wg.Wait()
}

func (p Reader) fill(ctx context.Context, c *hist.Call) {
	if c.AskedBlob != nil {
		text, err := p.text(ctx, *c.AskedBlob)
		c.Asked = string(text)
		addNote(c, "question", *c.AskedBlob, err)
	}
	if c.AnswerBlob != nil {
		text, err := p.text(ctx, *c.AnswerBlob)
		c.Result.Body = text
		addNote(c, "answer", *c.AnswerBlob, err)
	}
}

func addNote(c *hist.Call, kind string, b hist.Blob, err error) {
	if err == nil {
		return
	}
	if c.Note != "" {
		c.Note += "; "
	}
	c.Note += fmt.Sprintf("the %s (%d bytes, SHA-256 %s) can't be read now", kind, b.Size, b.Digest)
}

func (p Reader) text(ctx context.Context, b hist.Blob) ([]byte, error) {
	if p.ReadText == nil {
		return nil, errNoDataFolder
	}
	return p.ReadText(ctx, b)
}

// Call reads the newest outcome of one call from the program's journal entries,
// with its answer. It returns false if there is no outcome, or only one that is
// not final and thus must not answer a repeat. An answer that can't be read now
// is an error.
func (p Reader) Call(ctx context.Context, program string, number int, entries []uint64) (c hist.Call, ok bool, err error) {
	defer func() { err = errors.Wrapf(err, "histio: read call %d of program %s", number, program) }()
	for _, n := range slices.Backward(entries) {
		rs, err := p.entry(ctx, n)
		if err != nil {
			return c, false, err
		}
		for _, r := range slices.Backward(rs) {
			if e, is := r.(record.Ended); is && e.Program == program && e.Call.Number == number {
				return p.withAnswer(ctx, e)
			}
		}
	}
	return c, false, nil
}

func (p Reader) withAnswer(ctx context.Context, e record.Ended) (c hist.Call, ok bool, err error) {
	c = e.Call
	if c.AnswerBlob != nil {
		c.Result.Body, err = p.text(ctx, *c.AnswerBlob)
	}
	return c, e.Final, err
}

// entry returns the records that end in an entry. A large record may begin in
// earlier entries, which are read as well.
func (p Reader) entry(ctx context.Context, n uint64) ([]record.Record, error) {
	chained, err := p.chained(ctx, n)
	if err != nil {
		return nil, err
	}
	var j record.Reassembler
	var rs []record.Record
	for _, e := range chained {
		if rs, err = j.Records(e); err != nil {
			return nil, err
		}
	}
	return rs, nil
}

// chained reads an entry and the earlier ones in which its first record begins,
// oldest first.
func (p Reader) chained(ctx context.Context, n uint64) (es []record.Entry, err error) {
	for {
		v, err := p.Store.Get(ctx, jrnl.Key(p.Shard, n))
		if err != nil {
			return nil, err
		}
		e, err := record.Decode(v.Data)
		if err != nil {
			return nil, err
		}
		es = append([]record.Entry{e}, es...)
		if !e.Continues() || n == 0 {
			return es, nil
		}
		n--
	}
}

// applyRecord adds a record to its program's history. Records of a program without
// an Opened are ignored.
func applyRecord(histories map[string]*hist.History, r record.Record) {
	if o, ok := r.(record.Opened); ok {
		histories[o.Open.Program] = &hist.History{
			Program:  o.Open.Program,
			Account:  o.Open.Account,
			Agent:    o.Open.Agent,
			Parent:   o.Open.Parent,
			Priority: o.Priority,
			Budget:   o.Budget,
			Opened:   o.At,
		}
		return
	}
	h := histories[r.Subject()]
	if h == nil {
		return
	}
	switch r := r.(type) {
	case record.Intent:
		h.Calls = append(h.Calls, r.Call)
	case record.Ended:
		h.Spent += r.Tokens
		h.Calls = slices.DeleteFunc(h.Calls, func(c hist.Call) bool {
			return c.Request == r.Call.Request && c.Result.Code == ""
		})
		h.Calls = append(h.Calls, r.Call)
	case record.Closed:
		h.Ended, h.EndedAt = r.Code, r.At
	}
}
