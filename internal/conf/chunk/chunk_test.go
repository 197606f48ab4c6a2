package chunk

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// accounts returns a text of n sections, of which section number changed differs.
func accounts(n, changed int) []byte {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "[account.a%d]\nkey_hash = salt:%s\n", i, Digest(fmt.Append(nil, i)))
		if i == changed {
			b.WriteString("operator = true\n")
		}
		b.WriteString("\n")
	}
	return []byte(b.String())
}

func TestSplit(t *testing.T) {
	tests := map[string][]byte{
		"empty":                  nil,
		"one line":               []byte("[system]"),
		"many sections":          accounts(20_000, -1),
		"line longer than piece": bytes.Repeat([]byte("x"), 3*MaxSize+1),
		"no sections":            bytes.Repeat([]byte("key = value\n"), 200_000),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pieces := Split(text)
			is.True(bytes.Equal(slices.Concat(pieces...), text))
			for _, p := range pieces {
				is.True(len(p) > 0 && len(p) <= MaxSize)
				c, err := Pack(p)
				is.NoErr(err)
				is.True(len(c.Packed) <= 1<<20) // the store's limit
				got, err := c.Unpack()
				is.NoErr(err)
				is.True(bytes.Equal(got, p))
			}
		})
	}
}

// One account changes in a large text. If all later chunks changed too, every daemon would
// fetch megabytes a thousand times a day.
func TestChangeIsLocal(t *testing.T) {
	for _, changed := range []int{0, 7_000, 34_999} {
		is := is.New(t)
		before := map[string]bool{}
		for _, p := range Split(accounts(35_000, -1)) {
			before[Name(p)] = true
		}
		fresh := 0
		for _, p := range Split(accounts(35_000, changed)) {
			if !before[Name(p)] {
				fresh++
			}
		}
		is.True(len(before) > 10)
		is.True(fresh >= 1 && fresh <= 2)
	}
}

// A chunk that does not match its digest or is corrupt must be rejected, and a decompression
// bomb must not allocate unbounded memory.
func TestUnpackRejects(t *testing.T) {
	good, err := Pack([]byte("[system]\n"))
	if err != nil {
		t.Fatal(err)
	}
	other, err := Pack([]byte("[limits]\n"))
	if err != nil {
		t.Fatal(err)
	}
	bomb, err := Pack(make([]byte, 64<<20))
	if err != nil {
		t.Fatal(err)
	}
	tests := map[string]Chunk{
		"another's text": {Digest: good.Digest, Packed: other.Packed},
		"cut short":      {Digest: good.Digest, Packed: good.Packed[:len(good.Packed)-1]},
		"not packed":     {Digest: good.Digest, Packed: []byte("[system]\n")},
		"empty":          {Digest: good.Digest},
		"bomb":           bomb,
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := c.Unpack()
			is.True(err != nil)
			if name == "another's text" {
				is.True(errors.Is(err, ErrDigest))
			}
		})
	}
}
