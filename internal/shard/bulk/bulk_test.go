package bulk_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/shard/blobs"
	"github.com/slaterock/slaterock/internal/shard/bulk"
)

type (
	// folders are the daemons with a folder, by name.
	folders struct {
		dirs map[string]*blobs.Folder
		slow time.Duration // before each answer

		mu   sync.Mutex
		down map[string]bool
		hung map[string]bool
	}

	// rig is one owner before three folders.
	rig struct {
		*is.I
		*folders
		*bulk.Bulk
		t   *testing.T
		ctx context.Context //nolint:containedctx // the test's
		mu  sync.Mutex
		new []bulk.Ref
	}
)

var errDown = errors.New("connection refused")

// at returns the daemon's folder if it answers.
func (f *folders) at(ctx context.Context, name string) (*blobs.Folder, error) {
	f.mu.Lock()
	down, hung := f.down[name], f.hung[name]
	f.mu.Unlock()
	if hung {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if down {
		return nil, errDown
	}
	<-time.After(f.slow)
	return f.dirs[name], nil
}

func (f *folders) Put(ctx context.Context, to string, shard int, data []byte) error {
	dir, err := f.at(ctx, to)
	if err == nil {
		_, err = dir.Put(shard, data)
	}
	return err
}

func (f *folders) Copy(ctx context.Context, to, from string, shard int, d blobs.Digest) error {
	data, err := f.Get(ctx, from, shard, d)
	if err != nil {
		return err
	}
	return f.Put(ctx, to, shard, data)
}

func (f *folders) Get(ctx context.Context, from string, shard int, d blobs.Digest) ([]byte, error) {
	dir, err := f.at(ctx, from)
	if err != nil {
		return nil, err
	}
	return dir.Get(shard, d)
}

func (f *folders) List(ctx context.Context, from string, shard int, after blobs.Digest, limit int) ([]blobs.Digest, error) {
	dir, err := f.at(ctx, from)
	if err != nil {
		return nil, err
	}
	return dir.List(shard, after, limit)
}

func (f *folders) Drop(ctx context.Context, to string, shard int, epoch uint64, d []blobs.Digest) error {
	dir, err := f.at(ctx, to)
	if err == nil {
		_, err = dir.Drop(shard, epoch, d)
	}
	return err
}

func member(name string, s swim.State) blobs.Member {
	return blobs.Member{Member: swim.Member{Name: name, FailureDomain: "of " + name, Disk: true, State: s, Incarnation: 1}}
}

func run(t *testing.T, names []string, test func(r *rig)) {
	root := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &folders{dirs: map[string]*blobs.Folder{}, down: map[string]bool{}, hung: map[string]bool{}}
		r := &rig{I: is.New(t), folders: f, t: t, ctx: ctx}
		r.Bulk = &bulk.Bulk{Peers: f, Shard: 3, Epoch: 1, Changed: r.changed}
		for _, name := range names {
			f.dirs[name] = &blobs.Folder{Dir: filepath.Join(root, name)}
			r.Tell(member(name, swim.Alive))
		}
		r.Tell(blobs.Ready{})
		end := make(chan struct{})
		go func() {
			defer close(end)
			r.Run(ctx)
		}()
		synctest.Wait()
		test(r)
		cancel()
		<-end
	})
}

func (r *rig) changed(ref bulk.Ref) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.new = append(r.new, ref)
}

func (r *rig) lose(name string) {
	r.folders.mu.Lock()
	r.down[name] = true
	r.folders.mu.Unlock()
	r.Tell(member(name, swim.Down))
}

// hang makes these daemons give no answer, and all others answer.
func (r *rig) hang(names ...string) {
	r.folders.mu.Lock()
	defer r.folders.mu.Unlock()
	clear(r.hung)
	for _, name := range names {
		r.hung[name] = true
	}
}

