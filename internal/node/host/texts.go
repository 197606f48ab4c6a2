package host

import (
	"context"

	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/shard/blobio"
	"github.com/slaterock/slaterock/internal/shard/blobs"
	"github.com/slaterock/slaterock/internal/shard/histio"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

// UpdateFolders sets the daemons that have a data folder, with their states. Bulk storage
// of long texts is started for the first such daemon, if Start has not started it.
func (h *Host) UpdateFolders(ms []swim.Member) {
	h.mu.Lock()
	if h.blobio == nil && len(ms) == 0 {
		h.mu.Unlock()
		return
	}
	h.startBulk()
	b := h.blobio
	removed := h.folders
	h.folders = map[string]swim.Member{}
	for _, m := range ms {
		delete(removed, m.Name)
		h.folders[m.Name] = m
	}
	h.mu.Unlock()
	for _, m := range ms {
		b.Tell(blobs.Member{Member: m})
	}
	for _, m := range removed {
		m.State = swim.Down
		b.Tell(blobs.Member{Member: m})
	}
	h.Tell(owner.OffloadEnabled{On: twoDomainsUp(ms)})
}

// twoDomainsUp reports whether at least two failure domains have a folder on an alive daemon.
func twoDomainsUp(ms []swim.Member) bool {
	domains := map[string]bool{}
	for _, m := range ms {
		if m.Disk && m.State == swim.Alive {
			domains[m.FailureDomain] = true
		}
	}
	return len(domains) >= 2
}

// startBulk starts bulk storage for the shard's texts. The caller holds h.mu.
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

// storeTexts stores a call's texts in data folders.
func (h *Host) storeTexts(k owner.Offload) {
	ctx, stop := context.WithTimeout(h.ctx, owner.OffloadTimeout)
	defer stop()
	h.post(owner.Offloaded{ID: k.ID, Request: k.Request, Asked: h.storeText(ctx, k.Asked), Answer: h.storeText(ctx, k.Answer)})
}

func (h *Host) storeText(ctx context.Context, text []byte) *hist.Blob {
	b := h.bulkStore()
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

func (h *Host) releaseText(t hist.Blob) {
	if d, err := blobs.Parse(t.Digest); err == nil {
		h.bulkStore().Tell(blobs.Release{Digest: d})
	}
}

func (h *Host) bulkStore() *blobio.BlobStore {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.blobio
}

// changed collects blobs with new holders. Bulk calls it with its lock held, so it must not
// block on the state machine or on anything that waits for bulk.
func (h *Host) changed(r blobio.Ref) {
	h.movedMu.Lock()
	defer h.movedMu.Unlock()
	h.moved = append(h.moved, blob(r))
}

// journalMoved passes the new holders to the state machine, which adds them to the journal.
func (h *Host) journalMoved() {
	h.movedMu.Lock()
	moved := h.moved
	h.moved = nil
	h.movedMu.Unlock()
	for _, t := range moved {
		h.step(owner.HoldersChanged{Blob: t})
	}
}

// journal returns the reader of the shard's journal and texts.
func (h *Host) journal() histio.Reader {
	return histio.Reader{Store: h.Store, Shard: h.Shard, ReadText: h.readText}
}

func (h *Host) readText(ctx context.Context, t hist.Blob) ([]byte, error) {
	d, err := blobs.Parse(t.Digest)
	if err != nil {
		return nil, err
	}
	b := h.bulkStore()
	if b == nil {
		return nil, blobio.ErrUnreadable
	}
	return b.Read(ctx, d)
}
