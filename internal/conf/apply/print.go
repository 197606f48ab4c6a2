package apply

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/plat/store"
)

// ErrFaults reports that the text has faults, which were written to the operator.
var ErrFaults = errors.New("the configuration has faults")

// CheckFile checks the configuration at path and writes the result for an operator: one line
// per fault, or one line that summarizes the file. The error is ErrFaults if faults were
// written.
func CheckFile(w io.Writer, path string) (err error) {
	defer func() { err = errors.Wrapf(err, "check %s", path) }()
	text, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return err
	}
	f, err := file.Parse(path, text)
	if err != nil {
		return writeFaults(w, err)
	}
	return write(w, "%s: ok: %s\n", path, summary(f))
}

// File applies the configuration at path and writes the result for the operator. It sets Name
// and Text of the request.
func File(ctx context.Context, w io.Writer, s store.Store, path string, r Request) (err error) {
	defer func() { err = errors.Wrapf(err, "apply %s", path) }()
	r.Name = path
	r.Text, err = os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return err
	}
	out, err := Run(ctx, s, r)
	if err != nil {
		return writeFaults(w, err)
	}
	return out.Print(w)
}

// Print writes the outcome as one line for an operator.
func (o Outcome) Print(w io.Writer) error {
	if o.Unchanged {
		return write(w, "version %d has this text already: applied by %s\n", o.Head.Version, o.Head.By)
	}
	return write(w, "applied: version %d is in force: %s\n", o.Head.Version, summary(o.File))
}

func writeFaults(w io.Writer, err error) error {
	var list file.Errors
	if !errors.As(err, &list) {
		return err
	}
	for _, e := range list {
		if err := write(w, "%v\n", e); err != nil {
			return err
		}
	}
	return ErrFaults
}

func summary(f file.File) string {
	return fmt.Sprintf("%s with %d accounts, %d agents, %d models, %d services, %d groups, %d upstreams",
		f.System.Name, len(f.Accounts), len(f.Agents), len(f.Models), len(f.Services), len(f.Groups), len(f.Upstreams))
}

func write(w io.Writer, format string, args ...any) error {
	_, err := fmt.Fprintf(w, format, args...)
	return err
}
