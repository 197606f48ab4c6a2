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

const maxEvent = 1 << 20 // largest server-sent event, in bytes

type (
	// reader reads the events of a response.
	reader struct {
		resp      *httpc.Response
		maxTokens int // limit of the answer's tokens; 0: no limit
		after     int // ID of the piece that a resumed answer must continue after
		id        int // last event id received; 0 if none or not a number
		sink      func(engine.Delta) error
		usage     engine.Usage
		minTokens int // lower bound of the tokens received
	}
)

var (
	prefixData = []byte("data:")
	prefixID   = []byte("id:")
	doneMark   = []byte("[DONE]")

	// ErrTruncated reports a response that ended without the end mark.
	ErrTruncated = errors.New("chat: answer was cut off")

	// ErrNotResumed reports an engine whose first piece is not the one after the
	// last piece received: it restarted the answer, skipped pieces or numbers
	// none. Accepting a restarted answer would give the caller two beginnings.
	ErrNotResumed = errors.New("chat: engine did not resume the answer")

	errOverLimit = errors.New("chat: engine exceeded max_tokens")
)

// run reads the events up to the end mark. A response without one was truncated,
// even if it is complete as HTTP: accepting it would pass off a partial answer as
// a complete one.
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

// piece passes a piece to the sink. An engine that ignores max_tokens could exceed
// the program's budget, so piece returns errOverLimit beyond that limit, and Chat
// closes the connection, which cancels the completion. For the limit, a piece
// without a token count counts as one token, so that no answer is truncated because
// of an estimate.
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
