package frontd

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/node/discov"
	"github.com/slaterock/slaterock/internal/plat/store"
)

// blockingSource does not answer until its caller gives up.
type blockingSource struct{ Source }

func (blockingSource) Read(ctx context.Context) (r fleet.Snapshot, others []store.Entry, bad []error, err error) {
	<-ctx.Done()
	return r, nil, nil, ctx.Err()
}

func (blockingSource) Changes(ctx context.Context, _ uint64) (c fleet.Changes, others []store.Change, bad []error, err error) {
	<-ctx.Done()
	return c, nil, nil, ctx.Err()
}

// A request that matches no route triggers a read of the store, and its caller disconnects
// before the store has answered. That must not be recorded and logged as an outage.
func TestCancelledRefreshIsNoOutage(t *testing.T) {
	is := is.New(t)
	d := newDaemonAt(time.Now().Add(-5 * time.Second))
	d.Source = blockingSource{}
	ctx, leave := context.WithCancel(t.Context())
	leave()
	d.refreshConfig(ctx)
	is.Equal(d.fleet.Update(time.Now(), fleet.Outage{})[0].Kind, "outage") // not known before
}

// countingSource counts its reads.
type countingSource struct {
	Source

	err          error // of Changes
	all, changes int
}

func (s *countingSource) Read(context.Context) (fleet.Snapshot, []store.Entry, []error, error) {
	s.all++
	return fleet.Snapshot{Revision: 20, Table: testTable(2)}, nil, nil, nil
}

func (s *countingSource) Unusable() int { return 0 }

func (s *countingSource) Changes(_ context.Context, since uint64) (fleet.Changes, []store.Change, []error, error) {
	s.changes++
	return fleet.Changes{Since: since, Revision: since + 1}, nil, nil, s.err
}

// Changes complete only a state that the store held. A front that has none, or one from a disk, or whose changes the store has forgotten, must read all keys, or it keeps upstreams that are gone; all others must not, since thousands of keys take seconds.
func TestAllKeysAreReadOnlyWhereNeeded(t *testing.T) {
	away := errors.New("away")
	restored := fleet.PeerSnapshot{Snapshot: fleet.Snapshot{Revision: 9, Restored: true}}
	cases := map[string]struct {
		first        fleet.Event
		err          error
		all, changes int
		want         error
	}{
		"at the start":            {nil, nil, 1, 0, nil},
		"the state was read":      {fleet.Snapshot{Revision: 9}, nil, 0, 1, nil},
		"the state is a peer's":   {fleet.PeerSnapshot{Snapshot: fleet.Snapshot{Revision: 9}}, nil, 0, 1, nil},
		"the state is from disk":  {restored, nil, 1, 2, nil},
		"the store has forgotten": {fleet.Snapshot{Revision: 9}, store.ErrCompacted, 1, 1, nil},
		"the store is away":       {fleet.Snapshot{Revision: 9}, away, 0, 1, away},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &countingSource{err: c.err}
			d := newDaemon()
			d.fleet = fleet.Fleet{}
			d.Source = s
			if c.first != nil {
				d.apply(c.first, nil)
			}
			if _, fromDisk := c.first.(fleet.PeerSnapshot); fromDisk && name == "the state is from disk" {
				is.NoErr(d.readStore(t.Context())) // whether the store is back
			}
			is.Equal(d.readStore(t.Context()), c.want)
			is.Equal([]int{s.all, s.changes}, []int{c.all, c.changes})
			is.Equal(d.fleet.View().Restored, false)
		})
	}
}

// rosterSource has changes that hold a new roster.
type rosterSource struct{ Source }

func (rosterSource) Unusable() int { return 0 }

func (rosterSource) Changes(_ context.Context, since uint64) (fleet.Changes, []store.Change, []error, error) {
	key := store.Change{Entry: store.Entry{Key: discov.RosterKey, Data: []byte(`{"version":4}`), Rev: 9}}
	return fleet.Changes{Since: since, Revision: 9}, []store.Change{key}, nil, nil
}

// The roster changes and nothing else. A front that took its state for the same as the reader's would not learn of it; if it then reads the store itself, the change is not among those since its revision, and its backups go to the wrong disks or none.
func TestRosterIsPartOfTheState(t *testing.T) {
	is := is.New(t)
	reader, other := newDaemon(), newDaemon()
	is.Equal(reader.fleet.View().Hash, other.fleet.View().Hash)
	reader.Source = rosterSource{}
	is.NoErr(reader.readStore(t.Context()))
	is.True(reader.fleet.View().Hash != other.fleet.View().Hash)
	s, err := reader.serveSnapshot(t.Context(), other.baseline())
	is.NoErr(err)
	is.True(s.Delta != nil)
	is.NoErr(other.applySnapshot(s, 0))
	is.Equal(other.fleet.View().Hash, reader.fleet.View().Hash)
	is.Equal(other.discov.Roster().Version, uint64(4))
	whole, err := reader.serveSnapshot(t.Context(), baseline{Unpacks: true})
	is.NoErr(err)
	third := newDaemon()
	is.NoErr(third.applySnapshot(whole, 0))
	is.Equal(third.fleet.View().Hash, reader.fleet.View().Hash)
}

// Guards against a front that is suspended while the store's answer is under way and takes the
// answer for as new as its clock says: it would serve an old configuration as a confirmed one.
func TestAnswerIsOlderByASuspension(t *testing.T) {
	cases := map[string]time.Duration{"it ran": 0, "suspended during the read": 4 * time.Second}
	for name, stood := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDaemonAt(time.Now().Add(-10 * time.Second))
			d.Source = &countingSource{}
			d.readState.suspended = func(time.Time, time.Time) time.Duration { return stood }
			asked := time.Now()
			is.NoErr(d.readStore(t.Context()))
			confirmed := d.fleet.View().Confirmed
			is.True(!confirmed.Before(asked.Add(-stood)))
			is.True(confirmed.Before(time.Now().Add(-stood)))
		})
	}
}
