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
	// outdatedMargin is the number by which the outdated entries of the list of
	// text locations may exceed the number of texts before it is written anew.
	outdatedMargin = 1000
)

type (
	// textLocations is one value of the list of text locations, which tells where
	// in data folders each text is. A later entry of the list replaces an
	// earlier one for the same text.
	textLocations struct {
		Texts []hist.Blob `json:"texts"`
	}
)

// writeTexts adds the locations that the journal has recorded since the last
// snapshot to the newest value of the list, and starts another value when that is
// full. No text is ever removed from the list, because texts are part of the
// history. Writing the whole list each time would take a growing share of the
// store's writes.
func (s *Snap) writeTexts(ctx context.Context, f state.Fold) (keys []string, err error) {
	if !s.rewriteTexts {
		keys = slices.Clone(s.Head.Texts)
	}
	if len(f.Texts) == 0 {
		return keys, nil
	}
	var ts textLocations
	if n := len(keys); n > 0 {
		if err := s.read(ctx, keys[n-1], &ts); err != nil {
			return nil, err
		}
		keys = keys[:n-1]
	}
	remaining := slices.Concat(ts.Texts, sortedByDigest(f.Texts))
	const textsPerValue = MaxValueSize / bytesPerText
	for len(remaining) > 0 {
		n := min(textsPerValue, len(remaining))
		key, err := s.write(ctx, "texts", f.Upto, len(keys), textLocations{Texts: remaining[:n]})
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
		remaining = remaining[n:]
	}
	return keys, nil
}

// sortedByDigest returns the locations in a fixed order: a value that is written again
// after a lost reply must have the same bytes.
func sortedByDigest(m map[string]state.Text) []hist.Blob {
	out := make([]hist.Blob, 0, len(m))
	for _, t := range m {
		out = append(out, t.Blob)
	}
	slices.SortFunc(out, func(a, b hist.Blob) int { return strings.Compare(a.Digest, b.Digest) })
	return out
}

// loadTexts reads the list of text locations into f.SnapshotTexts. Each lost holder adds
// entries that make earlier ones outdated. A list that is mostly outdated is loaded into
// f.Texts instead, as if the journal had just referred to all texts, so that the next
// snapshot writes it anew.
func (s *Snap) loadTexts(ctx context.Context, f *state.Fold) error {
	entries := 0
	for _, key := range s.Head.Texts {
		var ts textLocations
		if err := s.read(ctx, key, &ts); err != nil {
			return err
		}
		entries += len(ts.Texts)
		if f.SnapshotTexts == nil {
			f.SnapshotTexts = make(map[string]hist.Blob, len(ts.Texts))
		}
		for _, b := range ts.Texts {
			f.SnapshotTexts[b.Digest] = b
		}
	}
	s.rewriteTexts = entries > 2*len(f.SnapshotTexts)+outdatedMargin
	if !s.rewriteTexts {
		return nil
	}
	f.Texts = make(map[string]state.Text, len(f.SnapshotTexts))
	for digest, b := range f.SnapshotTexts {
		f.Texts[digest] = state.Text{Blob: b, Entry: f.Upto}
	}
	f.SnapshotTexts = nil
	return nil
}
