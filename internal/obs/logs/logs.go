// Package logs writes a daemon's log, one JSON object a line, or in a readable form if the
// output is a terminal.
//
// One line is logged at the end of each request, with the fields that a support engineer
// searches for. Keys, bodies and answers are never logged: a Request has no field for
// them.
package logs

import (
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/mattn/go-isatty"
	"github.com/rs/zerolog"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	// JSON writes one object a line.
	JSON = "json"
	// Console writes human-readable lines.
	Console = "console"
	// Auto is Console on a terminal and JSON elsewhere.
	Auto = ""
)

type (
	// Logs writes log lines. The zero value logs nothing.
	Logs struct{ log zerolog.Logger }

	// Request has the fields of one request's log line.
	Request struct {
		ID       string
		Hop      string // part of the system that logs it
		Account  string
		Program  string
		Call     int
		Kind     call.Kind
		Code     result.Code
		Ran      result.Ran
		Status   int
		Upstream string // empty if unknown
		Prompt   int    // tokens, as are the two below
		Cached   int
		Output   int
		Duration time.Duration
	}
)

// Open returns Logs that write to w. Level is debug, info, warn or error,
// empty for info; format is JSON, Console or Auto.
func Open(w io.Writer, level, format string) (l Logs, err error) {
	defer func() { err = errors.Wrap(err, "open log") }()
	minLevel := zerolog.InfoLevel
	if level != "" {
		if minLevel, err = zerolog.ParseLevel(level); err != nil {
			return Logs{}, err
		}
	}
	if format == Console || format == Auto && terminal(w) {
		w = zerolog.ConsoleWriter{Out: w, TimeFormat: time.TimeOnly, NoColor: !terminal(w)}
	}
	return Logs{log: zerolog.New(zerolog.SyncWriter(w)).Level(minLevel).With().Timestamp().Logger()}, nil
}

// WithDaemon returns Logs whose lines carry the daemon's name.
func (l Logs) WithDaemon(name string) Logs {
	return Logs{log: l.log.With().Str("daemon", name).Logger()}
}

// Logger returns the logger, for lines other than those of requests.
func (l Logs) Logger() zerolog.Logger { return l.log }

// Request logs one request. Its level is warn if it is unknown whether the request ran,
// since that may have to be looked into, and info otherwise.
func (l Logs) Request(r Request) {
	e := l.log.Info()
	if r.Ran == result.Unknown {
		e = l.log.Warn()
	}
	e = e.Str("request", r.ID).Str("hop", r.Hop).Str("code", string(r.Code)).Str("ran", string(r.Ran))
	e = e.Int("status", r.Status).Dur("duration_ms", r.Duration)
	if r.Account != "" {
		e = e.Str("account", r.Account)
	}
	if r.Program != "" {
		e = e.Str("program", r.Program).Int("call", r.Call).Str("kind", string(r.Kind))
	}
	if r.Upstream != "" {
		e = e.Str("upstream", r.Upstream)
	}
	if r.Prompt+r.Output > 0 {
		e = e.Int("prompt_tokens", r.Prompt).Int("cached_tokens", r.Cached).Int("output_tokens", r.Output)
	}
	e.Msg("request")
}

func terminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	return ok && isatty.IsTerminal(f.Fd())
}
