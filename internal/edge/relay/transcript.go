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
	gone    func() // ends all attempts when the caller is gone
	text    strings.Builder
	at      int // bytes of text that the attempt under way repeated
	differs bool
}

// begin returns the sink of the next attempt.
func (t *transcript) begin() runner.Sink {
	if t.sink == nil {
		return nil
	}
	t.at = 0
	return t.add
}

func (t *transcript) add(piece string) error {
	sent := t.text.String()[t.at:]
	known := min(len(sent), len(piece))
	if sent[:known] != piece[:known] {
		t.differs = true
	}
	if t.differs {
		return nil
	}
	t.at += known
	fresh := piece[known:]
	if fresh == "" {
		return nil
	}
	t.text.WriteString(fresh)
	t.at += len(fresh)
	err := t.sink(fresh)
	if err != nil {
		t.gone()
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
