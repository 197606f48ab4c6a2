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
func (w *simulation) offloadEnabled() bool { return w.choose(4) > 0 }

// dropUnreferencedTexts deletes the texts that the journal does not refer to from
// the data folders, at a takeover. It verifies that all others are there.
func (n *node) dropUnreferencedTexts() {
	w := n.w
	w.newestOwner = n.own
	known := map[string]string{}
	n.own.Fold.Known(func(b hist.Blob) {
		text, ok := w.texts[b.Digest]
		if !ok {
			w.addViolation("%s is referred to and not in the folders", b.Digest)
		}
		known[b.Digest] = text
	})
	w.texts = known
	n.own.Fold.SnapshotTexts = nil
	n.refs = map[string]int{}
	for digest := range known {
		n.refs[digest] = 1
	}
}

// offload stores the texts of a call in the data folders, after a random delay.
// Under faults the delay may be too long, and either text or both may fail to be
// stored.
func (n *node) offload(own *owner.Owner, k owner.Offload) {
	w := n.w
	instance := n.instance
	wait := w.randomDuration(0, 300*time.Millisecond)
	if w.fault(150) {
		wait = w.randomDuration(time.Second, 6*time.Second)
	}
	asked, answer := k.Asked, k.Answer
	w.after(wait, func() {
		if n.own != own || n.instance != instance || w.newestOwner != own {
			return // data folders accept texts from the newest owner only
		}
		offloaded := owner.Offloaded{ID: k.ID, Request: k.Request, Asked: n.storeText(asked), Answer: n.storeText(answer)}
		n.later(w.randomDuration(0, 20*time.Millisecond), func() { n.deliver(own, offloaded) })
	})
}

// storeText stores a text and returns its reference, or nil if text is nil or that
// fails. Later one of its holders may be replaced.
func (n *node) storeText(text []byte) *hist.Blob {
	w := n.w
	if text == nil || w.fault(150) {
		return nil
	}
	b := hist.Blob{Digest: blobs.Sum(text).String(), Size: len(text), Holders: []string{"x", "y"}}
	w.texts[b.Digest] = string(text)
	n.refs[b.Digest]++
	w.stats.Kept++
	if w.fault(100) {
		own, moved := n.own, b
		moved.Holders = []string{"x", fmt.Sprint("z", w.choose(10))}
		n.later(w.randomDuration(100*time.Millisecond, 20*time.Second), func() {
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
	n.w.stats.Late++
	if n.w.newestOwner != own {
		return
	}
	n.refs[b.Digest]--
	if n.refs[b.Digest] == 0 {
		delete(n.w.texts, b.Digest)
	}
}

// text reads a text from the data folders; it fails at random under faults.
func (w *simulation) text(_ context.Context, b hist.Blob) ([]byte, error) {
	text, ok := w.texts[b.Digest]
	if !ok || w.fault(200) {
		return nil, errNoHolder
	}
	return []byte(text), nil
}

// resolve returns the call with its offloaded texts and verifies that they belong
// to it. It adds them to refs.
func (w *simulation) resolve(refs map[string]hist.Blob, r record.Ended) hist.Call {
	c := r.Call
	for b, inline := range map[*hist.Blob]int{c.AskedBlob: len(c.Asked), c.AnswerBlob: len(c.Result.Body)} {
		if b == nil {
			continue
		}
		refs[b.Digest] = *b
		if _, ok := w.texts[b.Digest]; !ok || inline > 0 {
			w.addViolation("call %d of %s refers to a text that the folders don't have, or has it inline too", c.Number, r.Program)
		}
	}
	if c.AskedBlob != nil {
		c.Asked = w.texts[c.AskedBlob.Digest]
	}
	if c.AnswerBlob != nil {
		c.Result.Body = []byte(w.texts[c.AnswerBlob.Digest])
	}
	if c.Result.Ran != result.No && !strings.Contains(c.Asked, fmt.Sprint(r.Program, c.Number)) {
		w.addViolation("call %d of %s has another's question: %q", c.Number, r.Program, c.Asked)
	}
	return c
}

// verifyTakeover verifies that a takeover, from the newest snapshot and the journal
// after it, knows the same texts with the same holders as the complete journal: a
// text that a takeover does not know would be deleted.
func (w *simulation) verifyTakeover(refs map[string]hist.Blob) {
	t, err := w.nodes[0].boot(w.st).Take(context.Background())
	if err != nil {
		w.addViolation("the shard can't be taken over: %v", err)
		return
	}
	got := map[string]hist.Blob{}
	t.Fold.Known(func(b hist.Blob) { got[b.Digest] = b })
	if !reflect.DeepEqual(got, refs) {
		w.addViolation("a takeover knows %d texts, the journal has %d: %v, %v", len(got), len(refs), got, refs)
	}
}

func (n *node) boot(st store.Store) boot.Boot {
	return boot.Boot{Store: st, Shard: 0, Owner: n.name, Rand: n.rand, Now: func() time.Time { return n.w.now }}
}
