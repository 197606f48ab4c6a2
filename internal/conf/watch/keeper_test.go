package watch

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/apply"
	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/fake/keyval"
)

// fleet is a few daemons that reach each other and a store.
type fleet struct {
	store   keyval.Store
	keepers map[string]*Keeper

	mu     sync.Mutex
	down   map[string]bool
	forced map[string][]uint64
	asks   int
}

var errDown = errors.New("peer down")

func newFleet(n int) *fleet {
	f := &fleet{keepers: map[string]*Keeper{}, down: map[string]bool{}, forced: map[string][]uint64{}}
	for i := range n {
		f.add(fmt.Sprint("d", i))
	}
	return f
}

func (f *fleet) add(name string) *Keeper {
	k := &Keeper{
		Self:  Member{Name: name, Peer: name},
		Seeds: []string{"d0", "d1", "d2"},
		Store: f.store.Client(name),
		Fetch: func(_ context.Context, peer string, q Question) (Answer, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.asks++
			other, ok := f.keepers[peer]
			if !ok || f.down[peer] || f.down[name] {
				return Answer{}, errDown
			}
			return other.Answer(q), nil
		},
		OnChange: func(c file.File) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.forced[name] = append(f.forced[name], c.Version)
		},
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepers[name] = k
	return k
}

func (f *fleet) serve(ctx context.Context) {
	for _, k := range f.keepers {
		go func() { _ = k.Serve(ctx) }()
	}
}

// gossip tells each daemon what every other has in force, as heartbeats do.
func (f *fleet) gossip() {
	for a, k := range f.keepers {
		for b, other := range f.keepers {
			if v := other.Head().Version; a != b && v > k.Head().Version {
				k.Newer(v, b)
			}
		}
	}
}

func example(t *testing.T) []byte {
	text, err := os.ReadFile("../../../examples/dev.ini")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestApplyReachesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(3)
		f.serve(ctx)
		out, err := f.keepers["d1"].Apply(ctx, apply.Request{Name: "dev.ini", Text: example(t), By: "op"})
		is.NoErr(err)
		is.Equal(out.Head.Version, uint64(1))
		<-time.After(4 * time.Second)
		synctest.Wait()
		for name, k := range f.keepers {
			is.Equal(k.Current().Version, uint64(1)) // in force at each daemon
			is.Equal(f.forced[name], []uint64{1})
			is.Equal(k.Current().System.Name, "dev")
		}
		cancel()
		synctest.Wait()
	})
}

// The store fails in the moment after it accepted a version, so that no daemon
// can read the head or its chunks from there. Without help from peers the
// operator would be told that it is accepted and see the old version run.
func TestStoreFailsAfterAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(12)
		f.serve(ctx)
		<-time.After(time.Second)
		for name := range f.keepers {
			if name != "d5" {
				f.store.Client(name).Set(keyval.Down)
			}
		}
		_, err := f.keepers["d5"].Apply(ctx, apply.Request{Name: "dev.ini", Text: example(t), By: "op"})
		is.NoErr(err)
		f.store.Client("d5").Set(keyval.Down)
		for range 4 {
			<-time.After(time.Second)
			f.gossip()
		}
		synctest.Wait()
		for _, k := range f.keepers {
			is.Equal(k.Current().Version, uint64(1)) // in force from a peer
		}
		cancel()
		synctest.Wait()
	})
}
