// Package admin implements the commands for operators and support engineers. Each
// sends a request to one daemon over HTTP and writes the answer as text or, except
// for Drain, as JSON if Admin.JSON is set.
package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/edge/client"
	"github.com/slaterock/slaterock/internal/edge/report"
	"github.com/slaterock/slaterock/internal/edge/server"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

// ErrNotConfirmed is returned by Apply after the reason was written to Out. It also
// covers an unknown outcome, when the text may be in force.
var ErrNotConfirmed = errors.New("the daemon did not confirm that the configuration is in force")

type (
	// Admin sends requests with Client and writes the answers to Out.
	Admin struct {
		Client client.Client
		Out    io.Writer
		JSON   bool
	}

	// currentConfig is the configuration in force.
	currentConfig struct {
		Version uint64 `json:"version"`
		Text    string `json:"text"`
	}
)

// Status writes the daemons, shards and configuration versions.
func (a Admin) Status(ctx context.Context) error {
	var s report.Status
	return a.show(ctx, "/v1/status", &s, func(r *report.Report) { r.Status(s) })
}

// History writes a program's history.
func (a Admin) History(ctx context.Context, program string) error {
	var h hist.History
	path := "/v1/programs/" + url.PathEscape(program) + "/history"
	return a.show(ctx, path, &h, func(r *report.Report) { r.History(h) })
}

// Request writes the details of one request.
func (a Admin) Request(ctx context.Context, id string) error {
	var h hist.History
	return a.show(ctx, "/v1/requests/"+url.PathEscape(id), &h, func(r *report.Report) { r.Request(h) })
}

// Drain asks the daemon to shut down gracefully.
func (a Admin) Drain(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "drain") }()
	if err := a.Client.JSON(ctx, "POST", "/v1/drain", nil, nil); err != nil {
		return describeError(err)
	}
	_, err = fmt.Fprintf(a.Out, "%s drains: it takes no new work and ends when its requests have finished\n", a.Client.Address)
	return err
}

// Show writes the text of the configuration in force, preceded by a comment with
// its version.
func (a Admin) Show(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "read configuration") }()
	var c currentConfig
	if err := a.Client.JSON(ctx, "GET", "/v1/config", nil, &c); err != nil {
		return describeError(err)
	}
	if a.JSON {
		return a.encode(c)
	}
	_, err = fmt.Fprintf(a.Out, "# version %d; apply a change of it with --from %d\n%s", c.Version, c.Version, c.Text)
	return err
}

// Apply applies the file as a new configuration. From is the version that the
// operator started from; 0 means none and server.FromNewest any. It returns
// ErrNotConfirmed if the daemon did not confirm that the text is in force.
func (a Admin) Apply(ctx context.Context, path, from string) (err error) {
	defer func() { err = errors.Wrapf(err, "apply %s", path) }()
	text, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return err
	}
	status, body, err := a.Client.Send(ctx, "POST", "/v1/config?from="+url.QueryEscape(from), text)
	if err != nil {
		return err
	}
	var out server.Applied
	// An error response without these fields also decodes, as the zero Applied: the
	// server rejected the request before it applied anything.
	if err = json.Unmarshal(body, &out); err != nil || out.Version+out.Base == 0 && out.Message == "" {
		return describeError(&client.StatusError{Status: status, Body: string(body)})
	}
	if a.JSON {
		return errors.CombineErrors(a.encode(out), failure(out))
	}
	a.applied(path, out)
	return failure(out)
}

func (a Admin) applied(path string, out server.Applied) {
	for _, f := range out.Faults {
		f.File = path
		_, _ = fmt.Fprintln(a.Out, f.Error())
	}
	switch {
	case out.Conflict:
		_, _ = fmt.Fprintf(a.Out, "%s\nread it with: slaterock apply --show; then apply with: --from %s\n",
			out.Message, strconv.FormatUint(out.Version, 10))
	case out.Message != "":
		_, _ = fmt.Fprintln(a.Out, out.Message)
	case out.Unchanged:
		_, _ = fmt.Fprintf(a.Out, "version %d has this text already: applied by %s\n", out.Version, out.By)
	default:
		_, _ = fmt.Fprintf(a.Out, "applied: version %d is in force\n", out.Version)
	}
}

func failure(out server.Applied) error {
	if out.Message != "" {
		return ErrNotConfirmed
	}
	return nil
}

// show fetches a value and writes it.
func (a Admin) show(ctx context.Context, path string, v any, write func(*report.Report)) error {
	if err := a.Client.JSON(ctx, "GET", path, nil, v); err != nil {
		return describeError(err)
	}
	if a.JSON {
		return a.encode(v)
	}
	r := report.Report{Out: a.Out}
	write(&r)
	return r.Err
}

func (a Admin) encode(v any) error {
	e := json.NewEncoder(a.Out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// describeError returns the code and message of an error response, with a hint on
// how to pass a key if the daemon did not accept it. Other errors are unchanged.
func describeError(err error) error {
	var s *client.StatusError
	if !errors.As(err, &s) {
		return err
	}
	var body struct {
		Error struct {
			Code    result.Code `json:"code"`
			Message string      `json:"message"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(s.Body), &body) != nil || body.Error.Code == "" {
		return err
	}
	hint := ""
	if body.Error.Code == result.CodeUnauthorized {
		hint = "; give it with --key or SLATEROCK_KEY"
	}
	return errors.Newf("%s: %s%s", body.Error.Code, body.Error.Message, hint)
}
