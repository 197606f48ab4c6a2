package relay

import (
	"strings"

	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

// transcript is the text that a caller was sent, over all attempts.
//
// A repeated call streams its answer again from the start. Without the
// transcript the caller would get the beginning twice, or, where a second
// attempt words the answer differently, a mixture that is in no history. On the
// first difference nothing more is sent; the attempt goes on so that its
// outcome is recorded, and the caller is told to repeat the call.
type transcript struct {
	sink    runner.Sink
	cancel  func() // ends all attempts when the caller is gone
	text    strings.Builder
	offset  int // bytes of text that the attempt under way repeated
	differs bool
}

// begin returns the sink of the next attempt.
func (t *transcript) nextSink() runner.Sink {
	if t.sink == nil {
		return nil
	}
	t.offset = 0
	return t.add
}

func (t *transcript) add(piece string) error {
	sent := t.text.String()[t.offset:]
	overlap := min(len(sent), len(piece))
	if sent[:overlap] != piece[:overlap] {
		t.differs = true
	}
	if t.differs {
		return nil
	}
	t.offset += overlap
	added := piece[overlap:]
	if added == "" {
		return nil
	}
	t.text.WriteString(added)
	t.offset += len(added)
	err := t.sink(added)
	if err != nil {
		t.cancel()
	}
	return err
}

// check returns the outcome, unless its answer is not the one that the caller
// was sent the beginning of.
func (t *transcript) check(res result.Result) result.Result {
	if !res.OK() || !t.differs {
		return res
	}
	return result.Failed(result.CodeUpstreamFailed, result.Yes,
		"the answer was begun again and differs from what was sent; repeat the call with the same number")
}
