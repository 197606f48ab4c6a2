// Package holder keeps durable records on one VM's disk for the daemons that
// serve callers: it appends what they write, answers what they read, and lets
// another holder copy everything.
//
// A holder decides nothing about budgets or turns. It acknowledges a record once
// it is synced, and tells what it knows. What it refuses are requests made under
// a roster older than the newest it has heard of: they may come from a daemon
// that doesn't know that another disk has taken a place.
package holder

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/book"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/disk/seglog"
	"github.com/slaterock/slaterock/internal/peer/link"
)

const (
	// pageSize bounds one answer of a pull, in bytes. It takes 20 ms on the
	// slowest link, so requests that share it are hardly delayed.
	pageSize = 256 << 10
	// lightPage is how much of the log is looked through for one answer without
	// texts, in bytes, which is a fiftieth of that.
	lightPage = 1 << 20
	// lateCopy is the age beyond its keeping time after which a segment's last
	// live records are copied forward, so that the segment can be dropped.
	lateCopy = 10 * time.Second
	// fullShare is the part of the disk that records may fill.
	fullShare = 0.85
)

// Holder keeps records. Set the exported fields, then call Open.
type Holder struct {
	Dir      string
	Capacity int64 // bytes of the disk; 0 is unbounded
	Now      func() time.Time

	log  seglog.Log
	life string

	mu      sync.Mutex
	book    book.Book
	known   uint64 // newest roster's version heard of
	roster  roster.Roster
	longest time.Duration // that any record is to be kept
	frozen  bool          // no new records, because this VM is to be emptied
}

// Open reads the records. Blank tells that the disk was empty.
func (h *Holder) Open() (blank bool, err error) {
	defer func() { err = errors.Wrap(err, "open holder") }()
	if h.Now == nil {
		h.Now = time.Now
	}
	if h.life, blank, err = identify(h.Dir); err != nil {
		return false, err
	}
	h.log.Dir = h.Dir
	now := h.Now()
	var torn error
	err = h.log.Open(func(pos seglog.Pos, data []byte) {
		r, err := book.Decode(data)
		if err != nil {
			torn = errors.CombineErrors(torn, err)
			return
		}
		h.apply(r, pos, now)
	})
	return blank, errors.CombineErrors(err, torn)
}

// Life names the disk.
func (h *Holder) Life() string { return h.life }

// Close ends the holder after what waits was written.
func (h *Holder) Close() error { return h.log.Close() }

// Register offers the holder's methods over the link.
func (h *Holder) Register(l *link.Link) {
	for name, do := range h.methods() {
		l.Handle(name, do)
	}
}

// Serve answers one call of another daemon.
func (h *Holder) Serve(ctx context.Context, method string, params json.RawMessage) (any, error) {
	do := h.methods()[method]
	if do == nil {
		return nil, errors.Newf("no method %s", method)
	}
	return do(ctx, params)
}

func (h *Holder) methods() map[string]link.Handler {
	return map[string]link.Handler{
		MethodWrite: link.Answer(h.Write),
		MethodRead:  link.Answer(h.Read),
		MethodPull:  link.Answer(h.Pull),
		MethodFill:  link.Answer(h.takeFill),
		MethodLife:  link.Answer(func(context.Context, struct{}) (string, error) { return h.life, nil }),
	}
}

// Learn takes a roster that this daemon has read.
func (h *Holder) Learn(r roster.Roster) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r.Version > h.roster.Version {
		h.roster = r
	}
	h.fence(r.Version)
}

// fence refuses older rosters from now on, also after a restart.
func (h *Holder) fence(version uint64) {
	if version <= h.known {
		return
	}
	h.known = version
	data, err := book.Record{Fence: version}.Encode()
	if err == nil {
		h.log.Append(data, func(seglog.Pos, error) {})
	}
}

// admit checks whom a request means.
func (h *Holder) admit(s Stamp) Refusal {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.check(s)
}

func (h *Holder) check(s Stamp) Refusal {
	if s.Life != "" && s.Life != h.life {
		return h.refuse(CodeOther)
	}
	if s.Version < h.known {
		return h.refuse(CodeStale)
	}
	h.fence(s.Version)
	return Refusal{}
}

func (h *Holder) refuse(code string) Refusal {
	r := Refusal{Code: code, Version: h.known}
	if h.roster.Version > 0 {
		r.Roster, _ = h.roster.Encode() // plain fields always encode
	}
	return r
}

