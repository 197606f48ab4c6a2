package quorum

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/book"
	"github.com/slaterock/slaterock/internal/disk/holder"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/peer/link"
)

// world has holders in temporary folders, which are called without a network, and
// may be down, lose a request or an answer, or lose their disk.
type world struct {
	t *testing.T

	mu      sync.Mutex
	holders map[string]*holder.Holder // by address
	down    map[string]bool
	deaf    map[string]bool // does what it is asked, but its answer is lost
	hangs   map[string]bool // says nothing, as behind a cut link
	roster  roster.Roster   // as the store has it
	next    int
	carried int // bytes of copies between holders
}

func newWorld(t *testing.T, n, losses int) *world {
	w := &world{t: t, holders: map[string]*holder.Holder{}, down: map[string]bool{}, deaf: map[string]bool{}, hangs: map[string]bool{}}
	var members []roster.Member
	for range n {
		members = append(members, w.add())
	}
	var ok bool
	w.roster, ok = roster.First(members, losses)
	is.New(t).True(ok)
	return w
}

// add starts a holder with an empty disk.
func (w *world) add() roster.Member {
	w.next++
	name := fmt.Sprintf("n%d", w.next)
	h := &holder.Holder{Dir: w.t.TempDir()}
	_, err := h.Open()
	is.New(w.t).NoErr(err)
	w.t.Cleanup(func() { _ = h.Close() })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holders[name] = h
	return roster.Member{Node: name, Address: name, Domain: name, Life: h.Life()}
}

// restart starts the holder's process again, on the same disk.
func (w *world) restart(name string) {
	w.mu.Lock()
	old := w.holders[name]
	w.mu.Unlock()
	is := is.New(w.t)
	is.NoErr(old.Close())
	h := &holder.Holder{Dir: old.Dir}
	_, err := h.Open()
	is.NoErr(err)
	w.t.Cleanup(func() { _ = h.Close() })
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holders[name] = h
}

func (w *world) set(m map[string]bool, name string, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m[name] = on
}

func (w *world) current() roster.Roster {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.roster
}

// replace gives place i to the member and has it join, as the keeper does.
func (w *world) replace(i int, m roster.Member) error {
	r := w.current()
	r.Version++
	r.Places = append([]roster.Place(nil), r.Places...)
	r.Places[i] = roster.Place{Node: m.Node, Address: m.Address, Domain: m.Domain, Life: m.Life, Joining: true}
	w.mu.Lock()
	w.roster = r
	h := w.holders[m.Address]
	w.mu.Unlock()
	if err := h.Join(context.Background(), r, func(a string) link.Invoker { return way{w, a} }); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.roster = w.roster.WithJoined(m.Life)
	return nil
}

var errDown = errors.New("down")

// way calls a holder.
type way struct {
	w       *world
	address string
}

func (p way) Invoke(ctx context.Context, method string, params, out any) error {
	p.w.mu.Lock()
	h, down, deaf, hangs := p.w.holders[p.address], p.w.down[p.address], p.w.deaf[p.address], p.w.hangs[p.address]
	p.w.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	if h == nil || down {
		return errDown
	}
	reply, err := h.Serve(ctx, method, json.RawMessage(params.(link.Raw)))
	if err != nil || deaf {
		return errors.Join(err, errDown)
	}
	*out.(*link.Raw) = reply.(link.Raw)
	if method == holder.MethodPull {
		p.w.mu.Lock()
		p.w.carried += len(reply.(link.Raw))
		p.w.mu.Unlock()
	}
	return nil
}

// client returns a daemon's access; it knows the roster of the moment.
func (w *world) client() *Client {
	var mu sync.Mutex
	known := w.current()
	return &Client{
		Peer:   func(address string) link.Invoker { return way{w, address} },
		Roster: func() roster.Roster { mu.Lock(); defer mu.Unlock(); return known },
		Learn: func(data []byte) {
			r, err := roster.Decode(data)
			is.New(w.t).NoErr(err)
			mu.Lock()
			defer mu.Unlock()
			if r.Version > known.Version {
				known = r
			}
		},
		Refresh: func(context.Context) {
			mu.Lock()
			defer mu.Unlock()
			known = w.current()
		},
	}
}

func reserve(program, attempt string, most int) book.Record {
	return book.Record{Program: program, Attempt: attempt, Reserved: true, Most: most, Keep: 60_000}
}

func turn(attempt, previous string) book.Record {
	return book.Record{Attempt: attempt, Keep: 60_000, Turn: &book.Turn{Previous: previous, Input: []byte(attempt)}}
}

func attempt(t *testing.T, data []byte) string {
	t.Helper()
	r, err := book.Decode(data)
	is.New(t).NoErr(err)
	return r.Attempt
}
