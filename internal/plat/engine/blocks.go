package engine

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

const bytesPerToken = 4

type chatBody struct {
	Messages []json.RawMessage `json:"messages"`
}

// Tokens estimates the number of tokens in n bytes of text.
func Tokens(n int) int { return (n + bytesPerToken - 1) / bytesPerToken }

// Blocks splits a chat request into the blocks that engines cache: one for each
// message, with a hash of all messages up to it. A body that is not JSON of a chat
// request has no blocks.
func Blocks(body []byte) []Block {
	var b chatBody
	if json.Unmarshal(body, &b) != nil {
		return nil
	}
	h := xxhash.New()
	out := make([]Block, 0, len(b.Messages))
	for _, m := range b.Messages {
		_, _ = h.Write(m)
		out = append(out, Block{Hash: h.Sum64(), Tokens: Tokens(len(m))})
	}
	return out
}
