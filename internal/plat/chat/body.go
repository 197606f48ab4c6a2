package chat

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

type options struct {
	IncludeUsage bool `json:"include_usage"`
}

// rewriteBody returns the caller's body with the fields that slaterock sets. All
// other values are copied byte for byte: engines cache by the bytes of messages,
// so another encoding of the same JSON would miss the cache.
func rewriteBody(r engine.Request) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return nil, err
	}
	set := map[string]any{"stream": true, "stream_options": options{IncludeUsage: true}, "priority": r.Priority}
	if r.Model != "" {
		set["model"] = r.Model
	}
	if r.MaxTokens > 0 {
		set["max_tokens"] = r.MaxTokens
		delete(fields, "max_completion_tokens")
	}
	if r.Program != "" {
		set["user"] = r.Program
	}
	for k, v := range set {
		raw, err := json.Marshal(v)
		if err != nil {
			return nil, err
		}
		fields[k] = raw
	}
	return marshalObject(fields)
}

func marshalObject(fields map[string]json.RawMessage) ([]byte, error) {
	var b bytes.Buffer
	sep := byte('{')
	for _, k := range slices.Sorted(maps.Keys(fields)) {
		name, err := json.Marshal(k)
		if err != nil {
			return nil, err
		}
		b.WriteByte(sep)
		b.Write(name)
		b.WriteByte(':')
		b.Write(fields[k])
		sep = ','
	}
	b.WriteByte('}')
	return b.Bytes(), nil
}
