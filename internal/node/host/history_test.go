package host

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

// Guards against a repeated call that ran, and is said not to have run because its record can't be read now.
func TestRecordedResult(t *testing.T) {
	answer := result.Result{Code: result.CodeOK, Ran: result.Yes, Status: 200}
	tests := map[string]struct {
		ok   bool
		err  error
		code result.Code
		ran  result.Ran
	}{
		"read":               {true, nil, result.CodeOK, result.Yes},
		"can't be read":      {false, errors.New("down"), result.CodeStoreDown, result.Unknown},
		"text can't be":      {true, errors.New("down"), result.CodeStoreDown, result.Unknown},
		"not to be repeated": {false, nil, result.CodeOrder, result.No},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := recordedResult(3, hist.Call{Result: answer}, tt.ok, tt.err)
			is.Equal(r.Code, tt.code)
			is.Equal(r.Ran, tt.ran)
		})
	}
}

// Support engineers look a request up by the id in its response. The id may be that of a
// repeated call, which joined the original or was answered from the journal and has no
// record of its own.
func TestFindRequest(t *testing.T) {
	call := func(request string, number int, ran result.Ran) hist.Call {
		return hist.Call{Request: request, Number: number, Result: result.Result{Ran: ran}}
	}
	family := []hist.History{
		{Program: "p", Calls: []hist.Call{call("00-0-a", 0, result.No), call("00-0-b", 0, result.Yes), call("00-1-c", 1, result.Yes)}},
		{Program: "p/x", Calls: []hist.Call{call("00-1-d", 1, result.Yes)}},
	}
	tests := map[string]struct {
		request, program, found string
	}{
		"recorded":                  {"00-0-b", "p", "00-0-b"},
		"a refusal":                 {"00-0-a", "p", "00-0-a"},
		"a sub-agent's":             {"00-1-d", "p/x", "00-1-d"},
		"a repeat":                  {"00-0-z", "p", "00-0-b"},
		"a repeat of one of two":    {"00-1-z", "", ""},
		"a number that nobody used": {"00-7-z", "", ""},
		"no name of ours":           {"00", "", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, ok := findRequest(family, tt.request)
			is.Equal(ok, tt.found != "")
			if ok {
				is.Equal(h.Program, tt.program)
				is.Equal(len(h.Calls), 1)
				is.Equal(h.Calls[0].Request, tt.found)
			}
		})
	}
}
