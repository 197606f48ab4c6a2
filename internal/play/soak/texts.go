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

var errNoHolder = errors.New("no holder answers")

// folders tells whether long texts go to data folders; they do in most
// histories, but not always.
func (w *simulation) offloadEnabled() bool { return w.choose(4) > 0 }

// adopt lets the folders drop at once what the journal doesn't refer to.
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

// keep puts texts into folders: soon, too late, never, or only one of them. A
// holder is replaced now and then.
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
			return // its folders heed the newest owner alone
		}
		offloaded := owner.Offloaded{ID: k.ID, Request: k.Request, Asked: n.storeText(asked), Answer: n.storeText(answer)}
		n.later(w.randomDuration(0, 20*time.Millisecond), func() { n.deliver(own, offloaded) })
	})
}

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

// text reads from the folders, which now and then don't answer.
func (w *simulation) text(_ context.Context, b hist.Blob) ([]byte, error) {
	text, ok := w.texts[b.Digest]
	if !ok || w.fault(200) {
		return nil, errNoHolder
	}
	return []byte(text), nil
}

// resolve puts a call's texts back and looks whether they are its own.
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

// compare looks whether snapshot and journal together give the same texts, with
// the same holders, as the whole journal: what a takeover didn't know would be
// dropped.
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
