package trace

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const header = `{"kind":"trace","version":1,"name":"t","owners":1,"latency_weight":1,"cache_weight":1,"queue_limit":1,"queue_wait_ms":1,"timeout_ms":1,"returns":0}`

// An error in a manually edited trace must be reported with its line. No line may
// be skipped: a bound that is not read is never checked.
func TestErrorsNameTheLine(t *testing.T) {
	tests := map[string]struct {
		lines []string
		line  int
		is    error
		text  string
	}{
		"no header":        {[]string{`{"kind":"program"}`}, 1, ErrHeader, ""},
		"empty":            {nil, 1, ErrHeader, ""},
		"second header":    {[]string{header, header}, 2, ErrHeader, ""},
		"version":          {[]string{strings.Replace(header, `"version":1`, `"version":2`, 1)}, 1, ErrVersion, ""},
		"kind":             {[]string{header, "", `{"kind":"weather"}`}, 3, ErrKind, "weather"},
		"not JSON":         {[]string{header, `{"kind":`}, 2, nil, "unexpected end"},
		"unknown field":    {[]string{header, `{"kind":"expect","measure":"p95_ms","atmost":5}`}, 2, nil, "atmost"},
		"wrong type":       {[]string{header, `{"kind":"program","at_ms":"soon"}`}, 2, nil, "at_ms"},
		"line is too long": {[]string{header, `{"kind":"` + strings.Repeat("x", maxLine) + `"}`}, 2, nil, "too long"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Read(strings.NewReader(strings.Join(tt.lines, "\n")))
			var e *LineError
			is.True(errors.As(err, &e))
			is.Equal(e.Line, tt.line)
			is.True(tt.is == nil || errors.Is(err, tt.is))
			is.True(strings.Contains(err.Error(), tt.text))
		})
	}
}

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	zero := 0.0
	in := Trace{
		Header:    Header{Version: Version, Name: "t", Owners: 2, DeadlineMS: 5},
		Upstreams: []Upstream{{Name: "e", Group: "g", Slots: 4, PrefillPerS: 100}},
		Services:  []Service{{Name: "s", Group: "h", Idempotent: true, TimeoutMS: 10}},
		Programs:  []Program{{AtMS: 1, Name: "p", Group: "g", Calls: []Call{{Prompt: 3, Output: 4}, {Service: "s", WorkMS: 2}}}},
		Faults:    []Fault{{AtMS: 1, UntilMS: 2, Mode: Down, FailureDomain: "d"}},
		Expects:   []Expect{{Measure: "repeated", AtMost: &zero, Line: 6}, {Program: "p", Outcome: "completed", Line: 7}},
	}
	var b bytes.Buffer
	is.NoErr(in.Write(&b))
	out, err := Read(&b)
	is.NoErr(err)
	is.Equal(out, in)
}
