package frontd

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/plat/store"
)

// slowSource answers after a while with version 2, or fails.
type slowSource struct {
	clusterFront
	took time.Duration
	err  error
}

func (s *slowSource) Read(context.Context) (fleet.Snapshot, []store.Entry, []error, error) {
	time.Sleep(s.took)
	return fleet.Snapshot{Revision: 8, Table: testTable(2)}, nil, nil, s.err
}

func (s *slowSource) Changes(_ context.Context, since uint64) (fleet.Changes, []store.Change, []error, error) {
	time.Sleep(s.took)
	return fleet.Changes{Since: since, Revision: 8, Table: testTable(2)}, nil, nil, s.err
}

// Two requests on a route that has just been added meet a front whose state is old; the second must not get 404 while the read for the first is under way.
func TestRequestsShareOneRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDaemonAt(time.Now().Add(-staleAge))
		d.Source = &slowSource{took: 50 * time.Millisecond}
		versions := make(chan int64, 2)
		for range 2 {
			go func() {
				d.refreshConfig(t.Context())
				versions <- d.fleet.View().Table.Version
			}()
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(<-versions, int64(2))
		is.Equal(<-versions, int64(2))
	})
}

// The store doesn't answer, so nobody knows whether a route was added; a caller that is told 404 does not come back.
func TestMissingRouteIsUncertainWithoutTheStore(t *testing.T) {
	cases := map[string]struct {
		age  time.Duration
		took time.Duration
		err  error
		want bool
	}{
		"the state is recent":      {staleAge - time.Millisecond, 0, errors.New("away"), true},
		"the store answers":        {time.Minute, 10 * time.Millisecond, nil, true},
		"the store fails":          {time.Minute, 10 * time.Millisecond, errors.New("away"), false},
		"the store is silent":      {time.Minute, silentCall, errors.New("away"), false},
		"the store answers slowly": {time.Minute, refreshTimeout - time.Millisecond, nil, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d := newDaemonAt(time.Now().Add(-tc.age))
				d.Source = &slowSource{took: tc.took, err: tc.err}
				began := time.Now()
				is.Equal(d.refreshConfig(t.Context()), tc.want)
				is.True(time.Since(began) <= refreshTimeout)
				time.Sleep(silentCall)
			})
		})
	}
}
