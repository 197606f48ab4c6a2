package host

import (
	"context"

	"github.com/slaterock/slaterock/internal/peer/beat"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/shard/blobio"
	"github.com/slaterock/slaterock/internal/shard/blobs"
	"github.com/slaterock/slaterock/internal/shard/histio"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

// Folders tells which daemons have a data folder, and how they are. Where there
// never is one, long texts cost nothing here.
func (h *Host) Folders(ms []beat.Member) {
	h.mu.Lock()
	if h.blobio == nil && len(ms) == 0 {
		h.mu.Unlock()
		return
	}
	h.startBulk()
	b := h.blobio
	gone := h.folders
	h.folders = map[string]beat.Member{}
	for _, m := range ms {
		delete(gone, m.Name)
		h.folders[m.Name] = m
	}
	h.mu.Unlock()
	for _, m := range ms {
		b.Tell(blobs.Member{Member: m})
	}
	for _, m := range gone {
		m.State = beat.Down
		b.Tell(blobs.Member{Member: m})
	}
	h.Tell(owner.OffloadEnabled{On: enough(ms)})
}

// enough reports whether two failure domains have a folder that is up.
func enough(ms []beat.Member) bool {
	domains := map[string]bool{}
	for _, m := range ms {
		if m.Disk && m.State == beat.Alive {
			domains[m.FailureDomain] = true
		}
	}
	return len(domains) >= 2
}

// startBulk begins to look after the shard's texts; the caller holds the mutex.
func (h *Host) startBulk() {
	if h.blobio != nil {
		return
	}
	b := &blobio.BlobStore{Peers: h.Peers, Shard: h.Shard, Epoch: h.Taken.Epoch, HoldersChanged: h.changed, Go: h.Go}
	go b.Run(h.ctx)
	b.Tell(blobs.Self{FailureDomain: h.Domain})
	h.Taken.Fold.Known(func(t hist.Blob) {
		if d, err := blobs.Parse(t.Digest); err == nil {
			b.Tell(blobs.Known{Digest: d, Size: t.Size, Holders: t.Holders})
		}
	})
	b.Tell(blobs.JournalLoaded{})
	h.blobio = b
}

// keep puts a call's texts into data folders.
func (h *Host) keep(k owner.Offload) {
	ctx, stop := context.WithTimeout(h.ctx, owner.OffloadTimeout)
	defer stop()
	h.post(owner.Offloaded{ID: k.ID, Request: k.Request, Asked: h.store(ctx, k.Asked), Answer: h.store(ctx, k.Answer)})
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

func blob(r blobio.Ref) hist.Blob {
	return hist.Blob{Digest: r.Digest.String(), Size: r.Size, Holders: r.Holders}
}

func (h *Host) unkeep(t hist.Blob) {
	if d, err := blobs.Parse(t.Digest); err == nil {
		h.texts().Tell(blobs.Release{Digest: d})
	}
}

func (h *Host) texts() *blobio.BlobStore {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.blobio
}

// changed notes new holders; it is called by bulk under its lock, so it must
// not wait for the machine or for anything that waits for bulk.
func (h *Host) changed(r blobio.Ref) {
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
		h.step(owner.HoldersChanged{Blob: t})
	}
}

// journal reads the shard's journal and texts.
func (h *Host) journal() histio.Reader {
	return histio.Reader{Store: h.Store, Shard: h.Shard, ReadText: h.text}
}

func (h *Host) text(ctx context.Context, t hist.Blob) ([]byte, error) {
	d, err := blobs.Parse(t.Digest)
	if err != nil {
		return nil, err
	}
	b := h.texts()
	if b == nil {
		return nil, blobio.ErrUnreadable
	}
	return b.Read(ctx, d)
}
