package recap

import (
	"context"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// stdinName is the argument that stands for the standard input.
const stdinName = "-"

// Args are what to sum up and how to show it.
type Args struct {
	Paths []string // logs; "-" for Stdin
	Stdin io.Reader
	By    []string // of Dimensions
	Top   int      // rows of each table; 0 for all
	Idle  time.Duration
	JSON  bool
	SVG   string // file for a chart; empty for none
}

// Run sums up logs and writes the report to w.
func Run(ctx context.Context, w io.Writer, a Args) error {
	if err := a.check(); err != nil {
		return err
	}
	s := &State{Idle: a.Idle}
	if err := a.read(ctx, s); err != nil {
		return err
	}
	r := s.Report(a.By, a.Top)
	if a.SVG != "" {
		if err := r.saveChart(a.SVG); err != nil {
			return err
		}
	}
	if a.JSON {
		return r.JSON(w)
	}
	return r.Print(w)
}

func (a *Args) check() error {
	if len(a.Paths) == 0 {
		return errors.New("no log was named; - is the standard input")
	}
	for _, by := range a.By {
		if !slices.Contains(Dimensions, by) {
			return errors.Newf("--by %q: must be one of %s", by, strings.Join(Dimensions, ", "))
		}
	}
	if a.Top < 0 {
		return errors.Newf("--top %d: must be 0, for all rows, or more", a.Top)
	}
	if a.Idle <= 0 {
		return errors.Newf("--idle %v: must be more than 0", a.Idle)
	}
	for i, path := range a.Paths {
		if slices.Contains(a.Paths[:i], path) {
			return errors.Newf("%s is named twice: its requests would count twice", path)
		}
	}
	return nil
}

// read opens all logs and reads them. A read of the standard input may block for ever, so
// that read does not wait for it if the context ends.
func (a *Args) read(ctx context.Context, s *State) error {
	sources := make([]*Source, 0, len(a.Paths))
	for _, path := range a.Paths {
		if path == stdinName {
			sources = append(sources, &Source{Name: "standard input", R: a.Stdin})
			continue
		}
		f, err := os.Open(path) //nolint:gosec // the operator names the file
		if err != nil {
			return err
		}
		defer f.Close() //nolint:errcheck // was only read
		sources = append(sources, &Source{Name: path, R: f})
	}
	done := make(chan error, 1)
	go func() { done <- s.Read(ctx, sources) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
