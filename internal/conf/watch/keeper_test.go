package watch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/apply"
	"github.com/slaterock/slaterock/internal/conf/chunk"
	"github.com/slaterock/slaterock/internal/conf/head"
	"github.com/slaterock/slaterock/internal/fake/keyval"
	"github.com/slaterock/slaterock/internal/plat/store"
)

func TestFaults(t *testing.T) {
	// Each scene starts with twelve daemons that run version 1 and ends when
	// the bound has passed. By then every daemon runs the version named, and
	// none went back behind what it ran.
	tests := map[string]struct {
		run  func(t *testing.T, f *fleet)
		want uint64
	}{
		"applied through a daemon":       {func(t *testing.T, f *fleet) { f.apply(t, "two", "d5") }, 2},
		"applied to the store":           {func(t *testing.T, f *fleet) { f.apply(t, "two", "") }, 2},
		"no change":                      {func(*testing.T, *fleet) {}, 1},
		"store down":                     {func(_ *testing.T, f *fleet) { f.set(keyval.Unavailable) }, 1},
		"store silent":                   {func(_ *testing.T, f *fleet) { f.set(keyval.Hang) }, 1},
		"store lost its keys":            {wipe, 1},
		"applied after it lost its keys": {func(t *testing.T, f *fleet) { wipe(t, f); f.apply(t, "two", "d5") }, 2},
		"store restored, applied again":  {restored, 4},
		"store fails after acceptance":   {failsAfter, 2},
		"store fails, ack lost":          {failsUnheard, 2},
		"all watches silent":             {watchesSilent, 2},
		"one daemon reads stale":         {staleRead, 2},
		"peer hands out broken chunks":   {brokenChunks, 2},
		"gap in versions":                {gap, 5},
		"restart in an outage":           {restart, 2},
		"text that no daemon can read":   {unfit, 1},
		"readable text after such a one": {func(t *testing.T, f *fleet) { unfit(t, f); f.apply(t, "three", "d3") }, 3},
		"who told of it is gone":         {gone, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := start(t.Context(), 12)
				f.apply(t, "one", "d1")
				pass(bound)
				is.NoErr(f.agree(1))
				tt.run(t, f)
				pass(bound)
				is.NoErr(f.agree(tt.want))
				for _, d := range f.daemons {
					is.True(d.Current().System.Name != "other") // which nobody applied
					held, version, err := d.Text()
					is.NoErr(err)
					is.Equal(version, tt.want)
					is.Equal(chunk.Digest(held), d.Head().Digest)
				}
			})
		})
	}
}

// Somebody restores the platform's store from nothing. What was accepted stays
// in force; a daemon that took the empty store for the newest would stop.
func wipe(t *testing.T, f *fleet) {
	entry, err := f.store.Get(t.Context(), head.Key)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.store.Delete(t.Context(), head.Key, entry.Rev); err != nil {
		t.Fatal(err)
	}
}

// Somebody restores the platform's store from an older copy. An operator then
// applies the text of that copy on purpose, from the version that he reads at
// a daemon. It must not pass for what is in force already, nor get a version
// that the daemons have behind them.
func restored(t *testing.T, f *fleet) {
	old, err := f.store.Get(t.Context(), head.Key)
	if err != nil {
		t.Fatal(err)
	}
	f.apply(t, "two", "d1")
	f.apply(t, "three", "d1")
	pass(bound)
	now, err := f.store.Get(t.Context(), head.Key)
	if err != nil {
		t.Fatal(err)
	}
	put(t, f, head.Key, old.Data, now.Rev)
	pass(bound)
	if err := f.agree(3); err != nil {
		t.Error(err)
	}
	again := request(t, "one")
	again.Base = 3
	if _, err := f.daemons["d2"].Apply(t.Context(), again); err != nil {
		t.Error(err)
	}
}

// The store fails in the moment after it accepted a version. The operator was
// told that it is accepted, and no daemon but the one that applied it can know.
func failsAfter(t *testing.T, f *fleet) {
	f.set(keyval.Unavailable)
	f.daemons["d5"].view.SetFault(keyval.None)
	f.apply(t, "two", "d5")
	f.set(keyval.Unavailable)
}

