// Package chat implements the server side of the chat completion API: it parses the
// request fields that the system needs, and encodes answers as one JSON object or as
// the chunks of a stream.
//
// Request bodies are forwarded to the engine unchanged, so that fields known only to
// the engine keep working.
package chat

import (
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
	assistant        = "assistant"
	chunkSuffix      = `},"finish_reason":null}]}`
)

type (
	// Request holds the fields that the system needs. MaxTokens is 0 if the
	// caller set no limit.
	Request struct {
		Model     string
		MaxTokens int
		Stream    bool
		Usage     bool // the stream should end with the token usage
	}

	// Answer encodes the answer to one request.
	Answer struct {
		ID      string // request id
		Model   string
		Created int64 // seconds since 1970
		Usage   bool  // the stream ends with UsageChunk

		chunkPrefix []byte // constant start of each text chunk, built on first use
	}

	wireRequest struct {
		Model               string          `json:"model"`
		Messages            json.RawMessage `json:"messages"`
		MaxTokens           int             `json:"max_tokens"`
		MaxCompletionTokens int             `json:"max_completion_tokens"`
		N                   int             `json:"n"`
		Stream              bool            `json:"stream"`
		StreamOptions       struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
	}

	wireAnswer struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"`
		Model   string       `json:"model"`
		Choices []wireChoice `json:"choices"`
		Usage   *wireUsage   `json:"usage,omitempty"`
	}

	wireChoice struct {
		Index   int          `json:"index"`
		Message *wireMessage `json:"message,omitempty"`
		Delta   *wireMessage `json:"delta,omitempty"`
		Finish  *string      `json:"finish_reason"`
	}

	wireMessage struct {
		Role    string  `json:"role,omitempty"`
		Content *string `json:"content,omitempty"`
	}

	wireUsage struct {
		Prompt  int         `json:"prompt_tokens"`
		Output  int         `json:"completion_tokens"`
		Total   int         `json:"total_tokens"`
		Details wireDetails `json:"prompt_tokens_details"`
	}

	wireDetails struct {
		Cached int `json:"cached_tokens"`
	}
)

// Parse parses a request. It rejects n above 1 because the history holds one answer
// per call.
func Parse(body []byte) (r Request, err error) {
	defer func() { err = errors.Wrap(err, "chat request") }()
	var w wireRequest
	if err = json.Unmarshal(body, &w); err != nil {
		return Request{}, err
	}
	if len(w.Messages) == 0 {
		return Request{}, errors.New("messages are missing")
	}
	if w.N > 1 {
		return Request{}, errors.New("n above 1 is not supported")
	}
	if w.MaxTokens < 0 || w.MaxCompletionTokens < 0 {
		return Request{}, errors.New("max_tokens is negative")
	}
	r = Request{Model: w.Model, MaxTokens: w.MaxTokens, Stream: w.Stream, Usage: w.StreamOptions.IncludeUsage}
	if w.MaxCompletionTokens > 0 {
		r.MaxTokens = w.MaxCompletionTokens
	}
	return r, nil
}

// Completion returns the complete answer as one object.
func (a Answer) Completion(r result.Result) []byte {
	text := string(r.Body)
	w := a.wire(objectCompletion)
	w.Choices = []wireChoice{{Message: &wireMessage{Role: assistant, Content: &text}, Finish: &r.Finish}}
	w.Usage = usage(r)
	return encode(w)
}

// Role returns the first chunk of a stream, which holds the role only.
func (a Answer) Role() []byte {
	empty := ""
	return a.chunk(wireChoice{Delta: &wireMessage{Role: assistant, Content: &empty}})
}

// Text appends a chunk with a piece of the answer to b. It runs for every piece of
// every stream, so it encodes only the piece and takes the rest of the chunk, which
// never changes, from a prepared prefix and suffix.
func (a *Answer) Text(b []byte, piece string) []byte {
	if a.chunkPrefix == nil {
		a.buildPrefix()
	}
	quoted, _ := json.Marshal(piece) // never fails for a string
	b = append(b, a.chunkPrefix...)
	b = append(b, quoted...)
	return append(b, chunkSuffix...)
}

func (a *Answer) buildPrefix() {
	id, _ := json.Marshal("chatcmpl-" + a.ID)
	model, _ := json.Marshal(a.Model)
	a.chunkPrefix = fmt.Appendf(nil, `{"id":%s,"object":"%s","created":%d,"model":%s,"choices":[{"index":0,"delta":{"content":`,
		id, objectChunk, a.Created, model)
}

// Finish returns the chunk with the finish reason.
func (a Answer) Finish(r result.Result) []byte {
	return a.chunk(wireChoice{Delta: &wireMessage{}, Finish: &r.Finish})
}

// UsageChunk returns the chunk with the token usage, which follows Finish if the
// caller asked for it.
func (a Answer) UsageChunk(r result.Result) []byte {
	w := a.wire(objectChunk)
	w.Choices = []wireChoice{}
	w.Usage = usage(r)
	return encode(w)
}

func (a Answer) chunk(c wireChoice) []byte {
	w := a.wire(objectChunk)
	w.Choices = []wireChoice{c}
	return encode(w)
}

func (a Answer) wire(object string) wireAnswer {
	return wireAnswer{ID: "chatcmpl-" + a.ID, Object: object, Created: a.Created, Model: a.Model}
}

func usage(r result.Result) *wireUsage {
	return &wireUsage{
		Prompt:  r.Prompt,
		Output:  r.Output,
		Total:   r.Prompt + r.Output,
		Details: wireDetails{Cached: r.Cached},
	}
}

// encode ignores the error because these types can always be encoded.
func encode(w wireAnswer) []byte {
	data, _ := json.Marshal(w)
	return data
}
