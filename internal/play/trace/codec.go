package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

const maxLine = 1 << 20 // bytes

type (
	// LineError is an error in one line of a trace. Line counts from 1.
	LineError struct {
		Line int
		Err  error
	}

	lineKind struct {
		Kind string `json:"kind"`
	}
)

var (
	// ErrKind reports a line of an unknown kind.
	ErrKind = errors.New("unknown kind")
	// ErrVersion reports an unsupported format version.
	ErrVersion = errors.New("unsupported version")
	// ErrHeader reports a trace whose header is missing, not first or repeated.
	ErrHeader = errors.New("the header must be the first line and occur once")
)

// Error returns the cause, prefixed with the line number.
func (e *LineError) Error() string { return fmt.Sprintf("line %d: %v", e.Line, e.Err) }

// Unwrap returns the cause.
func (e *LineError) Unwrap() error { return e.Err }

// Read reads a whole trace. Empty lines are skipped; errors are *LineError.
func Read(r io.Reader) (t Trace, err error) {
	n := 0
	defer func() {
		if err != nil {
			err = &LineError{Line: n, Err: err}
		}
	}()
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		n++
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		if err = t.addLine(lines.Bytes(), n); err != nil {
			return t, err
		}
	}
	n++
	if err = lines.Err(); err == nil && t.Header.Version == 0 {
		err = ErrHeader
	}
	return t, err
}

func (t *Trace) addLine(line []byte, n int) (err error) {
	var h lineKind
	if err = json.Unmarshal(line, &h); err != nil {
		return err
	}
	if (t.Header.Version == 0) != (h.Kind == t.Header.kind()) {
		return ErrHeader
	}
	switch h.Kind {
	case Header{}.kind():
		if err = decode(line, &t.Header); err == nil && t.Header.Version != Version {
			err = fmt.Errorf("%w %d", ErrVersion, t.Header.Version)
		}
	case Upstream{}.kind():
		err = appendTo(&t.Upstreams, line)
	case Service{}.kind():
		err = appendTo(&t.Services, line)
	case Program{}.kind():
		err = appendTo(&t.Programs, line)
	case Fault{}.kind():
		err = appendTo(&t.Faults, line)
	case Expect{}.kind():
		if err = appendTo(&t.Expects, line); err == nil {
			t.Expects[len(t.Expects)-1].Line = n
		}
	default:
		err = fmt.Errorf("%w %q", ErrKind, h.Kind)
	}
	return err
}

func appendTo[T any](list *[]T, line []byte) error {
	var v T
	if err := decode(line, &v); err != nil {
		return err
	}
	*list = append(*list, v)
	return nil
}

// decode rejects unknown fields: a misspelt bound would otherwise be ignored.
func decode[T any](line []byte, v *T) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(line, &fields); err != nil {
		return err
	}
	delete(fields, "kind")
	rest, err := json.Marshal(fields)
	if err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(rest))
	d.DisallowUnknownFields()
	return d.Decode(v)
}

// Append writes one line. A recorder uses it to write a trace incrementally.
func Append(w io.Writer, l Line) (err error) {
	body, err := json.Marshal(l)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "{\"kind\":%q,%s\n", l.kind(), body[1:])
	return err
}

// Write writes a whole trace.
func (t Trace) Write(w io.Writer) (err error) {
	if err = Append(w, t.Header); err != nil {
		return err
	}
	for _, lines := range [][]Line{toLines(t.Upstreams), toLines(t.Services), toLines(t.Faults), toLines(t.Programs), toLines(t.Expects)} {
		for _, l := range lines {
			if err = Append(w, l); err != nil {
				return err
			}
		}
	}
	return nil
}

func toLines[T Line](in []T) []Line {
	out := make([]Line, len(in))
	for i, v := range in {
		out[i] = v
	}
	return out
}