func (r *rig) pass(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func (r *rig) store(text string) bulk.Ref {
	ref, kept := r.Store(r.ctx, []byte(text))
	r.True(kept)
	r.Equal(len(ref.Holders), 2)
	r.Equal(ref.Size, len(text))
	return ref
}

func (r *rig) reads(ref bulk.Ref, text string) {
	got, err := r.Read(r.ctx, ref.Digest)
	r.NoErr(err)
	r.Equal(string(got), text)
}

func (r *rig) used() (sum int64) {
	for _, f := range r.dirs {
		n, err := f.Used()
		r.NoErr(err)
		sum += n
	}
	return sum
}

func TestBulk(t *testing.T) {
	three := []string{"a", "b", "c"}
	tests := map[string]struct {
		names []string
		run   func(r *rig)
	}{
		"stored, read, released": {three, func(r *rig) {
			ref := r.store("text")
			r.reads(ref, "text")
			r.pass(time.Hour)
			r.Equal(r.used(), int64(8))
			r.Tell(blobs.Release{Digest: ref.Digest})
			r.pass(time.Second)
			r.Equal(r.used(), int64(0))
		}},
		"the same text at once": {three, func(r *rig) {
			var all sync.WaitGroup
			for range 5 {
				all.Go(func() { r.store("text") })
			}
			all.Wait()
			r.Equal(r.used(), int64(8))
		}},
		"no folder": {nil, func(r *rig) {
			_, kept := r.Store(r.ctx, []byte("text"))
			r.True(!kept)
		}},
		// A daemon with a folder hangs. The text is kept by two others, and
		// its program waits no more than two seconds longer.
		"a holder hangs": {three, func(r *rig) {
			for _, name := range three {
				r.hang(name)
				start := time.Now()
				ref := r.store("text of " + name)
				r.True(time.Since(start) <= 3*time.Second)
				r.hang()
				r.reads(ref, "text of "+name)
			}
		}},
		// Two of three hang. The text goes into the journal.
		"two holders hang": {three, func(r *rig) {
			r.hang("a", "b")
			start := time.Now()
			_, kept := r.Store(r.ctx, []byte("text"))
			r.True(!kept)
			r.True(time.Since(start) <= 6*time.Second)
		}},
		// One VM after the other is lost. The journal is told of the new
		// holders, and the text stays readable.
		"holders are lost one by one": {three, func(r *rig) {
			ref := r.store("text")
			r.lose(ref.Holders[0])
			r.reads(ref, "text")
			r.pass(3 * time.Minute)
			r.Equal(len(r.new), 1)
			r.Equal(r.new[0].Size, 4)
			r.lose(ref.Holders[1])
			r.reads(r.new[0], "text")
		}},
		// A holder hangs and nobody has noticed yet. A reader gets the text
		// from the other one before its own time is up.
		"a holder hangs while it is read": {three, func(r *rig) {
			ref := r.store("text")
			for _, name := range ref.Holders {
				r.hang(name)
				start := time.Now()
				ctx, cancel := context.WithTimeout(r.ctx, 5*time.Second)
				got, err := r.Read(ctx, ref.Digest)
				cancel()
				r.NoErr(err)
				r.Equal(string(got), "text")
				r.True(time.Since(start) <= 2*time.Second)
			}
		}},
		"all holders are lost": {three, func(r *rig) {
			ref := r.store("text")
			r.lose(ref.Holders[0])
			r.lose(ref.Holders[1])
			_, err := r.Read(r.ctx, ref.Digest)
			r.True(errors.Is(err, bulk.ErrUnreadable))
		}},
		// A disk spoils the text. Its reader gets the right one from the other
		// holder, and soon there are two again.
		"a copy is spoilt": {three, func(r *rig) {
			ref := r.store("text")
			for _, name := range ref.Holders {
				r.spoil(name, ref.Digest)
				r.reads(ref, "text")
				r.pass(2 * time.Second)
				r.Equal(r.used(), int64(8))
			}
		}},
		// The caller gives up while its text is being placed. What was placed
		// is needed by nobody and goes.
		"the caller is gone": {three, func(r *rig) {
			r.slow = 1500 * time.Millisecond
			ctx, cancel := context.WithTimeout(r.ctx, time.Second)
			defer cancel()
			_, kept := r.Store(ctx, []byte("text"))
			r.True(!kept)
			r.pass(time.Second)
			r.Equal(r.used(), int64(8))
			r.pass(3 * time.Hour)
			r.Equal(r.used(), int64(0))
			r.store("text")
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { run(t, tt.names, tt.run) })
	}
}

// spoil overwrites the text on one disk.
func (r *rig) spoil(name string, d blobs.Digest) {
	hit := 0
	r.NoErr(filepath.WalkDir(r.dirs[name].Dir, func(path string, e os.DirEntry, err error) error {
		if err == nil && e.Name() == d.String() {
			hit++
			err = os.WriteFile(path, []byte("TEXT"), 0o600)
		}
		return err
	}))
	r.Equal(hit, 1)
}
