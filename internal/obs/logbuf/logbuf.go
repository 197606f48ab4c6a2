// Package flow writes a process's log without ever holding up what it logs.
//
// Lines go to a ring that one goroutine empties. If the output can't keep up,
// the oldest lines are dropped, and how many were is logged.
package logbuf

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// ring is how many lines may wait: about a second of the busiest VM.
const bufferLines = 4096

// Open returns a logger whose lines name the daemon, and what writes the lines
// that still wait.
func Open(w io.Writer, daemon string) (log zerolog.Logger, closing func()) {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	out := diode.NewWriter(w, bufferLines, 0, func(missed int) {
		l := zerolog.New(w)
		l.Warn().Int("lines", missed).Str("daemon", daemon).Msg("log lines were dropped")
	})
	return zerolog.New(out).With().Timestamp().Str("daemon", daemon).Logger(), func() { _ = out.Close() }
}
