package blobio_test

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
	"github.com/slaterock/slaterock/internal/shard/blobio"
	"github.com/slaterock/slaterock/internal/shard/blobs"
)

type (
	// fakePeers are the daemons with a data folder, by name.
	fakePeers struct {
		dirs  map[string]*blobs.Folder
		delay time.Duration // before each answer

		mu   sync.Mutex
		down map[string]bool
		hung map[string]bool
	}

	// fixture is an owner's BlobStore over the folders of fakePeers.
	fixture struct {
		*is.I
		*fakePeers
		*blobio.BlobStore
		t   *testing.T
		ctx context.Context //nolint:containedctx // the test's
		mu  sync.Mutex
		new []blobio.Ref
	}
)

var errDown = errors.New("connection refused")

// reach returns the daemon's folder if the daemon answers.
func (f *fakePeers) reach(ctx context.Context, name string) (*blobs.Folder, error) {
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
	<-time.After(f.delay)
	return f.dirs[name], nil
}

func (f *fakePeers) Put(ctx context.Context, to string, shard int, data []byte) error {
	dir, err := f.reach(ctx, to)
	if err == nil {
		_, err = dir.Put(shard, data)
	}
	return err
}

func (f *fakePeers) Copy(ctx context.Context, to, from string, shard int, d blobs.Digest) error {
	data, err := f.Get(ctx, from, shard, d)
	if err != nil {
		return err
	}
	return f.Put(ctx, to, shard, data)
}

func (f *fakePeers) Get(ctx context.Context, from string, shard int, d blobs.Digest) ([]byte, error) {
	dir, err := f.reach(ctx, from)
	if err != nil {
		return nil, err
	}
	return dir.Get(shard, d)
}

func (f *fakePeers) List(ctx context.Context, from string, shard int, after blobs.Digest, limit int) ([]blobs.Digest, error) {
	dir, err := f.reach(ctx, from)
	if err != nil {
		return nil, err
	}
	return dir.List(shard, after, limit)
}

func (f *fakePeers) Drop(ctx context.Context, to string, shard int, epoch uint64, d []blobs.Digest) error {
	dir, err := f.reach(ctx, to)
	if err == nil {
		_, err = dir.Drop(shard, epoch, d)
	}
	return err
}

func member(name string, s swim.State) blobs.Member {
	return blobs.Member{Member: swim.Member{Name: name, FailureDomain: "of " + name, Disk: true, State: s, Incarnation: 1}}
}

func run(t *testing.T, names []string, test func(r *fixture)) {
	root := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fakePeers{dirs: map[string]*blobs.Folder{}, down: map[string]bool{}, hung: map[string]bool{}}
		r := &fixture{I: is.New(t), fakePeers: f, t: t, ctx: ctx}
		r.BlobStore = &blobio.BlobStore{Peers: f, Shard: 3, Epoch: 1, HoldersChanged: r.changed}
		for _, name := range names {
			f.dirs[name] = &blobs.Folder{Dir: filepath.Join(root, name)}
			r.Tell(member(name, swim.Alive))
		}
		r.Tell(blobs.JournalLoaded{})
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

func (r *fixture) changed(ref blobio.Ref) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.new = append(r.new, ref)
}

func (r *fixture) lose(name string) {
	r.fakePeers.mu.Lock()
	r.down[name] = true
	r.fakePeers.mu.Unlock()
	r.Tell(member(name, swim.Down))
}

// hang makes exactly these daemons leave calls unanswered.
func (r *fixture) hang(names ...string) {
	r.fakePeers.mu.Lock()
	defer r.fakePeers.mu.Unlock()
	clear(r.hung)
	for _, name := range names {
		r.hung[name] = true
	}
}

