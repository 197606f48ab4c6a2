package model

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

const (
	charsPerToken = 4
	excerptBytes  = 24 // bytes of the last message that an answer quotes

	finishStop      = "stop"
	finishLength    = "length"
	finishCancelled = "cancelled"
)

// Answer returns the answer of the engine with the given name to the request: the
// engine's name, the request id and an excerpt of the last message, padded with
// numbers or truncated to exactly the given number of tokens.
func Answer(name string, r engine.Request, tokens int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s answers %s to %q:", name, r.ID, lastMessageExcerpt(r.Body))
	for i := 0; b.Len() < tokens*charsPerToken; i++ {
		fmt.Fprintf(&b, " %03d", i%1000)
	}
	return b.String()[:tokens*charsPerToken]
}

// lastMessageExcerpt returns the first excerptBytes bytes of the last message's text,
// without invalid UTF-8.
func lastMessageExcerpt(body []byte) string {
	var b struct {
		Messages []struct {
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
	}
	if json.Unmarshal(body, &b) != nil || len(b.Messages) == 0 {
		return ""
	}
	content := b.Messages[len(b.Messages)-1].Content
	var s string
	if json.Unmarshal(content, &s) != nil {
		s = string(content)
	}
	s = strings.ToValidUTF8(s, "")
	return strings.ToValidUTF8(s[:min(len(s), excerptBytes)], "")
}

// split splits text into pieces of at most n bytes.
func split(text string, n int) []string {
	var out []string
	for len(text) > n {
		out = append(out, text[:n])
		text = text[n:]
	}
	return append(out, text)
}
