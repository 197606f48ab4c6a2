package load

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/slaterock/slaterock/internal/edge/client"
	"github.com/slaterock/slaterock/internal/plat/chat"
	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/httpc"
)

const directPrefix = "direct-"

// stopwatch records the arrival times of the pieces of one streamed answer.
type stopwatch struct {
	start time.Time
	first time.Duration // to the first piece
	last  time.Time
	gaps  []time.Duration
}

func (w *stopwatch) piece(string) {
	now := time.Now()
	if w.last.IsZero() {
		w.first = now.Sub(w.start)
	} else {
		w.gaps = append(w.gaps, now.Sub(w.last))
	}
	w.last = now
}

// isPaired reports whether a prompt of the size of the program's first one is also
// sent directly to an engine. The latency of the direct call is the lower bound for
// the system; the difference is the latency that the system adds.
func (d *driver) isPaired(p plan) bool {
	return d.gen.Engine != "" && p.Parent == "" && hash(p.Name)%directOneIn == 0
}

// uncachedContext returns a context of about size bytes, derived from the name,
// that no engine has cached. Both prompts of a pair must be prefilled completely;
// a shared prefix would make the second one faster.
func uncachedContext(name string, size int) string {
	return words(rand.New(rand.NewPCG(hash(name), 2)), size/bytesPerToken)
}

// direct sends a prompt of the size of the program's first one directly to an
// engine, waits for the answer and records its times. Errors are ignored. The wait
// counts in the program's latency.
func (d *driver) direct(ctx context.Context, p plan, s step) {
	name := directPrefix + p.Name
	body, err := json.Marshal(struct {
		Messages []client.Message `json:"messages"`
	}{[]client.Message{
		{Role: "system", Content: uncachedContext(name, len(p.Context))},
		{Role: "user", Content: marker(p.Name, 0) + s.Text},
	}})
	if err != nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	c := chat.Client{Endpoint: httpc.Endpoint{Address: d.gen.Engine}}
	watch := stopwatch{start: time.Now()}
	_, err = c.Chat(ctx, engine.Request{ID: name, Program: name, Body: body, MaxTokens: s.Output}, func(engine.Delta) error {
		watch.piece("")
		return nil
	})
	if err == nil {
		d.gen.tally.direct(watch)
	}
}