// Write makes a record durable and tells what is known of its program.
func (h *Holder) Write(ctx context.Context, a WriteAsk) (reply WriteReply, err error) {
	data, err := a.Record.Encode()
	if err != nil {
		return WriteReply{}, err
	}
	done := make(chan error, 1)
	if reply.Refusal = h.take(a, data, done); reply.Refusal.Code != "" {
		return reply, nil
	}
	if err = await(ctx, done); err != nil {
		return WriteReply{}, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	reply.Shares = h.book.Shares(a.Record.Program)
	return reply, nil
}

// take appends a record unless it must be refused. What refuses and the append
// are one step: a record that was let in just before a copy of this disk began,
// or before the disk was frozen to be emptied, and that came into the log after
// it, would be acknowledged here and lie on no other disk of the new roster.
func (h *Holder) take(a WriteAsk, data []byte, done chan<- error) Refusal {
	h.mu.Lock()
	defer h.mu.Unlock()
	if r := h.check(a.Stamp); r.Code != "" {
		return r
	}
	full := h.Capacity > 0 && float64(h.log.Bytes()) > fullShare*float64(h.Capacity)
	if h.frozen || full {
		return Refusal{Code: CodeFull}
	}
	h.book.Note(a.Record, h.Now())
	h.append(a.Record, data, done)
	return Refusal{}
}

// Freeze refuses new records, or takes them again. Records are then
// acknowledged by the other holders alone.
func (h *Holder) Freeze(on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.frozen = on
}

// store appends a record and waits until it is durable.
func (h *Holder) store(ctx context.Context, r book.Record) error {
	data, err := r.Encode()
	if err != nil {
		return err
	}
	h.mu.Lock()
	h.book.Note(r, h.Now())
	h.mu.Unlock()
	done := make(chan error, 1)
	h.append(r, data, done)
	return await(ctx, done)
}

// append tells done once the record is durable and known.
func (h *Holder) append(r book.Record, data []byte, done chan<- error) {
	h.log.Append(data, func(pos seglog.Pos, err error) {
		if err == nil {
			h.mu.Lock()
			h.apply(r, pos, h.Now())
			h.mu.Unlock()
		}
		done <- err
	})
}

func await(ctx context.Context, done <-chan error) error {
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// apply takes a durable record; h.mu is held, or nobody else knows h yet.
func (h *Holder) apply(r book.Record, pos seglog.Pos, now time.Time) {
	h.known = max(h.known, r.Fence)
	h.longest = max(h.longest, time.Duration(r.Keep)*time.Millisecond)
	h.book.Apply(r, pos, now)
}

// Read returns a turn with its chain.
func (h *Holder) Read(_ context.Context, a ReadAsk) (ReadReply, error) {
	if r := h.admit(a.Stamp); r.Code != "" {
		return ReadReply{Refusal: r}, nil
	}
	h.mu.Lock()
	places, next := h.book.Chain(a.Turn)
	h.mu.Unlock()
	chain := make([]book.Turn, 0, len(places))
	for _, pos := range places {
		data, err := h.log.Read(pos)
		if err != nil {
			return ReadReply{}, err
		}
		r, err := book.Decode(data)
		if err != nil || r.Turn == nil {
			return ReadReply{}, errors.CombineErrors(errors.New("no turn there"), err)
		}
		chain = append(chain, *r.Turn)
	}
	return ReadReply{Chain: chain, Next: next}, nil
}

// Pull tells what is here from a position on, or returns picked records. The
// first ask waits until all that was taken under older rosters is committed: an
// acknowledgement of such a record may still go out, so the puller must see it.
func (h *Holder) Pull(ctx context.Context, a PullAsk) (reply PullReply, err error) {
	if r := h.admit(a.Stamp); r.Code != "" {
		return PullReply{Refusal: r}, nil
	}
	if len(a.Pick) > 0 {
		reply.Records, err = h.pick(a.Pick)
		return reply, err
	}
	if a.First {
		if err = h.barrier(ctx, a.Stamp.Version); err != nil {
			return PullReply{}, err
		}
		reply.End = h.log.End()
	}
	var recs [][]byte
	recs, reply.Places, reply.After, err = h.log.Scan(a.From, lightPage)
	if err != nil {
		return PullReply{}, err
	}
	for _, data := range recs {
		r, err := book.Decode(data)
		if err != nil {
			return PullReply{}, err
		}
		light, err := r.WithoutText().Encode()
		if err != nil {
			return PullReply{}, err
		}
		reply.Records = append(reply.Records, light)
	}
	return reply, nil
}

func (h *Holder) pick(places []seglog.Pos) (recs [][]byte, err error) {
	for _, pos := range places {
		rec, err := h.log.Read(pos)
		if err != nil {
			return nil, err
		}
		recs = append(recs, rec)
	}
	return recs, nil
}

// barrier returns once everything appended before is committed, with the fence.
func (h *Holder) barrier(ctx context.Context, version uint64) error {
	return h.store(ctx, book.Record{Fence: version})
}

func (h *Holder) takeFill(ctx context.Context, a FillAsk) (FillReply, error) {
	if r := h.admit(a.Stamp); r.Code != "" {
		return FillReply{Refusal: r}, nil
	}
	return FillReply{}, h.Fill(ctx, a.Records)
}

// Fill makes a record that was copied from another holder durable.
func (h *Holder) Fill(ctx context.Context, records [][]byte) error {
	var last error
	wait := make(chan error, len(records))
	for _, data := range records {
		r, err := book.Decode(data)
		if err != nil {
			return err
		}
		h.mu.Lock()
		has := h.book.Has(r) // also where it holds no more than the other holder's fence
		h.mu.Unlock()
		if has {
			wait <- nil
			continue
		}
		h.append(r, data, wait)
	}
	for range records {
		last = errors.CombineErrors(last, await(ctx, wait))
	}
	return last
}

// Stats returns the number of programs and turns, and the bytes on disk.
func (h *Holder) Stats() (programs, turns int, bytes int64) {
	h.mu.Lock()
	programs, turns = h.book.Len()
	h.mu.Unlock()
	return programs, turns, h.log.Bytes()
}
