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
	// Each case starts with twelve daemons at version 1. Within maxDelay after the fault every
	// daemon must run the wanted version, and no daemon's version may ever decrease.
	tests := map[string]struct {
		run  func(t *testing.T, c *cluster)
		want uint64
	}{
		"applied through a daemon":       {func(t *testing.T, c *cluster) { c.apply(t, "two", "d5") }, 2},
		"applied to the store":           {func(t *testing.T, c *cluster) { c.apply(t, "two", "") }, 2},
		"no change":                      {func(*testing.T, *cluster) {}, 1},
		"store down":                     {func(_ *testing.T, c *cluster) { c.set(keyval.Unavailable) }, 1},
		"store silent":                   {func(_ *testing.T, c *cluster) { c.set(keyval.Hang) }, 1},
		"store lost its keys":            {deleteHead, 1},
		"applied after it lost its keys": {func(t *testing.T, c *cluster) { deleteHead(t, c); c.apply(t, "two", "d5") }, 2},
		"store restored, applied again":  {restored, 4},
		"store fails after acceptance":   {failsAfter, 2},
		"store fails, ack lost":          {failsAckLost, 2},
		"all watches silent":             {watchesSilent, 2},
		"one daemon reads stale":         {staleRead, 2},
		"peer hands out broken chunks":   {brokenChunks, 2},
		"gap in versions":                {versionGap, 5},
		"restart in an outage":           {restart, 2},
		"text that no daemon can read":   {unreadableText, 1},
		"readable text after such a one": {func(t *testing.T, c *cluster) { unreadableText(t, c); c.apply(t, "three", "d3") }, 3},
		"who told of it is gone":         {reporterGone, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := start(t.Context(), 12)
				c.apply(t, "one", "d1")
				sleep(maxDelay)
				is.NoErr(c.checkVersions(1))
				tt.run(t, c)
				sleep(maxDelay)
				is.NoErr(c.checkVersions(tt.want))
				for _, d := range c.daemons {
					is.True(d.Current().System.Name != "other") // which was never applied
					held, version, err := d.Text()
					is.NoErr(err)
					is.Equal(version, tt.want)
					is.Equal(chunk.Digest(held), d.Head().Digest)
				}
			})
		})
	}
}

// The head is deleted from the store. The accepted version must stay active; a daemon that took
// the missing head for the newest state would stop serving.
func deleteHead(t *testing.T, c *cluster) {
	entry, err := c.store.Get(t.Context(), head.Key)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.store.Delete(t.Context(), head.Key, entry.Rev); err != nil {
		t.Fatal(err)
	}
}

// The store is restored from an older copy. An operator then applies the text of that copy on
// purpose, from the version read at a daemon. It must not be reported as unchanged, nor get a
// version that the daemons have already passed.
func restored(t *testing.T, c *cluster) {
	old, err := c.store.Get(t.Context(), head.Key)
	if err != nil {
		t.Fatal(err)
	}
	c.apply(t, "two", "d1")
	c.apply(t, "three", "d1")
	sleep(maxDelay)
	current, err := c.store.Get(t.Context(), head.Key)
	if err != nil {
		t.Fatal(err)
	}
	put(t, c, head.Key, old.Data, current.Rev)
	sleep(maxDelay)
	if err := c.checkVersions(3); err != nil {
		t.Error(err)
	}
	again := request(t, "one")
	again.Base = 3
	if _, err := c.daemons["d2"].Apply(t.Context(), again); err != nil {
		t.Error(err)
	}
}

// The store fails right after it accepted a version. The operator got the acknowledgement, and
// only the daemon that applied knows the version.
func failsAfter(t *testing.T, c *cluster) {
	c.set(keyval.Unavailable)
	c.daemons["d5"].view.SetFault(keyval.None)
	c.apply(t, "two", "d5")
	c.set(keyval.Unavailable)
}

