package frontd

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/quorum"
)

// noRecords is a set of replicas that none of the calls reaches.
type noRecords struct{}

func (noRecords) Write(context.Context, index.Record) (quorum.Result, error) {
	return quorum.Result{}, quorum.ErrNoQuorum
}

func (noRecords) ReadWithin(context.Context, string, string, func(context.Context, int64) error) ([]index.Turn, error) {
	return nil, quorum.ErrNoQuorum
}

func (noRecords) Answering(context.Context) bool { return false }

// Guards against callers that a front without a network keeps: it would go on naming fronts
// that are cut off like itself, and callers of those would be refused for seconds.
func TestCutOffFrontNamesNobody(t *testing.T) {
	cases := map[string]struct {
		heard       []string
		recordsLost bool
		status      int
		othersServe bool
	}{
		"it reaches all":                       {[]string{"a", "b"}, false, 200, true},
		"it hears nobody, and has its records": {nil, false, 200, true},
		"it has lost its records only":         {[]string{"a", "b"}, true, 200, true},
		"it is cut off":                        {nil, true, 503, true},
		"all have lost their records":          {[]string{"unwell"}, true, 200, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				listed := []string{"a", "b"}
				if !c.othersServe {
					listed = []string{"unwell"}
				}
				d := newDaemon(listed...)
				d.reach.Records = noRecords{}
				for range 3 {
					if c.recordsLost {
						_, err := d.reach.Read(t.Context(), "", "", nil)
						is.True(err != nil)
					}
					time.Sleep(200 * time.Millisecond)
				}
				for _, node := range c.heard {
					receive(d, node, false)
				}
				rec := httptest.NewRecorder()
				d.resolve(rec, httptest.NewRequestWithContext(t.Context(), "GET", "/directory", nil))
				is.Equal(rec.Code, c.status)
				is.Equal(d.othersServe(), c.othersServe)
			})
		})
	}
}
