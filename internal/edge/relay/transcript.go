package relay

import (
	"strings"

	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

// transcript is the text sent to the caller over all attempts of a call.
//
// A repeated call streams its answer again from the start. Without the transcript
// the caller would get the beginning twice or, if a second attempt generates a
// different answer, a mixture that is in no history. After the first difference
// nothing more is sent. The attempt continues so that its outcome is recorded, and
// the call fails with an error that asks the caller to repeat it.
type transcript struct {
	sink    runner.Sink
	cancel  func() // cancels the call when the caller has disconnected
	text    strings.Builder
	offset  int // bytes of text that the current attempt has repeated or added
	differs bool
}

// nextSink returns the sink of the next attempt.
func (t *transcript) nextSink() runner.Sink {
	if t.sink == nil {
		return nil
	}
	t.offset = 0
	return t.add
}

// add forwards the part of a piece that the caller was not sent yet.
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

// check returns the outcome, or a failure if it is OK but an attempt streamed a piece
// that differs from the text already sent.
func (t *transcript) check(res result.Result) result.Result {
	if !res.OK() || !t.differs {
		return res
	}
	return result.Failed(result.CodeUpstreamFailed, result.Yes,
		"the answer was begun again and differs from what was sent; repeat the call with the same number")
}
