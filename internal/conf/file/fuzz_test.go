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
			t.Fatalf("an error of another kind: %v", err)
		}
		lines := bytes.Count(text, []byte("\n")) + 1
		for _, e := range list {
			if e.Line < 1 || e.Line > lines || e.Message == "" || e.File != "x.ini" {
				t.Fatalf("a fault without its place: %#v", e)
			}
		}
	})
}

// whole fails the test where a text that was taken leaves something open.
func checkComplete(t *testing.T, f File) {
	t.Helper()
	if f.Limits.MaxCalls < 1 || f.System.Shards < 1 {
		t.Fatal("a bound of zero")
	}
	for name, a := range f.Agents {
		if _, ok := f.Models[a.Model]; !ok {
			t.Fatalf("agent %s: no model", name)
		}
	}
	for name, m := range f.Models {
		if f.Groups[m.Group].Kind != Engines {
			t.Fatalf("model %s: no group of engines", name)
		}
	}
	for name, s := range f.Services {
		if f.Groups[s.Group].Kind != Services || !s.Idempotent && (s.MaxTries != 1 || s.Hedge) {
			t.Fatalf("service %s", name)
		}
	}
	for name, u := range f.Upstreams {
		if _, ok := f.Groups[u.Group]; !ok || u.Address == "" {
			t.Fatalf("upstream %s", name)
		}
	}
}
