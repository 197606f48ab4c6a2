// Package crash keeps the output of a crash on a VM's disk, and logs its head at the next start.
//
// The Go runtime writes a crash to the standard error output: first what happened, then the
// stacks of all goroutines, and for a signal the registers last. Where only the end of that is
// kept, the cause is lost. So a copy goes to a file, from which the process that starts next
// logs one structured line.
package crash

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

const (
	fileName = "crash.txt"
	dirMode  = 0o700
	fileMode = 0o600
	// maxHead is how much of a crash is read, in bytes, and maxStack how many lines of the
	// stack that crashed are logged.
	maxHead  = 16 << 10
	maxStack = 24
)

// Report is the head of a crash. The zero value is none.
type Report struct {
	Reason  string   // first line, such as "panic: ..." or "SIGILL: illegal instruction"
	Details []string // further lines before the first stack: program counter, address, signal code
	Stack   []string // of the goroutine that crashed
}

// Watch logs the crash of the process that ran before on this VM, if there was one, and has one
// of this process written to the folder. Without it a crash is written to the standard error
// output only.
func Watch(dir string, log zerolog.Logger) (err error) {
	defer func() { err = errors.Wrap(err, "watch for crashes") }()
	if err = os.MkdirAll(dir, dirMode); err != nil { //nolint:gosec // the folder comes from the settings
		return err
	}
	f, err := os.OpenFile(filepath.Join(dir, fileName), os.O_CREATE|os.O_RDWR, fileMode) //nolint:gosec // the folder comes from the settings
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, f.Close()) }()
	head, err := io.ReadAll(io.LimitReader(f, maxHead))
	if err != nil {
		return err
	}
	if r := Parse(head); r.Reason != "" {
		log.Error().Str("reason", r.Reason).Strs("details", r.Details).Strs("stack", r.Stack).Msg("the process before this one crashed")
	}
	if err = f.Truncate(0); err != nil {
		return err
	}
	if _, err = f.Seek(0, io.SeekStart); err != nil {
		return err
	}
	return debug.SetCrashOutput(f, debug.CrashOptions{}) // duplicates the descriptor
}

// Parse returns the head of the output of a crash.
func Parse(output []byte) (r Report) {
	lines := strings.Split(string(bytes.TrimSpace(output)), "\n")
	r.Reason = lines[0]
	i := 1
	for ; i < len(lines) && !strings.HasPrefix(lines[i], "goroutine "); i++ {
		if line := strings.TrimSpace(lines[i]); line != "" {
			r.Details = append(r.Details, line)
		}
	}
	for ; i < len(lines) && lines[i] != "" && len(r.Stack) < maxStack; i++ {
		r.Stack = append(r.Stack, strings.TrimSpace(lines[i]))
	}
	return r
}