// The same, and the acknowledgement is lost, so that the daemon that applied
// does not know either. The others have heard of the head by their watches and
// can't read its chunks any more. They have them from the one that applied.
func failsUnheard(t *testing.T, f *fleet) {
	for _, d := range f.daemons {
		d.link.bend(func(l *link) { l.noChunks = true })
	}
	d := f.daemons["d5"]
	d.link.bend(func(l *link) { l.loseHead = func() { d.view.SetFault(keyval.Unavailable) } })
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := d.Apply(ctx, request(t, "two"))
	if !errors.As(err, new(*apply.UnknownError)) {
		t.Errorf("the outcome can't be known here, but Apply says %v", err)
	}
}

// Something between the daemons and the store has lost track of all the
// connections on which watches wait. A watch that hears nothing looks like a
// quiet one, and the change would be noticed half a minute late.
func watchesSilent(t *testing.T, f *fleet) {
	for _, d := range f.daemons {
		d.link.bend(func(l *link) { l.noWatches = true })
	}
	f.apply(t, "two", "")
}

// A replica of the store that lags answers one daemon with the version before.
// Taking it would turn an accepted change back.
func staleRead(t *testing.T, f *fleet) {
	entry, err := f.store.Get(t.Context(), head.Key)
	if err != nil {
		t.Fatal(err)
	}
	f.apply(t, "two", "d1")
	f.daemons["d4"].link.bend(func(l *link) { l.stale = &entry })
	pass(bound)
	f.daemons["d4"].stop()
	f.add(t.Context(), "d4").link.bend(func(l *link) { l.stale = &entry })
}

// A daemon with a fault answers with chunks of another text than their digests
// say, while the store is down. The others must notice, and get the text
// elsewhere; taken as it comes, it would be in force and passed on.
func brokenChunks(t *testing.T, f *fleet) {
	other, err := chunk.Pack(text(t, "other"))
	if err != nil {
		t.Fatal(err)
	}
	bad := f.daemons["d5"]
	bad.bend = func(a Answer) Answer {
		for i := range a.Chunks {
			a.Chunks[i].Packed = other.Packed
		}
		return a
	}
	f.set(keyval.Unavailable)
	bad.view.SetFault(keyval.None)
	f.daemons["d6"].view.SetFault(keyval.None)
	f.apply(t, "two", "d5")
	pass(time.Second)
	f.set(keyval.Unavailable)
}

// A daemon is cut off from the store and its peers while four versions are
// applied. When it is back it takes the newest at once.
func gap(t *testing.T, f *fleet) {
	d := f.daemons["d7"]
	f.locked(func() { d.cut = true })
	d.view.SetFault(keyval.Unavailable)
	for _, name := range []string{"two", "three", "four", "five"} {
		f.apply(t, name, "d1")
	}
	pass(time.Minute)
	if v := d.Current().Version; v != 1 {
		t.Errorf("version %d reached a daemon that was cut off", v)
	}
	f.locked(func() { d.cut = false })
}

// A daemon is restarted while the store is down, and the first peer that it
// asks has been cut off from the others and runs an old version. It must not
// go back behind what it ran before the restart.
func restart(t *testing.T, f *fleet) {
	stale := f.daemons["d0"]
	f.locked(func() { stale.cut = true })
	stale.view.SetFault(keyval.Unavailable)
	f.apply(t, "two", "d1")
	pass(bound)
	f.set(keyval.Unavailable)
	f.locked(func() { stale.cut = false })
	f.daemons["d3"].stop()
	f.add(t.Context(), "d3")
}

// An operator with a newer release applies what this one can't read. The
// daemons keep what they run, and say so, instead of serving half a text.
func unfit(t *testing.T, f *fleet) {
	piece := []byte("[system]\nname = x\nof_a_later_release = 1\n")
	c, err := chunk.Pack(piece)
	if err != nil {
		t.Fatal(err)
	}
	entry, err := f.store.Get(t.Context(), head.Key)
	if err != nil {
		t.Fatal(err)
	}
	h, err := head.Decode(entry.Data)
	if err != nil {
		t.Fatal(err)
	}
	data, err := head.Head{Digest: chunk.Digest(piece), Chunks: []string{c.Digest}, Shards: 8, Nonce: "x"}.After(h, 0).Encode()
	if err != nil {
		t.Fatal(err)
	}
	put(t, f, head.ChunkPrefix+c.Digest, c.Packed, 0)
	put(t, f, head.Key, data, entry.Rev)
	pass(bound)
	if f.daemons["d0"].faults == 0 {
		t.Error("no daemon said that it can't read the text")
	}
}

