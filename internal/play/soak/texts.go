package soak

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/slaterock/slaterock/internal/plat/store"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/shard/blobs"
	"github.com/slaterock/slaterock/internal/shard/boot"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

var errNoHolder = errors.New("no holder of the text is available")

// offloadEnabled decides at random whether an owner offloads long texts to data
// folders: in three of four cases.
func (sim *simulation) offloadEnabled() bool { return sim.choose(4) > 0 }

// dropUnreferencedTexts deletes the texts that the journal does not refer to from
// the data folders, at a takeover. It verifies that all others are there.
func (n *node) dropUnreferencedTexts() {
	sim := n.sim
	sim.newestOwner = n.own
	known := map[string]string{}
	n.own.Fold.Known(func(b hist.Blob) {
		text, ok := sim.texts[b.Digest]
		if !ok {
			sim.addViolation("%s is referred to and not in the folders", b.Digest)
		}
		known[b.Digest] = text
	})
	sim.texts = known
	n.own.Fold.SnapshotTexts = nil
	n.refs = map[string]int{}
	for digest := range known {
		n.refs[digest] = 1
	}
}

// offload stores the request text and the answer of a call in the data folders,
// after a random delay. During the fault period the delay may exceed
// owner.OffloadTimeout, and storing may fail for each of the two.
func (n *node) offload(own *owner.Owner, k owner.Offload) {
	sim := n.sim
	instance := n.instance
	wait := sim.randomDuration(0, 300*time.Millisecond)
	if sim.fault(150) {
		wait = sim.randomDuration(time.Second, 6*time.Second)
	}
	asked, answer := k.Asked, k.Answer
	sim.after(wait, func() {
		if n.own != own || n.instance != instance || sim.newestOwner != own {
			return // data folders accept texts from the newest owner only
		}
		offloaded := owner.Offloaded{ID: k.ID, Request: k.Request, Asked: n.storeText(asked), Answer: n.storeText(answer)}
		n.later(sim.randomDuration(0, 20*time.Millisecond), func() { n.deliver(own, offloaded) })
	})
}

// storeText stores a text and returns its reference, or nil if text is nil or that
// fails. Later one of its holders may be replaced.
func (n *node) storeText(text []byte) *hist.Blob {
	sim := n.sim
	if text == nil || sim.fault(150) {
		return nil
	}
	b := hist.Blob{Digest: blobs.Sum(text).String(), Size: len(text), Holders: []string{"x", "y"}}
	sim.texts[b.Digest] = string(text)
	n.refs[b.Digest]++
	sim.stats.Kept++
	if sim.fault(100) {
		own, moved := n.own, b
		moved.Holders = []string{"x", fmt.Sprint("z", sim.choose(10))}
		n.later(sim.randomDuration(100*time.Millisecond, 20*time.Second), func() {
			if own != n.own {
				return
			}
			if _, ok := own.Fold.Texts[b.Digest]; ok {
				n.deliver(own, owner.HoldersChanged{Blob: moved})
			}
		})
	}
	return &b
}

// releaseText removes one reference to a text and deletes the text with the last.
func (n *node) releaseText(own *owner.Owner, b hist.Blob) {
	n.sim.stats.Late++
	if n.sim.newestOwner != own {
		return
	}
	n.refs[b.Digest]--
	if n.refs[b.Digest] == 0 {
		delete(n.sim.texts, b.Digest)
	}
}

// text reads a text from the data folders; it fails at random under faults.
func (sim *simulation) text(_ context.Context, b hist.Blob) ([]byte, error) {
	text, ok := sim.texts[b.Digest]
	if !ok || sim.fault(200) {
		return nil, errNoHolder
	}
	return []byte(text), nil
}

// resolve returns the call with its offloaded texts and adds their references to
// refs. It verifies that the texts exist, and that the request text belongs to the
// call.
func (sim *simulation) resolve(refs map[string]hist.Blob, r record.Ended) hist.Call {
	c := r.Call
	for b, inline := range map[*hist.Blob]int{c.AskedBlob: len(c.Asked), c.AnswerBlob: len(c.Result.Body)} {
		if b == nil {
			continue
		}
		refs[b.Digest] = *b
		if _, ok := sim.texts[b.Digest]; !ok || inline > 0 {
			sim.addViolation("call %d of %s refers to a text that the folders don't have, or has it inline too", c.Number, r.Program)
		}
	}
	if c.AskedBlob != nil {
		c.Asked = sim.texts[c.AskedBlob.Digest]
	}
	if c.AnswerBlob != nil {
		c.Result.Body = []byte(sim.texts[c.AnswerBlob.Digest])
	}
	if c.Result.Ran != result.No && !strings.Contains(c.Asked, fmt.Sprint(r.Program, c.Number)) {
		sim.addViolation("call %d of %s has another's question: %q", c.Number, r.Program, c.Asked)
	}
	return c
}

// verifyTakeover verifies that a takeover, from the newest snapshot and the journal
// after it, knows the same texts with the same holders as the complete journal: a
// text that a takeover does not know would be deleted.
func (sim *simulation) verifyTakeover(refs map[string]hist.Blob) {
	t, err := sim.nodes[0].boot(sim.st).Acquire(context.Background())
	if err != nil {
		sim.addViolation("the shard can't be taken over: %v", err)
		return
	}
	got := map[string]hist.Blob{}
	t.Fold.Known(func(b hist.Blob) { got[b.Digest] = b })
	if !reflect.DeepEqual(got, refs) {
		sim.addViolation("a takeover knows %d texts, the journal has %d: %v, %v", len(got), len(refs), got, refs)
	}
}

func (n *node) boot(st store.Store) boot.Takeover {
	return boot.Takeover{Store: st, Shard: 0, Owner: n.name, Rand: n.rand, Now: func() time.Time { return n.sim.now }}
}
