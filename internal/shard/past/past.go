// Package past reads histories from the journal.
//
// A program's state lists the journal entries that hold its records. Past reads
// those entries and tells them as a history; texts that a model call shares
// with the one before it stay out, as they stand in the earlier call. Texts
// that are in data folders are read from there.
package past

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
	// Past reads the journal of one shard.
	Past struct {
		Store store.Store
		Shard int
		// Text reads a text from the data folders; nil if they can't be
		// reached.
		Text func(ctx context.Context, b hist.Blob) ([]byte, error)
	}
)

// readers is how many texts of a history are read at a time.
const readers = 8

var errNoFolders = errors.New("no data folder is known")

// Family reads the histories of the programs whose journal entries are given,
// by program id. Pending are further records, newer than all entries.
func (p Past) Family(ctx context.Context, programs map[string][]uint64, pending []record.Record) (hs []hist.History, err error) {
	defer func() { err = errors.Wrapf(err, "past: shard %d", p.Shard) }()
	var numbers []uint64
	for _, ns := range programs {
		numbers = append(numbers, ns...)
	}
	slices.Sort(numbers)
	by := map[string]*hist.History{}
	for _, n := range slices.Compact(numbers) {
		rs, err := p.entry(ctx, n)
		if err != nil {
			return nil, err
		}
		for _, r := range rs {
			if _, ok := programs[r.Subject()]; ok {
				tell(by, r)
			}
		}
	}
	for _, r := range pending {
		tell(by, r)
	}
	for _, h := range by {
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
// whose text can't be read now gets a note: that is still all that is known of
// the call, and a support engineer must not take it for an empty answer.
func (p Past) Fill(ctx context.Context, h *hist.History) {
	var work sync.WaitGroup
	slots := make(chan struct{}, readers)
	h.Calls = slices.Clone(h.Calls)
	for i := range h.Calls {
		c := &h.Calls[i]
		if c.AskedIn == nil && c.AnswerIn == nil {
			continue
		}
		slots <- struct{}{}
		work.Go(func() {
			p.fill(ctx, c)
			<-slots
		})
	}
	work.Wait()
}

func (p Past) fill(ctx context.Context, c *hist.Call) {
	if c.AskedIn != nil {
		text, err := p.text(ctx, *c.AskedIn)
		c.Asked = string(text)
		note(c, "question", *c.AskedIn, err)
	}
	if c.AnswerIn != nil {
		text, err := p.text(ctx, *c.AnswerIn)
		c.Result.Body = text
		note(c, "answer", *c.AnswerIn, err)
	}
}

func note(c *hist.Call, what string, b hist.Blob, err error) {
	if err == nil {
		return
	}
	if c.Note != "" {
		c.Note += "; "
	}
	c.Note += fmt.Sprintf("the %s (%d bytes, SHA-256 %s) can't be read now", what, b.Size, b.Digest)
}

func (p Past) text(ctx context.Context, b hist.Blob) ([]byte, error) {
	if p.Text == nil {
		return nil, errNoFolders
	}
	return p.Text(ctx, b)
}

// Call reads the newest outcome of one call, with its answer; false if there is
// none that a repeat may be answered with. An answer that can't be read now is
// an error.
func (p Past) Call(ctx context.Context, program string, number int, entries []uint64) (c hist.Call, ok bool, err error) {
	defer func() { err = errors.Wrapf(err, "past: call %d of %s", number, program) }()
	for _, n := range slices.Backward(entries) {
		rs, err := p.entry(ctx, n)
		if err != nil {
			return c, false, err
		}
		for _, r := range slices.Backward(rs) {
			if e, is := r.(record.Ended); is && e.Program == program && e.Call.Number == number {
				return p.answered(ctx, e)
			}
		}
	}
	return c, false, nil
}

func (p Past) answered(ctx context.Context, e record.Ended) (c hist.Call, ok bool, err error) {
	c = e.Call
	if c.AnswerIn != nil {
		c.Result.Body, err = p.text(ctx, *c.AnswerIn)
	}
	return c, e.Final, err
}

// entry reads the records that an entry completes. A large record begins in an
// earlier entry, so those before it are read as far as needed.
func (p Past) entry(ctx context.Context, n uint64) ([]record.Record, error) {
	chained, err := p.chained(ctx, n)
	if err != nil {
		return nil, err
	}
	var j record.Joiner
	var rs []record.Record
	for _, e := range chained {
		if rs, err = j.Records(e); err != nil {
			return nil, err
		}
	}
	return rs, nil
}

func (p Past) chained(ctx context.Context, n uint64) (es []record.Entry, err error) {
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

func tell(by map[string]*hist.History, r record.Record) {
	if o, ok := r.(record.Opened); ok {
		by[o.Open.Program] = &hist.History{
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
	h := by[r.Subject()]
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
