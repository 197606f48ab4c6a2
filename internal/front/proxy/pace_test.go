package proxy

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/slaterock/slaterock/internal/place/pace"
)

// fakePaces records samples, as the ratio of measured to expected time, by upstream.
type fakePaces struct {
	samples map[pace.ID][]float64
	factors map[string]float64
}

func (p *fakePaces) Observe(_ time.Time, id pace.ID, measured, expected float64, _ bool) bool {
	p.samples[id] = append(p.samples[id], measured/expected)
	return false
}

func (p *fakePaces) Factor(id string, _ int64) float64 {
	if f := p.factors[id]; f > 0 {
		return f
	}
	return 1
}

// Without samples of streams and calls no front knows that an engine is slow, and without the factor
// in the choice programs begin there all the same.
func TestSpeedsAreObservedAndUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stream := chunked + event1 + strings.Repeat("PAUSE"+event2, 5) + end
		env := newTestEnv([]string{stream}, []string{stream})
		paces := &fakePaces{samples: map[pace.ID][]float64{}, factors: map[string]float64{}}
		log := &bytes.Buffer{}
		env.e.Paces, env.e.Log = paces, zerolog.New(log)
		env.e.Picker.Factor = env.e.factor
		send := func(path string, n int) {
			env.setLoad("up2", 1) // so that up1 is preferred
			rec, _ := env.do(t.Context(), path, map[string]string{"Program": fmt.Sprint("p", n), "Budget": "1000"}, "in")
			is.Equal(rec.Code, 200)
		}
		up1 := pace.IDOf("up1", 0)
		send("/stream/", 1)
		is.Equal(len(paces.samples[up1]), 0) // the usual time is not known yet
		send("/stream/", 2)
		is.Equal(len(paces.samples[up1]), 5)
		for _, ratio := range paces.samples[up1] {
			is.True(ratio > 0.9 && ratio < 1.1)
		}
		paces.factors["up1"], paces.factors["up2"] = 5, 0.9
		send("/stream/", 3)
		is.Equal(len(env.upstreams["up2"].requests()), 1)
		is.True(strings.Contains(log.String(), `"upstream_factor":0.9`))
		env.close()
	})
}
