// Package chat speaks the usual chat completion protocol towards callers: it
// reads the few fields of a request that concern the system, and forms answers
// as one JSON object or as the chunks of a stream.
//
// The request itself is passed on untouched, so that fields which only the
// engine understands keep working.
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
	// Request is what concerns the system in a caller's request. MaxTokens is
	// 0 where the caller set no bound.
	Request struct {
		Model     string
		MaxTokens int
		Stream    bool
		Usage     bool // the caller of a stream wants the usage at its end
	}

	// Answer forms the answer to one request.
	Answer struct {
		ID      string // the request's name
		Model   string
		Created int64 // seconds since 1970
		Usage   bool  // a stream ends with Total

		chunkPrefix []byte // what stands before the piece in each chunk of text
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

// Parse reads a caller's request. It refuses more than one choice, because the
// history keeps one answer for one call.
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

// Whole returns the answer as one object.
func (a Answer) Completion(r result.Result) []byte {
	text := string(r.Body)
	w := a.wire(objectCompletion)
	w.Choices = []wireChoice{{Message: &wireMessage{Role: assistant, Content: &text}, Finish: &r.Finish}}
	w.Usage = usage(r)
	return encode(w)
}

// Role returns the first chunk of a stream.
func (a Answer) Role() []byte {
	empty := ""
	return a.chunk(wireChoice{Delta: &wireMessage{Role: assistant, Content: &empty}})
}

// Text appends a chunk with a piece of the answer to b. It is called for every
// piece of every stream, so it does not go through the types: only the piece is
// encoded, the rest is the same for each.
func (a *Answer) Text(b []byte, piece string) []byte {
	if a.chunkPrefix == nil {
		a.buildPrefix()
	}
	quoted, _ := json.Marshal(piece) // a string always can be
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

// Finish returns the chunk that tells why the answer ended.
func (a Answer) Finish(r result.Result) []byte {
	return a.chunk(wireChoice{Delta: &wireMessage{}, Finish: &r.Finish})
}

// Total returns the chunk with the usage, which follows Finish where the caller
// asked for it.
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

// encode can't fail: the types hold nothing that JSON lacks.
func encode(w wireAnswer) []byte {
	data, _ := json.Marshal(w)
	return data
}