func put(t *testing.T, f *fleet, key string, data []byte, rev store.Rev) {
	if _, err := f.store.Put(t.Context(), key, data, rev, 0); err != nil {
		t.Fatal(err)
	}
}

// The one peer that told of a new version dies before it was asked, in an
// outage. Others have it too, but have not come to tell.
func gone(t *testing.T, f *fleet) {
	d := f.daemons["d9"]
	f.locked(func() { d.cut = true })
	d.view.SetFault(keyval.Unavailable)
	f.apply(t, "two", "d1")
	pass(bound)
	f.set(keyval.Unavailable)
	f.locked(func() { d.cut, d.deaf = false, true })
	d.Newer(2, "gone")
	synctest.Wait()
}

func TestStart(t *testing.T) {
	tests := map[string]struct {
		before func(t *testing.T, f *fleet) // and after is when the store is up again
		ready  bool                         // in the outage
	}{
		"store down, peers up":    {func(*testing.T, *fleet) {}, true},
		"store down, no peers":    {func(_ *testing.T, f *fleet) { cutAll(f) }, false},
		"store silent, peers up":  {func(_ *testing.T, f *fleet) { f.store.Client("new").SetFault(keyval.Hang) }, true},
		"peers without a version": {func(t *testing.T, f *fleet) { emptyPeers(t, f) }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			// A VM is replaced during an outage of the store. Its daemon takes
			// the configuration from a peer, or waits and serves nobody.
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := start(t.Context(), 3)
				f.apply(t, "one", "d1")
				pass(bound)
				f.set(keyval.Unavailable)
				f.store.Client("new").SetFault(keyval.Unavailable)
				tt.before(t, f)
				d := f.add(t.Context(), "new")
				pass(bound)
				is.Equal(isReady(d), tt.ready)
				is.Equal(d.Current().Version > 0, tt.ready)
				pass(10 * time.Minute)
				is.Equal(isReady(d), tt.ready)
				f.store.Client("new").SetFault(keyval.None)
				pass(maxRetry + bound)
				is.True(isReady(d)) // once the store is back
				is.Equal(d.Current().Version, uint64(1))
			})
		})
	}
}

func cutAll(f *fleet) {
	f.locked(func() {
		for _, d := range f.daemons {
			d.cut = true
		}
	})
}

// emptyPeers starts all daemons anew. Those that ran before are cut off first: the
// first to start would get the version from one that is yet to be stopped.
func emptyPeers(t *testing.T, f *fleet) {
	cutAll(f)
	for _, name := range []string{"d0", "d1", "d2"} {
		f.daemons[name].stop()
		f.add(t.Context(), name)
		synctest.Wait()
	}
}

// Calls of all daemons at the store for one change, which must stay a small
// share of its 2,000 a second also where every daemon wants the text at once.
func TestChangeCalls(t *testing.T) {
	tests := map[string]struct{ daemons, most int }{
		"today":      {8, 40},
		"the target": {320, 60},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := start(t.Context(), tt.daemons)
				f.apply(t, "one", "d1")
				pass(2 * bound)
				calls := f.calls(func() { f.apply(t, "two", ""); pass(bound) })
				is.NoErr(f.agree(2))
				t.Logf("%d daemons: %d calls within %v of a change", tt.daemons, calls, bound)
				is.True(calls > 0 && calls <= tt.most)
			})
		})
	}
}

func (f *fleet) calls(do func()) int {
	before := f.store.Counts()
	do()
	now := f.store.Counts()
	return now.Reads + now.Writes + now.Watches - before.Reads - before.Writes - before.Watches
}

func isReady(d *daemon) bool {
	select {
	case <-d.Ready():
		return true
	default:
		return false
	}
}