func (r *fixture) advance(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func (r *fixture) store(text string) blobio.Ref {
	ref, stored := r.Store(r.ctx, []byte(text))
	r.True(stored)
	r.Equal(len(ref.Holders), 2)
	r.Equal(ref.Size, len(text))
	return ref
}

func (r *fixture) expectText(ref blobio.Ref, text string) {
	got, err := r.Read(r.ctx, ref.Digest)
	r.NoErr(err)
	r.Equal(string(got), text)
}

func (r *fixture) usedBytes() (sum int64) {
	for _, f := range r.dirs {
		n, err := f.Used()
		r.NoErr(err)
		sum += n
	}
	return sum
}

func TestBlobStore(t *testing.T) {
	three := []string{"a", "b", "c"}
	tests := map[string]struct {
		names []string
		run   func(r *fixture)
	}{
		"stored, read, released": {three, func(r *fixture) {
			ref := r.store("text")
			r.expectText(ref, "text")
			r.advance(time.Hour)
			r.Equal(r.usedBytes(), int64(8))
			r.Tell(blobs.Release{Digest: ref.Digest})
			r.advance(time.Second)
			r.Equal(r.usedBytes(), int64(0))
		}},
		"the same text at once": {three, func(r *fixture) {
			var all sync.WaitGroup
			for range 5 {
				all.Go(func() { r.store("text") })
			}
			all.Wait()
			r.Equal(r.usedBytes(), int64(8))
		}},
		"no folder": {nil, func(r *fixture) {
			_, stored := r.Store(r.ctx, []byte("text"))
			r.True(!stored)
		}},
		// A daemon with a folder hangs. The text is stored at two others, with
		// a delay of at most three seconds.
		"a holder hangs": {three, func(r *fixture) {
			for _, name := range three {
				r.hang(name)
				start := time.Now()
				ref := r.store("text of " + name)
				r.True(time.Since(start) <= 3*time.Second)
				r.hang()
				r.expectText(ref, "text of "+name)
			}
		}},
		// Two of three holders hang. The text must go into the journal.
		"two holders hang": {three, func(r *fixture) {
			r.hang("a", "b")
			start := time.Now()
			_, stored := r.Store(r.ctx, []byte("text"))
			r.True(!stored)
			r.True(time.Since(start) <= 6*time.Second)
		}},
		// One VM after the other is lost. The new holders are reported, and the
		// text stays readable.
		"holders are lost one by one": {three, func(r *fixture) {
			ref := r.store("text")
			r.lose(ref.Holders[0])
			r.expectText(ref, "text")
			r.advance(3 * time.Minute)
			r.Equal(len(r.new), 1)
			r.Equal(r.new[0].Size, 4)
			r.lose(ref.Holders[1])
			r.expectText(r.new[0], "text")
		}},
		// A holder hangs and still counts as up. A reader gets the text from the
		// other one before its own deadline.
		"a holder hangs while it is read": {three, func(r *fixture) {
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
		"all holders are lost": {three, func(r *fixture) {
			ref := r.store("text")
			r.lose(ref.Holders[0])
			r.lose(ref.Holders[1])
			_, err := r.Read(r.ctx, ref.Digest)
			r.True(errors.Is(err, blobio.ErrUnreadable))
		}},
		// A disk corrupts its copy. A reader gets the text from the other
		// holder, and the copy is made again.
		"a copy is spoilt": {three, func(r *fixture) {
			ref := r.store("text")
			for _, name := range ref.Holders {
				r.overwrite(name, ref.Digest)
				r.expectText(ref, "text")
				r.advance(2 * time.Second)
				r.Equal(r.usedBytes(), int64(8))
			}
		}},
		// The caller gives up while its text is being stored. The copies are
		// unreferenced and are dropped.
		"the caller is gone": {three, func(r *fixture) {
			r.delay = 1500 * time.Millisecond
			ctx, cancel := context.WithTimeout(r.ctx, time.Second)
			defer cancel()
			_, stored := r.Store(ctx, []byte("text"))
			r.True(!stored)
			r.advance(time.Second)
			r.Equal(r.usedBytes(), int64(8))
			r.advance(3 * time.Hour)
			r.Equal(r.usedBytes(), int64(0))
			r.store("text")
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { run(t, tt.names, tt.run) })
	}
}

// overwrite replaces the text on one disk by another.
func (r *fixture) overwrite(name string, d blobs.Digest) {
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
