package host

import (
	"context"

	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/shard/blobs"
	"github.com/slaterock/slaterock/internal/shard/bulk"
	"github.com/slaterock/slaterock/internal/shard/owner"
	"github.com/slaterock/slaterock/internal/shard/past"
)

// Folders tells which daemons have a data folder, and how they are. Where there
// never is one, long texts cost nothing here.
func (h *Host) Folders(ms []swim.Member) {
	h.mu.Lock()
	if h.bulk == nil && len(ms) == 0 {
		h.mu.Unlock()
		return
	}
	h.startBulk()
	b := h.bulk
	gone := h.folders
	h.folders = map[string]swim.Member{}
	for _, m := range ms {
		delete(gone, m.Name)
		h.folders[m.Name] = m
	}
	h.mu.Unlock()
	for _, m := range ms {
		b.Tell(blobs.Member{Member: m})
	}
	for _, m := range gone {
		m.State = swim.Down
		b.Tell(blobs.Member{Member: m})
	}
	h.Tell(owner.Keeping{On: enough(ms)})
}

// enough reports whether two failure domains have a folder that is up.
func enough(ms []swim.Member) bool {
	domains := map[string]bool{}
	for _, m := range ms {
		if m.Disk && m.State == swim.Alive {
			domains[m.FailureDomain] = true
		}
	}
	return len(domains) >= 2
}

// startBulk begins to look after the shard's texts; the caller holds the mutex.
func (h *Host) startBulk() {
	if h.bulk != nil {
		return
	}
	b := &bulk.Bulk{Peers: h.Peers, Shard: h.Shard, Epoch: h.Taken.Epoch, Changed: h.changed, Go: h.Go}
	go b.Run(h.ctx)
	b.Tell(blobs.Self{FailureDomain: h.Domain})
	h.Taken.Fold.Known(func(t hist.Blob) {
		if d, err := blobs.Parse(t.Digest); err == nil {
			b.Tell(blobs.Known{Digest: d, Size: t.Size, Holders: t.Holders})
		}
	})
	b.Tell(blobs.Ready{})
	h.bulk = b
}

// keep puts a call's texts into data folders.
func (h *Host) keep(k owner.Keep) {
	ctx, stop := context.WithTimeout(h.ctx, owner.KeepWait)
	defer stop()
	h.post(owner.Kept{ID: k.ID, Request: k.Request, Asked: h.store(ctx, k.Asked), Answer: h.store(ctx, k.Answer)})
}

func (h *Host) store(ctx context.Context, text []byte) *hist.Blob {
	b := h.texts()
	if text == nil || b == nil {
		return nil
	}
	ref, kept := b.Store(ctx, text)
	if !kept {
		return nil
	}
	t := blob(ref)
	return &t
}

func blob(r bulk.Ref) hist.Blob {
	return hist.Blob{Digest: r.Digest.String(), Size: r.Size, Holders: r.Holders}
}

func (h *Host) unkeep(t hist.Blob) {
	if d, err := blobs.Parse(t.Digest); err == nil {
		h.texts().Tell(blobs.Release{Digest: d})
	}
}

func (h *Host) texts() *bulk.Bulk {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bulk
}

// changed notes new holders; it is called by bulk under its lock, so it must
// not wait for the machine or for anything that waits for bulk.
func (h *Host) changed(r bulk.Ref) {
	h.movedMu.Lock()
	defer h.movedMu.Unlock()
	h.moved = append(h.moved, blob(r))
}

// tellMoved has new holders written down.
func (h *Host) tellMoved() {
	h.movedMu.Lock()
	moved := h.moved
	h.moved = nil
	h.movedMu.Unlock()
	for _, t := range moved {
		h.step(owner.Held{Blob: t})
	}
}

// journal reads the shard's journal and texts.
func (h *Host) journal() past.Past {
	return past.Past{Store: h.Store, Shard: h.Shard, Text: h.text}
}

func (h *Host) text(ctx context.Context, t hist.Blob) ([]byte, error) {
	d, err := blobs.Parse(t.Digest)
	if err != nil {
		return nil, err
	}
	b := h.texts()
	if b == nil {
		return nil, bulk.ErrUnreadable
	}
	return b.Read(ctx, d)
}