// As failsAfter, but the acknowledgement is lost, so the daemon that applied does not know the
// outcome either. The other daemons have the head from their watches and can't read its chunks
// from the store. They must get them from the daemon that applied.
func failsAckLost(t *testing.T, c *cluster) {
	for _, d := range c.daemons {
		d.link.update(func(l *link) { l.noChunks = true })
	}
	d := c.daemons["d5"]
	d.link.update(func(l *link) { l.afterHead = func() { d.view.SetFault(keyval.Unavailable) } })
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := d.Apply(ctx, request(t, "two"))
	if !errors.As(err, new(*apply.UnknownError)) {
		t.Errorf("the outcome can't be known here, but Apply says %v", err)
	}
}

// All connections with pending watches are dead without an error. Such a watch looks like one
// without changes; without pollers the change would be noticed half a minute late.
func watchesSilent(t *testing.T, c *cluster) {
	for _, d := range c.daemons {
		d.link.update(func(l *link) { l.noWatches = true })
	}
	c.apply(t, "two", "")
}

// A lagging replica of the store returns the previous version to one daemon. Accepting it would
// revert an accepted change.
func staleRead(t *testing.T, c *cluster) {
	entry, err := c.store.Get(t.Context(), head.Key)
	if err != nil {
		t.Fatal(err)
	}
	c.apply(t, "two", "d1")
	c.daemons["d4"].link.update(func(l *link) { l.stale = &entry })
	sleep(maxDelay)
	c.daemons["d4"].stop()
	c.add(t.Context(), "d4").link.update(func(l *link) { l.stale = &entry })
}

// While the store is down, a faulty daemon returns chunks that don't match their digests. The
// others must detect it and get the text elsewhere; otherwise they would activate it and pass
// it on.
func brokenChunks(t *testing.T, c *cluster) {
	other, err := chunk.Pack(text(t, "other"))
	if err != nil {
		t.Fatal(err)
	}
	bad := c.daemons["d5"]
	bad.alterAnswer = func(a Answer) Answer {
		for i := range a.Chunks {
			a.Chunks[i].Packed = other.Packed
		}
		return a
	}
	c.set(keyval.Unavailable)
	bad.view.SetFault(keyval.None)
	c.daemons["d6"].view.SetFault(keyval.None)
	c.apply(t, "two", "d5")
	sleep(time.Second)
	c.set(keyval.Unavailable)
}

// A daemon is cut off from the store and its peers while four versions are applied. Once
// reconnected it must activate the newest directly.
func versionGap(t *testing.T, c *cluster) {
	d := c.daemons["d7"]
	c.withLock(func() { d.isolated = true })
	d.view.SetFault(keyval.Unavailable)
	for _, name := range []string{"two", "three", "four", "five"} {
		c.apply(t, name, "d1")
	}
	sleep(time.Minute)
	if v := d.Current().Version; v != 1 {
		t.Errorf("version %d reached a daemon that was cut off", v)
	}
	c.withLock(func() { d.isolated = false })
}

// A daemon is restarted while the store is down, and one of its seeds was cut off and runs an
// old version. The daemon must not activate a version older than the one it ran before the
// restart.
func restart(t *testing.T, c *cluster) {
	stale := c.daemons["d0"]
	c.withLock(func() { stale.isolated = true })
	stale.view.SetFault(keyval.Unavailable)
	c.apply(t, "two", "d1")
	sleep(maxDelay)
	c.set(keyval.Unavailable)
	c.withLock(func() { stale.isolated = false })
	c.daemons["d3"].stop()
	c.add(t.Context(), "d3")
}

// An operator with a newer release applies a text that this release can't parse. The daemons
// must keep the active version and report the error instead of serving a part of the text.
func unreadableText(t *testing.T, c *cluster) {
	piece := []byte("[system]\nname = x\nof_a_later_release = 1\n")
	packed, err := chunk.Pack(piece)
	if err != nil {
		t.Fatal(err)
	}
	entry, err := c.store.Get(t.Context(), head.Key)
	if err != nil {
		t.Fatal(err)
	}
	h, err := head.Decode(entry.Data)
	if err != nil {
		t.Fatal(err)
	}
	data, err := head.Head{Digest: chunk.Digest(piece), Chunks: []string{packed.Digest}, Shards: 8, Nonce: "x"}.After(h, 0).Encode()
	if err != nil {
		t.Fatal(err)
	}
	put(t, c, head.ChunkPrefix+packed.Digest, packed.Packed, 0)
	put(t, c, head.Key, data, entry.Rev)
	sleep(maxDelay)
	if c.daemons["d0"].loadErrors == 0 {
		t.Error("no daemon said that it can't read the text")
	}
}

