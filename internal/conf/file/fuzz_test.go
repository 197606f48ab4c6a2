package file

import (
	"bytes"
	"errors"
	"path/filepath"
	"testing"
)

func FuzzParse(f *testing.F) {
	for _, pattern := range []string{"testdata/*.ini", "testdata/broken/*.ini", "../../../examples/*.ini"} {
		paths, err := filepath.Glob(pattern)
		if err != nil || len(paths) == 0 {
			f.Fatalf("no seeds at %s: %v", pattern, err)
		}
		for _, p := range paths {
			f.Add(read(f, p))
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := Parse("x.ini", text)
		if err == nil {
			checkComplete(t, got)
			return
		}
		var list Errors
		if !errors.As(err, &list) || len(list) == 0 {
			t.Fatalf("unexpected type of error: %v", err)
		}
		lines := bytes.Count(text, []byte("\n")) + 1
		for _, e := range list {
			if e.Line < 1 || e.Line > lines || e.Message == "" || e.File != "x.ini" {
				t.Fatalf("error without file, valid line or message: %#v", e)
			}
		}
	})
}

// checkComplete fails the test if an accepted text has a missing bound or an unresolved
// reference.
func checkComplete(t *testing.T, f File) {
	t.Helper()
	if f.Limits.MaxCalls < 1 || f.System.Shards < 1 {
		t.Fatal("max_calls or shards is 0")
	}
	for name, a := range f.Agents {
		if _, ok := f.Models[a.Model]; !ok {
			t.Fatalf("agent %s: model not declared", name)
		}
	}
	for name, m := range f.Models {
		if f.Groups[m.Group].Kind != Engines {
			t.Fatalf("model %s: group is not of kind engine", name)
		}
	}
	for name, s := range f.Services {
		if f.Groups[s.Group].Kind != Services || !s.Idempotent && (s.MaxTries != 1 || s.Hedge) {
			t.Fatalf("service %s: wrong kind of group, or retries or hedging without idempotency", name)
		}
	}
	for name, u := range f.Upstreams {
		if _, ok := f.Groups[u.Group]; !ok || u.Address == "" {
			t.Fatalf("upstream %s: group not declared or address empty", name)
		}
	}
}
