package apply

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/slaterock/slaterock/internal/conf/head"
	"github.com/slaterock/slaterock/internal/fake/keyval"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	atOnce   = 3  // operators
	variants = 11 // texts, so that some come back after their chunks went
)

type (
	// operator is one apply that is played call by call.
	operator struct {
		apply   Apply
		runner  runner
		view    *keyval.View
		nonce   string
		last    Message
		effects []Effect
		end     *Finish
	}

	// history is what a reader of the head saw, one version after the other.
	history struct {
		service keyval.Store
		head    head.Head
		nonces  []string // of versions 1, 2 ...
	}
)

// Operators race one another call by call, while each call at the store may
// fail, or lose its write or its acknowledgement. Whatever the order, versions
// follow one another, each holds all its chunks, and everyone is told what is
// true of his own text.
func TestInterleaved(t *testing.T) {
	var texts []Prepared
	for i := range variants {
		p, err := Prepare(request(t, fmt.Sprint("text", i), Newest))
		if err != nil {
			t.Fatal(err)
		}
		texts = append(texts, p)
	}
	rapid.Check(t, func(r *rapid.T) {
		var h history
		var running, all []*operator
		for i := range rapid.IntRange(10, 60).Draw(r, "operators") {
			running = append(running, h.operator(r, t, i, texts))
			all = append(all, running[len(running)-1])
			for len(running) >= atOnce {
				o := rapid.SampledFrom(running).Draw(r, "next")
				o.view.SetFault(keyval.Fault(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(r, "fault")))
				o.step(t)
				h.look(r, t)
				running = slices.DeleteFunc(running, func(o *operator) bool { return o.end != nil })
			}
		}
		for _, o := range running {
			o.view.SetFault(keyval.None)
			for o.end == nil {
				o.step(t)
				h.look(r, t)
			}
		}
		for _, o := range all {
			h.judge(r, o)
		}
	})
}

func (h *history) operator(r *rapid.T, t *testing.T, i int, texts []Prepared) *operator {
	p := rapid.SampledFrom(texts).Draw(r, "text")
	o := &operator{view: h.service.Client(fmt.Sprint("operator", i)), nonce: fmt.Sprint("nonce", i)}
	o.runner = runner{store: o.view}
	base := rapid.SampledFrom([]uint64{Newest, h.head.Version}).Draw(r, "base")
	o.last = Start{Base: base, Digest: fmt.Sprint(p.file.System.Name), Chunks: p.chunks, Shards: 8, Nonce: o.nonce}
	return o
}

// step carries out one effect.
func (o *operator) step(t *testing.T) {
	if len(o.effects) == 0 {
		o.effects = o.apply.Step(time.Time{}, o.last)
	}
	e := o.effects[0]
	o.effects = o.effects[1:]
	switch e := e.(type) {
	case Finish:
		o.end = &e
	case Sleep:
		o.last = Wake{}
	default:
		o.last = o.runner.do(t.Context(), e)
	}
}

// look reads the head and checks that it follows the one before.
func (h *history) look(r *rapid.T, t *testing.T) {
	entry, err := h.service.Get(t.Context(), head.Key)
	if errors.Is(err, store.ErrNotFound) {
		return
	}
	now, err := head.Decode(entry.Data)
	if err != nil {
		r.Fatal(err)
	}
	for _, d := range now.Chunks {
		if _, err := h.service.Get(t.Context(), head.ChunkPrefix+d); err != nil {
			r.Fatalf("version %d: chunk %s: %v", now.Version, d, err)
		}
	}
	if now.Version == h.head.Version && now.Nonce == h.head.Nonce {
		return
	}
	if now.Version != h.head.Version+1 || slices.Contains(h.nonces, now.Nonce) {
		r.Fatalf("version %d of %s after %d; so far %v", now.Version, now.Nonce, h.head.Version, h.nonces)
	}
	h.head, h.nonces = now, append(h.nonces, now.Nonce)
}

// judge compares what an operator was told with what happened.
func (h *history) judge(r *rapid.T, o *operator) {
	inForce := slices.Contains(h.nonces, o.nonce)
	switch {
	case o.end.Err == nil && !o.end.Unchanged && !inForce:
		r.Fatalf("%s was told that his text is in force, and it never was", o.nonce)
	case o.end.Err == nil && o.end.Unchanged && inForce:
		r.Fatalf("%s was told that nothing changed, and he made a version", o.nonce)
	case errors.As(o.end.Err, new(*ConflictError)) && inForce:
		r.Fatalf("%s was told of a conflict, and his text was in force", o.nonce)
	case o.end.Err != nil && !errors.As(o.end.Err, new(*ConflictError)) && !errors.As(o.end.Err, new(*UnknownError)):
		r.Fatalf("%s: %v", o.nonce, o.end.Err)
	}
}
