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
	maxConcurrent = 3  // operators at a time
	variants      = 11 // texts; few enough that some are applied again after their chunks were deleted
)

type (
	// operator is one apply, run one store call at a time.
	operator struct {
		apply   Apply
		runner  runner
		view    *keyval.View
		nonce   string
		last    Message
		effects []Effect
		result  *Finish
	}

	// history holds the versions that a reader of the head saw.
	history struct {
		service keyval.Store
		head    head.Head
		nonces  []string // of versions 1, 2 ...
	}
)

// Several operators apply at the same time, interleaved at single store calls, while each call
// may fail or lose its write or its acknowledgement. In every order, versions must follow one
// another without gaps, each must have all its chunks, and each operator must get the true
// outcome of its own text.
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
			for len(running) >= maxConcurrent {
				o := rapid.SampledFrom(running).Draw(r, "next")
				o.view.SetFault(keyval.Fault(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(r, "fault")))
				o.step(t)
				h.checkHead(r, t)
				running = slices.DeleteFunc(running, func(o *operator) bool { return o.result != nil })
			}
		}
		for _, o := range running {
			o.view.SetFault(keyval.None)
			for o.result == nil {
				o.step(t)
				h.checkHead(r, t)
			}
		}
		for _, o := range all {
			h.checkOutcome(r, o)
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
		o.result = &e
	case Sleep:
		o.last = Wake{}
	default:
		o.last = o.runner.do(t.Context(), e)
	}
}

// checkHead reads the head and checks that its version follows the one seen before.
func (h *history) checkHead(r *rapid.T, t *testing.T) {
	entry, err := h.service.Get(t.Context(), head.Key)
	if errors.Is(err, store.ErrNotFound) {
		return
	}
	current, err := head.Decode(entry.Data)
	if err != nil {
		r.Fatal(err)
	}
	for _, d := range current.Chunks {
		if _, err := h.service.Get(t.Context(), head.ChunkPrefix+d); err != nil {
			r.Fatalf("version %d: chunk %s: %v", current.Version, d, err)
		}
	}
	if current.Version == h.head.Version && current.Nonce == h.head.Nonce {
		return
	}
	if current.Version != h.head.Version+1 || slices.Contains(h.nonces, current.Nonce) {
		r.Fatalf("version %d with nonce %s follows version %d; nonces so far: %v", current.Version, current.Nonce, h.head.Version, h.nonces)
	}
	h.head, h.nonces = current, append(h.nonces, current.Nonce)
}

// checkOutcome compares the outcome reported to an operator with the versions that were active.
func (h *history) checkOutcome(r *rapid.T, o *operator) {
	wasActive := slices.Contains(h.nonces, o.nonce)
	switch {
	case o.result.Err == nil && !o.result.Unchanged && !wasActive:
		r.Fatalf("%s: reported as applied, but the text was never active", o.nonce)
	case o.result.Err == nil && o.result.Unchanged && wasActive:
		r.Fatalf("%s: reported as unchanged, but a version was created", o.nonce)
	case errors.As(o.result.Err, new(*ConflictError)) && wasActive:
		r.Fatalf("%s: reported as a conflict, but the text was active", o.nonce)
	case o.result.Err != nil && !errors.As(o.result.Err, new(*ConflictError)) && !errors.As(o.result.Err, new(*UnknownError)):
		r.Fatalf("%s: %v", o.nonce, o.result.Err)
	}
}
