package model

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

const (
	charsPerToken = 4
	excerptBytes  = 24 // bytes of the last message that an answer repeats

	finishStop      = "stop"
	finishLength    = "length"
	finishCancelled = "cancelled"
)

// Answer returns the text with which the engine of that name answers the
// request, cut to the number of tokens.
func Answer(name string, r engine.Request, tokens int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s answers %s to %q:", name, r.ID, lastMessage(r.Body))
	for i := 0; b.Len() < tokens*charsPerToken; i++ {
		fmt.Fprintf(&b, " %03d", i%1000)
	}
	return b.String()[:tokens*charsPerToken]
}

// last returns the head of the last message's text.
func lastMessage(body []byte) string {
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

// cut divides text into pieces of at most n bytes.
func split(text string, n int) []string {
	var out []string
	for len(text) > n {
		out = append(out, text[:n])
		text = text[n:]
	}
	return append(out, text)
}
