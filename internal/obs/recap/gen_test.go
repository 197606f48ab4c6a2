package recap

import (
	"fmt"
	"io"
	"math/rand/v2"
)

// generator is an endless log of programs of ten requests each, a millisecond apart. It is
// sorted by time.
type generator struct {
	r       *rand.Rand
	left    int // lines
	n       int
	pending []byte
	program [600]struct {
		id   int
		done int
	}
}

func newGenerator(lines int) *generator {
	return &generator{r: rand.New(rand.NewPCG(1, 2)), left: lines}
}

func (g *generator) Read(p []byte) (n int, err error) {
	for len(g.pending) < len(p) && g.left > 0 {
		g.left--
		g.n++
		g.pending = g.line(g.pending)
	}
	n = copy(p, g.pending)
	g.pending = append(g.pending[:0], g.pending[n:]...)
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// line appends a line as a front writes it.
func (g *generator) line(out []byte) []byte {
	i := g.r.IntN(len(g.program))
	p := &g.program[i]
	if p.done == 10 {
		p.id, p.done = p.id+1, 0
	}
	p.done++
	outcome, status, ran := "answered", 200, "yes"
	if g.r.IntN(20) == 0 {
		outcome, status, ran = "engines_busy", 503, "no"
	}
	return fmt.Appendf(out, `{"level":"info","daemon":"front-a-%d","request":"%016x","program":"%d-%d","account":"account-%d","route":"r-%d",`+
		`"kind":"stream","config":14,"news_age_ms":328,"upstream":"i-%08x","sends":1,"refusals":"","status":%d,"outcome":%q,"ran":%q,"events":20,`+
		`"tokens":80,"wait_ms":2900,"finish_ms":%d,"recorded_ms":8,"first_ms":60,"took_ms":%d,"previous":"%016x","time":"2026-12-04T%02d:%02d:%02d.%03dZ","message":"request"}`+"\n",
		i%62, g.n, i, p.id, i, i%7, i%71, status, outcome, ran, 4000-400*p.done, 100+g.r.IntN(300), g.n-1,
		g.n/3600000%24, g.n/60000%60, g.n/1000%60, g.n%1000)
}
