// Package logbuf provides a non-blocking logger: a slow output never delays the code that
// logs.
//
// Lines go to a ring buffer that one goroutine drains. If the output can't keep up, the
// oldest lines are dropped, and their number is logged.
package logbuf

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// bufferLines is the capacity of the ring buffer in lines: about a second of the busiest
// VM's log.
const bufferLines = 4096

// Open returns a logger whose lines carry the daemon's name, and a function that flushes
// the buffer and closes it, and w too if it is an io.Closer. It sets the time format of
// all zerolog loggers of the process.
func Open(w io.Writer, daemon string) (log zerolog.Logger, closeLog func()) {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	out := diode.NewWriter(w, bufferLines, 0, func(missed int) {
		l := zerolog.New(w)
		l.Warn().Int("lines", missed).Str("daemon", daemon).Msg("log lines were dropped")
	})
	return zerolog.New(out).With().Timestamp().Str("daemon", daemon).Logger(), func() { _ = out.Close() }
}
