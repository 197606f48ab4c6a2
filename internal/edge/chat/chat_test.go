package chat

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/prog/result"
)

func TestParse(t *testing.T) {
	tests := map[string]struct {
		body string
		want Request
		ok   bool
	}{
		"plain":          {`{"model":"m","messages":[{}],"max_tokens":5}`, Request{Model: "m", MaxTokens: 5}, true},
		"newer bound":    {`{"messages":[{}],"max_tokens":5,"max_completion_tokens":7}`, Request{MaxTokens: 7}, true},
		"stream":         {`{"messages":[{}],"stream":true,"stream_options":{"include_usage":true}}`, Request{Stream: true, Usage: true}, true},
		"null options":   {`{"messages":[{}],"stream_options":null,"n":1,"tools":[]}`, Request{}, true},
		"no messages":    {`{"model":"m"}`, Request{}, false},
		"two choices":    {`{"messages":[{}],"n":2}`, Request{}, false},
		"negative bound": {`{"messages":[{}],"max_tokens":-1}`, Request{}, false},
		"no JSON":        {`hi`, Request{}, false},
		"wrong type":     {`{"messages":[{}],"stream":"yes"}`, Request{}, false},
		"empty":          {``, Request{}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := Parse([]byte(tt.body))
			is.Equal(err == nil, tt.ok)
			is.Equal(got, tt.want)
		})
	}
}

// Text from an engine contains quotes, line breaks and invalid UTF-8. A chunk that
// is not one line of JSON would break the client's event stream.
func TestChunksAreSingleLines(t *testing.T) {
	for name, text := range map[string]string{
		"quotes":       `say "jambo"`,
		"line breaks":  "a\nb\r\nc\u2028d",
		"event syntax": "\n\ndata: [DONE]\n\n",
		"not UTF-8":    "a\xffb",
		"empty":        "",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := Answer{ID: "r-1", Model: "m", Created: 7}
			r := result.Result{Body: []byte(text), Finish: "stop", Prompt: 4, Cached: 3, Output: 2}
			for _, chunk := range [][]byte{a.Role(), a.Text(nil, text), a.Finish(r), a.UsageChunk(r), a.Completion(r)} {
				var back map[string]any
				is.NoErr(json.Unmarshal(chunk, &back))
				is.Equal(back["id"], "chatcmpl-r-1")
				for _, c := range chunk {
					is.True(c >= ' ')
				}
			}
		})
	}
}

// Text builds its JSON by hand for speed. The result must equal the encoding of the
// types.
func TestTextMatchesEncodedTypes(t *testing.T) {
	is := is.New(t)
	a := Answer{ID: `r"1`, Model: "m<1>", Created: 7}
	for _, text := range []string{"jambo", `"`, "\n", "<b>&", "\xff", ""} {
		is.Equal(string(a.Text([]byte("data: "), text)), "data: "+string(a.chunk(wireChoice{Delta: &wireMessage{Content: &text}})))
	}
}