func put(t *testing.T, c *cluster, key string, data []byte, rev store.Rev) {
	if _, err := c.store.Put(t.Context(), key, data, rev, 0); err != nil {
		t.Fatal(err)
	}
}

// During an outage of the store the one peer that announced a new version dies before it is
// queried. The version must be found at other peers, which have it but did not announce it.
func reporterGone(t *testing.T, c *cluster) {
	d := c.daemons["d9"]
	c.withLock(func() { d.isolated = true })
	d.view.SetFault(keyval.Unavailable)
	c.apply(t, "two", "d1")
	sleep(maxDelay)
	c.set(keyval.Unavailable)
	c.withLock(func() { d.isolated, d.noHeartbeats = false, true })
	d.Newer(2, "gone")
	synctest.Wait()
}

func TestStart(t *testing.T) {
	tests := map[string]struct {
		before func(t *testing.T, c *cluster) // runs before the daemon starts
		ready  bool                           // during the outage
	}{
		"store down, peers up":    {func(*testing.T, *cluster) {}, true},
		"store down, no peers":    {func(_ *testing.T, c *cluster) { isolateAll(c) }, false},
		"store silent, peers up":  {func(_ *testing.T, c *cluster) { c.store.Client("new").SetFault(keyval.Hang) }, true},
		"peers without a version": {func(t *testing.T, c *cluster) { emptyPeers(t, c) }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			// A VM is replaced during an outage of the store. Its daemon must get the
			// configuration from a peer, or wait without serving.
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := start(t.Context(), 3)
				c.apply(t, "one", "d1")
				sleep(maxDelay)
				c.set(keyval.Unavailable)
				c.store.Client("new").SetFault(keyval.Unavailable)
				tt.before(t, c)
				d := c.add(t.Context(), "new")
				sleep(maxDelay)
				is.Equal(isReady(d), tt.ready)
				is.Equal(d.Current().Version > 0, tt.ready)
				sleep(10 * time.Minute)
				is.Equal(isReady(d), tt.ready)
				c.store.Client("new").SetFault(keyval.None)
				sleep(maxRetry + maxDelay)
				is.True(isReady(d)) // once the store is reachable again
				is.Equal(d.Current().Version, uint64(1))
			})
		})
	}
}

func isolateAll(c *cluster) {
	c.withLock(func() {
		for _, d := range c.daemons {
			d.isolated = true
		}
	})
}

// emptyPeers restarts all daemons. The running ones are isolated first: otherwise the first new
// daemon would get the version from one that is yet to be stopped.
func emptyPeers(t *testing.T, c *cluster) {
	isolateAll(c)
	for _, name := range []string{"d0", "d1", "d2"} {
		c.daemons[name].stop()
		c.add(t.Context(), name)
		synctest.Wait()
	}
}

// The number of store calls of all daemons for one change must stay a small share of the
// store's 2,000 a second, even when every daemon fetches the text at the same time.
func TestChangeCalls(t *testing.T) {
	tests := map[string]struct{ daemons, most int }{
		"today":      {8, 40},
		"the target": {320, 60},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := start(t.Context(), tt.daemons)
				c.apply(t, "one", "d1")
				sleep(2 * maxDelay)
				calls := c.calls(func() { c.apply(t, "two", ""); sleep(maxDelay) })
				is.NoErr(c.checkVersions(2))
				t.Logf("%d daemons: %d calls within %v of a change", tt.daemons, calls, maxDelay)
				is.True(calls > 0 && calls <= tt.most)
			})
		})
	}
}

func (c *cluster) calls(do func()) int {
	before := c.store.Counts()
	do()
	now := c.store.Counts()
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
