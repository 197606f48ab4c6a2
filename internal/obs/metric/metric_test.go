package metric

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

func scrape(m *Metric) (status int, body string) {
	var ctx fasthttp.RequestCtx
	ctx.Init(&fasthttp.Request{}, nil, nil)
	m.Serve(&ctx)
	return ctx.Response.StatusCode(), string(ctx.Response.Body())
}

func TestScrape(t *testing.T) {
	is := is.New(t)
	m := New()
	other := New() // two daemons in one process
	m.Scope().Tagged(map[string]string{"upstream": "10.0.0.1:80"}).Counter("requests").Inc(3)
	m.Scope().Timer("first_token").Record(400 * time.Millisecond)
	is.NoErr(m.Close()) // reports immediately
	is.NoErr(other.Close())
	status, body := scrape(m)
	is.Equal(status, 200)
	is.True(strings.Contains(body, `slaterock_requests{upstream="10.0.0.1:80"} 3`))
	is.True(strings.Contains(body, `slaterock_first_token_bucket{le="0.45"} 1`))
	is.True(strings.Contains(body, `slaterock_first_token_bucket{le="0.25"} 0`))
	is.True(strings.Contains(body, "go_goroutines"))
	_, body = scrape(other)
	is.True(!strings.Contains(body, "slaterock_requests"))
}

// Only the first 4 kB of a scrape may be stored, and they are all that is left after an
// incident. They must include the daemon's own state.
func TestOwnStateComesFirst(t *testing.T) {
	is := is.New(t)
	m := New()
	for _, code := range []string{"a", "b", "c", "d", "e", "f"} {
		m.Scope().Tagged(map[string]string{"code": code}).Timer("a_time").Record(time.Second)
	}
	m.Scope().Counter("b_count").Inc(1)
	m.Scope().Gauge("z_state").Update(7)
	is.NoErr(m.Close())
	_, body := scrape(m)
	order := []int{
		strings.Index(body, "\nslaterock_z_state"), strings.Index(body, "\nslaterock_b_count"),
		strings.Index(body, "\nslaterock_a_time"), strings.Index(body, "\ngo_goroutines"),
	}
	is.True(slices.IsSorted(order))
	is.True(order[0] > 0)
	is.True(order[1] < 4<<10)
}

// A counter's name is used again with other tag keys. That series is lost, but the daemon
// must not panic.
func TestConflictingTags(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Scope().Counter("requests").Inc(1)
	m.Scope().Tagged(map[string]string{"a": "b"}).Counter("requests").Inc(1)
	is.NoErr(m.Close())
	_, body := scrape(m)
	is.True(strings.Contains(body, "slaterock_requests 1"))
}

func TestZeroCountsNothing(t *testing.T) {
	is := is.New(t)
	var m Metric
	m.Scope().Counter("requests").Inc(1)
	is.NoErr(m.Close())
	status, _ := scrape(&m)
	is.Equal(status, 404)
	var none *Metric
	none.Scope().Counter("requests").Inc(1)
	is.NoErr(none.Close())
}
