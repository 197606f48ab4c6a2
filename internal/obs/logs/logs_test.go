package logs

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/result"
)

func TestRequestLine(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l, err := Open(&out, "", Auto) // a buffer is not a terminal
	is.NoErr(err)
	l.WithDaemon("vm1").Request(Request{
		ID: "r-1", Hop: "edge", Account: "mafuta", Program: "round-7", Call: 2, Kind: call.Model,
		Code: result.CodeOK, Ran: result.Yes, Status: 200, Upstream: "e1",
		Prompt: 10, Cached: 4, Output: 3, Duration: 1500 * time.Millisecond,
	})
	var line map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &line)) // exactly one object
	want := map[string]any{
		"daemon": "vm1", "request": "r-1", "hop": "edge", "account": "mafuta", "program": "round-7", "call": 2.0,
		"kind": "model", "code": "ok", "ran": "yes", "status": 200.0, "upstream": "e1",
		"prompt_tokens": 10.0, "cached_tokens": 4.0, "output_tokens": 3.0, "duration_ms": 1500.0, "level": "info",
	}
	for k, v := range want {
		is.Equal(line[k], v)
	}
}

func TestLevels(t *testing.T) {
	tests := map[string]struct {
		level string
		ran   result.Ran
		lines int
	}{
		"all":                 {"info", result.No, 1},
		"unknown stands out":  {"warn", result.Unknown, 1},
		"the rest is left":    {"warn", result.Yes, 0},
		"the default is info": {"", result.No, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			l, err := Open(&out, tt.level, Console)
			is.NoErr(err)
			l.Request(Request{ID: "r", Ran: tt.ran})
			is.Equal(strings.Count(out.String(), "\n"), tt.lines)
		})
	}
	_, err := Open(&bytes.Buffer{}, "loud", JSON)
	is.New(t).True(err != nil)
}

func TestZeroLogsNothing(t *testing.T) {
	var l Logs
	l.Request(Request{ID: "r"})
	l.WithDaemon("vm1").Request(Request{ID: "r"})
	log := l.Logger()
	is.New(t).True(!log.Info().Enabled())
}
