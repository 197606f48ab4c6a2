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

// stream turns a completion into server-sent events. It is read by the server;
// an error of the completion fails the read, which breaks the connection.
type stream struct {
	deltas chan engine.Delta
	usage  engine.Usage // set before deltas is closed
	err    error        // as usage
	id     string
	model  string
	n      int
	buf    bytes.Buffer
	ended  bool
}

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

// Read implements io.Reader; one read never holds more than one event, so that
// each goes out at once.
func (s *stream) Read(p []byte) (int, error) {
	if s.buf.Len() == 0 {
		if err := s.next(); err != nil {
			return 0, err
		}
	}
	return s.buf.Read(p)
}

// next waits for the next event. The error before the first event is known
// before the answer's status is sent.
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
