package histio_test

import (
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/keyval"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/record"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/shard/histio"
	"github.com/slaterock/slaterock/internal/shard/jrnl"
)

var errUnread = errors.New("no holder answers")

// A call's texts are in data folders, and some of them can't be read now. Fill must
// note a missing text, and Call must return an error instead of an empty answer.
func TestTextsInFolders(t *testing.T) {
	asked := &hist.Blob{Digest: "d1", Size: 8, Holders: []string{"a", "b"}}
	answer := &hist.Blob{Digest: "d2", Size: 6, Holders: []string{"a", "b"}}
	tests := map[string]struct {
		texts         map[string]string
		none          bool // no folder is known
		asked, answer string
		note          []string
	}{
		"both read":          {map[string]string{"d1": "question", "d2": "answer"}, false, "question", "answer", nil},
		"question is unread": {map[string]string{"d2": "answer"}, false, "", "answer", []string{"question", "d1"}},
		"answer is unread":   {map[string]string{"d1": "question"}, false, "question", "", []string{"answer", "d2"}},
		"both are unread":    {nil, false, "", "", []string{"question", "d1", "; ", "answer", "d2"}},
		"no folder is known": {nil, true, "", "", []string{"question", "d1", "; ", "answer", "d2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := hist.Call{Request: "r", AskedBlob: asked, AnswerBlob: answer, Result: result.Result{Code: result.CodeOK, Ran: result.Yes}}
			us, err := record.Units(record.Ended{Program: "p", Call: c, Final: true, InOrder: true}, 1)
			is.NoErr(err)
			data, err := record.Entry{Number: 1, Epoch: 1, Units: us}.Encode()
			is.NoErr(err)
			st := &keyval.Store{}
			_, err = st.Put(t.Context(), jrnl.Key(0, 1), data, 0, 0)
			is.NoErr(err)
			p := histio.Reader{Store: st, ReadText: func(_ context.Context, b hist.Blob) ([]byte, error) {
				if text, ok := tt.texts[b.Digest]; ok {
					return []byte(text), nil
				}
				return nil, errUnread
			}}
			if tt.none {
				p.ReadText = nil
			}

			h := hist.History{Calls: []hist.Call{c, {Asked: "short"}}}
			p.Fill(t.Context(), &h)
			is.Equal(h.Calls[0].Asked, tt.asked)
			is.Equal(string(h.Calls[0].Result.Body), tt.answer)
			is.Equal(h.Calls[0].Note == "", len(tt.note) == 0)
			for _, part := range tt.note {
				is.True(strings.Contains(h.Calls[0].Note, part))
			}
			is.Equal(h.Calls[1], hist.Call{Asked: "short"})

			got, ok, err := p.Call(t.Context(), "p", 0, []uint64{1})
			is.Equal(err == nil, tt.answer != "")
			is.True(ok)
			is.Equal(string(got.Result.Body), tt.answer)
		})
	}
}
