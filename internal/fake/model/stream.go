package model

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/slaterock/slaterock/internal/plat/chat"
	"github.com/slaterock/slaterock/internal/plat/engine"
)

const chunkObject = "chat.completion.chunk"

// stream encodes a completion as server-sent events. The HTTP server reads it
// as the response body; an error of the completion fails the read, on which the
// server closes the connection.
type stream struct {
	deltas chan engine.Delta
	usage  engine.Usage // set before deltas is closed
	err    error        // set before deltas is closed
	id     string
	model  string
	n      int // number of the last piece sent
	buf    bytes.Buffer
	ended  bool
}

// run executes the completion and sends its pieces to deltas.
func (s *stream) run(ctx context.Context, e *Engine, r engine.Request) {
	defer close(s.deltas)
	s.usage, s.err = e.Chat(ctx, r, func(d engine.Delta) error {
		select {
		case s.deltas <- d:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	})
}

// Read implements io.Reader. One read returns bytes of one event at most, so
// that each event is sent without waiting for the next.
func (s *stream) Read(p []byte) (int, error) {
	if s.buf.Len() == 0 {
		if err := s.next(); err != nil {
			return 0, err
		}
	}
	return s.buf.Read(p)
}

// next waits for the next event and writes it to buf. The server calls it once
// before it sends the status, so that an error before the first event can still
// set the status.
func (s *stream) next() error {
	if s.ended {
		return io.EOF
	}
	d, more := <-s.deltas
	if more {
		s.n++
		fmt.Fprintf(&s.buf, "id: %d\n", s.n)
		return s.event(chat.Choice{Delta: chat.Message{Content: d.Text, Tokens: d.Tokens}}, nil)
	}
	if s.err != nil {
		return s.err
	}
	s.ended = true
	u := s.usage
	err := s.event(chat.Choice{Finish: &u.Finish}, &chat.ChunkUsage{
		Prompt: u.Prompt, Completion: u.Output, Total: u.Prompt + u.Output,
		Details: chat.PromptDetails{Cached: u.Cached},
	})
	s.buf.WriteString("data: [DONE]\n\n")
	return err
}

func (s *stream) event(c chat.Choice, u *chat.ChunkUsage) error {
	raw, err := json.Marshal(chat.Chunk{ID: s.id, Object: chunkObject, Model: s.model, Choices: []chat.Choice{c}, Usage: u})
	if err != nil {
		return err
	}
	fmt.Fprintf(&s.buf, "data: %s\n\n", raw)
	return nil
}
