// Package client is an HTTP client of a daemon's interface for callers and
// operators, for the commands and for tests.
package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/edge/server"
	"github.com/slaterock/slaterock/internal/plat/httpc"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
)

const (
	eventData = "data: "
	eventDone = "[DONE]"
	maxLine   = 1 << 20
)

type (
	// Client sends requests to the daemon at Address (host:port) with an account's key.
	Client struct {
		Address string
		Key     string
	}

	// Message is one message of a conversation.
	Message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	// Answer is a model's complete answer or a service's response.
	Answer struct {
		Request  string
		Status   int
		Text     string
		Complete bool // a stream's end marker was received, or a service answered with status 2xx
		Pieces   int
		Prompt   int // tokens of the prompt, for a model call
		Cached   int // prompt tokens from the prefix cache
		Output   int
	}

	// StatusError is a response with a status other than 2xx, or the error event of a
	// stream.
	StatusError struct {
		Status int
		Body   string
	}

	chatBody struct {
		Model    string    `json:"model,omitempty"`
		Stream   bool      `json:"stream,omitempty"`
		Max      int       `json:"max_tokens,omitempty"`
		Messages []Message `json:"messages"`
		Options  struct {
			Usage bool `json:"include_usage"`
		} `json:"stream_options"`
	}

	chatChunk struct {
		Choices []struct {
			Delta Message `json:"delta"`
		} `json:"choices"`
		Usage *chatUsage `json:"usage"`
	}

	chatUsage struct {
		Prompt  int `json:"prompt_tokens"`
		Output  int `json:"completion_tokens"`
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	}
)

// Error returns the status and the response's body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, strings.TrimSpace(e.Body))
}

func (c Client) request(method, path string, body []byte) *fasthttp.Request {
	var req fasthttp.Request
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.Set("Authorization", "Bearer "+c.Key)
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	return &req
}

func (c Client) exchange(ctx context.Context, req *fasthttp.Request) (resp *fasthttp.Response, err error) {
	resp = &fasthttp.Response{}
	if err := (httpc.Endpoint{Address: c.Address}).Do(ctx, req, resp); err != nil {
		return nil, err
	}
	if s := resp.StatusCode(); s < 200 || s > 299 {
		return resp, &StatusError{Status: s, Body: string(resp.Body())}
	}
	return resp, nil
}

// JSON sends a request with the value in, encoded as JSON, and decodes the response
// into out; in and out may be nil.
func (c Client) JSON(ctx context.Context, method, path string, in, out any) (err error) {
	defer func() { err = errors.Wrapf(err, "%s %s", method, path) }()
	var body []byte
	if in != nil {
		if body, err = json.Marshal(in); err != nil {
			return err
		}
	}
	resp, err := c.exchange(ctx, c.request(method, path, body))
	if err != nil || out == nil {
		return err
	}
	return json.Unmarshal(resp.Body(), out)
}

// Send sends a body and returns the response's status and body. A status other than
// 2xx is not an error here.
func (c Client) Send(ctx context.Context, method, path string, body []byte) (status int, answer []byte, err error) {
	defer func() { err = errors.Wrapf(err, "%s %s", method, path) }()
	resp, err := c.exchange(ctx, c.request(method, path, body))
	if resp == nil {
		return 0, nil, err
	}
	return resp.StatusCode(), resp.Body(), nil
}

// Open opens a program.
func (c Client) Open(ctx context.Context, o call.Open) error {
	return c.JSON(ctx, fasthttp.MethodPost, "/v1/programs", o, nil)
}

// End finishes or cancels a program.
func (c Client) End(ctx context.Context, program string, kind call.EndKind) error {
	verb := "/finish"
	if kind == call.Cancel {
		verb = "/cancel"
	}
	return c.JSON(ctx, fasthttp.MethodPost, "/v1/programs/"+program+verb, nil, nil)
}

// History returns a program's history.
func (c Client) History(ctx context.Context, program string) (h hist.History, err error) {
	err = c.JSON(ctx, fasthttp.MethodGet, "/v1/programs/"+program+"/history", nil, &h)
	return h, err
}

// Service calls a plain service. If the status is not 2xx, it returns both the Answer
// and a StatusError.
func (c Client) Service(ctx context.Context, program string, number int, path string, body []byte) (a Answer, err error) {
	defer func() { err = errors.Wrapf(err, "call %d of %s", number, program) }()
	req := c.request(fasthttp.MethodPost, "/v1/services/"+path, body)
	setCallHeaders(req, program, number)
	resp, err := c.exchange(ctx, req)
	if resp != nil {
		a = Answer{Request: string(resp.Header.Peek(server.HeaderRequest)), Status: resp.StatusCode(), Text: string(resp.Body()), Complete: err == nil}
	}
	return a, err
}

func setCallHeaders(req *fasthttp.Request, program string, number int) {
	req.Header.Set(server.HeaderProgram, program)
	req.Header.Set(server.HeaderCall, strconv.Itoa(number))
}

// Chat makes a streamed model call and passes its pieces to onPiece, which may be
// nil. On an error the Answer holds what was received before it.
func (c Client) Chat(ctx context.Context, program string, number, maxTokens int, ms []Message, onPiece func(string)) (a Answer, err error) {
	defer func() { err = errors.Wrapf(err, "call %d of %s", number, program) }()
	in := chatBody{Stream: true, Max: maxTokens, Messages: ms}
	in.Options.Usage = true
	body, err := json.Marshal(in)
	if err != nil {
		return a, err
	}
	req := c.request(fasthttp.MethodPost, "/v1/chat/completions", body)
	setCallHeaders(req, program, number)
	resp, err := (httpc.Endpoint{Address: c.Address}).Open(ctx, req)
	if err != nil {
		return a, err
	}
	defer resp.Close()
	a = Answer{Request: string(resp.Header.Peek(server.HeaderRequest)), Status: resp.Header.StatusCode()}
	if a.Status != fasthttp.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, maxLine))
		return a, &StatusError{Status: a.Status, Body: string(b)}
	}
	return readEvents(a, resp.Body, onPiece)
}

// readEvents reads the events of a streamed answer. A stream that ends without its
// end marker gives the read error or io.ErrUnexpectedEOF.
func readEvents(a Answer, r io.Reader, onPiece func(string)) (Answer, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	failed := false
	for s.Scan() {
		l := s.Bytes()
		if bytes.HasPrefix(l, []byte("event: error")) {
			failed = true
			continue
		}
		data, ok := bytes.CutPrefix(l, []byte(eventData))
		switch {
		case !ok:
			continue
		case failed:
			return a, &StatusError{Status: a.Status, Body: string(data)}
		case string(data) == eventDone:
			a.Complete = true
			return a, nil
		}
		var ch chatChunk
		if err := json.Unmarshal(data, &ch); err != nil {
			return a, err
		}
		if u := ch.Usage; u != nil {
			a.Prompt, a.Output, a.Cached = u.Prompt, u.Output, u.Details.Cached
		}
		for _, x := range ch.Choices {
			if x.Delta.Content == "" {
				continue
			}
			a.Pieces++
			a.Text += x.Delta.Content
			if onPiece != nil {
				onPiece(x.Delta.Content)
			}
		}
	}
	return a, errors.CombineErrors(s.Err(), io.ErrUnexpectedEOF)
}
