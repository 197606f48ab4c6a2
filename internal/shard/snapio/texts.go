package snapio

import (
	"context"
	"slices"
	"strings"

	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/state"
)

const (
	bytesPerText = 160
	// slack is how many outdated lines the list of texts may have beside as
	// many as there are texts, before it is written anew.
	maxOutdatedTexts = 1000
)

type (
	// texts is one value of the list of texts in data folders. A later line
	// about a text replaces an earlier one.
	texts struct {
		Texts []hist.Blob `json:"texts"`
	}
)

// writeTexts adds what the journal told of texts since the last snapshot to the
// newest value of the list, and begins another when that has grown. Texts are
// never forgotten, as they are history; writing all of them each time would
// cost more and more of the store's writes.
func (s *Snap) writeTexts(ctx context.Context, f state.Fold) (keys []string, err error) {
	if !s.rewriteTexts {
		keys = slices.Clone(s.Head.Texts)
	}
	if len(f.Texts) == 0 {
		return keys, nil
	}
	var ts texts
	if n := len(keys); n > 0 {
		if err := s.read(ctx, keys[n-1], &ts); err != nil {
			return nil, err
		}
		keys = keys[:n-1]
	}
	remaining := slices.Concat(ts.Texts, sortedByDigest(f.Texts))
	const textsPerValue = MaxPart / bytesPerText
	for len(remaining) > 0 {
		n := min(textsPerValue, len(remaining))
		key, err := s.write(ctx, "texts", f.Upto, len(keys), texts{Texts: remaining[:n]})
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
		remaining = remaining[n:]
	}
	return keys, nil
}

// sorted puts the texts in an order of their own: a value that is written again
// after a lost acknowledgement must have the same bytes.
func sortedByDigest(m map[string]state.Text) []hist.Blob {
	out := make([]hist.Blob, 0, len(m))
	for _, t := range m {
		out = append(out, t.Blob)
	}
	slices.SortFunc(out, func(a, b hist.Blob) int { return strings.Compare(a.Digest, b.Digest) })
	return out
}

// loadTexts reads the list. One that is mostly outdated, since lost holders add
// lines, is taken as if the journal had just told it all, so that the next
// snapshot writes it anew.
func (s *Snap) loadTexts(ctx context.Context, f *state.Fold) error {
	entries := 0
	for _, key := range s.Head.Texts {
		var ts texts
		if err := s.read(ctx, key, &ts); err != nil {
			return err
		}
		entries += len(ts.Texts)
		if f.Older == nil {
			f.Older = make(map[string]hist.Blob, len(ts.Texts))
		}
		for _, b := range ts.Texts {
			f.Older[b.Digest] = b
		}
	}
	s.rewriteTexts = entries > 2*len(f.Older)+maxOutdatedTexts
	if !s.rewriteTexts {
		return nil
	}
	f.Texts = make(map[string]state.Text, len(f.Older))
	for digest, b := range f.Older {
		f.Texts[digest] = state.Text{Blob: b, Entry: f.Upto}
	}
	f.Older = nil
	return nil
}
