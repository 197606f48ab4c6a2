package chat

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/slaterock/slaterock/internal/plat/engine"
	"github.com/slaterock/slaterock/internal/plat/httpc"
)

const maxEvent = 1 << 20 // bytes of one server-sent event

type (
	// reader takes an answer's events.
	reader struct {
		resp      *httpc.Response
		maxTokens int // tokens
		after     int // ID of the piece that a resumed answer goes on after
		id        int // of the newest event, 0 without one
		sink      func(engine.Delta) error
		usage     engine.Usage
		minTokens int // tokens that certainly came
	}
)

var (
	prefixData = []byte("data:")
	prefixID   = []byte("id:")
	doneMark   = []byte("[DONE]")

	// ErrCut reports an answer that ended before its end was told.
	ErrTruncated = errors.New("chat: answer was cut off")

	// ErrNotResumed reports an engine that began an answer anew instead of going
	// on with it. Taking its pieces would give the caller two beginnings.
	ErrNotResumed = errors.New("chat: engine did not resume the answer")

	errOverLimit = errors.New("chat: engine went on past the limit")
)

// run reads the events up to the end mark. An answer without one was cut off,
// however whole it looks: its reader would take half an answer for the whole.
func (r *reader) run() error {
	s := bufio.NewScanner(r.resp.Body)
	s.Buffer(nil, maxEvent)
	for s.Scan() {
		if id, ok := bytes.CutPrefix(s.Bytes(), prefixID); ok {
			r.id, _ = strconv.Atoi(string(bytes.TrimSpace(id)))
			continue
		}
		data, ok := bytes.CutPrefix(s.Bytes(), prefixData)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMark) {
			return nil
		}
		err := r.event(data)
		if errors.Is(err, errOverLimit) {
			r.usage.Finish = finishLength
			return nil
		}
		if err != nil {
			return &engine.Error{Sent: true, Status: http.StatusOK, Err: err}
		}
	}
	err := s.Err()
	if err == nil {
		err = ErrTruncated
	}
	return &engine.Error{Sent: true, Status: http.StatusOK, Err: r.resp.Cause(err)}
}

func (r *reader) event(data []byte) error {
	var c Chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("chat: event is not JSON: %w", err)
	}
	if c.Usage != nil {
		r.usage.Prompt, r.usage.Cached, r.usage.Output = c.Usage.Prompt, c.Usage.Details.Cached, c.Usage.Completion
	}
	if len(c.Choices) == 0 {
		return nil
	}
	if f := c.Choices[0].Finish; f != nil {
		r.usage.Finish = *f
	}
	return r.piece(c.Choices[0].Delta)
}

// piece passes a piece on while the limit lasts. An engine that ignores
// max_tokens would spend its program's budget: the answer is ended here, and
// closing the connection cancels the rest. A piece without a token count is
// taken for one token, so that no answer is cut on an estimate.
func (r *reader) piece(m Message) error {
	if m.Content == "" {
		return nil
	}
	if r.after > 0 && r.id != r.after+1 {
		return ErrNotResumed
	}
	r.after = 0
	r.resp.UseIdleTimeout()
	r.minTokens += max(m.Tokens, 1)
	if r.maxTokens > 0 && r.minTokens > r.maxTokens {
		return errOverLimit
	}
	tokens := m.Tokens
	if tokens == 0 {
		tokens = engine.Tokens(len(m.Content))
	}
	r.usage.Output += tokens
	return r.sink(engine.Delta{Text: m.Content, Tokens: tokens, ID: r.id})
}
