package owner

import (
	"encoding/json"

	"github.com/slaterock/slaterock/internal/prog/call"
)

// recordedBody returns the part of a request's body that the journal stores.
// For a model call it leaves out the shared leading messages, which are recorded
// with the program's earlier calls. Storing each conversation whole would write a
// long program's text once for each of its turns.
func recordedBody(c call.Call, shared int) string {
	if c.Kind != call.Model || shared == 0 {
		return string(c.Body)
	}
	var body map[string]json.RawMessage
	if json.Unmarshal(c.Body, &body) != nil {
		return string(c.Body)
	}
	var messages []json.RawMessage
	if json.Unmarshal(body["messages"], &messages) != nil || shared > len(messages) {
		return string(c.Body)
	}
	rest, err := json.Marshal(messages[shared:])
	if err != nil {
		return string(c.Body)
	}
	body["messages"] = rest
	b, err := json.Marshal(body)
	if err != nil {
		return string(c.Body)
	}
	return string(b)
}
