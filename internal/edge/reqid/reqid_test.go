package reqid

import (
	"testing"

	"github.com/matryer/is"
)

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	id := New("round-7/receipts", 12)
	is.Equal(id.RootHash, Hash("round-7"))
	back, err := Parse(id.String())
	is.NoErr(err)
	is.Equal(back, id)
	repeat := New("round-7/receipts", 12)
	is.True(repeat != id) // a repeated call is a request of its own
}

func TestMalformed(t *testing.T) {
	for name, s := range map[string]string{
		"empty":           "",
		"no number":       "0123456789abcdef-000000000001",
		"short hash":      "0123-1-000000000001",
		"no hash":         "0123456789abcdeg-1-000000000001",
		"letters":         "0123456789abcdef-x-000000000001",
		"short nonce":     "0123456789abcdef-1-0001",
		"long nonce":      "0123456789abcdef-1-00000000000001",
		"not hexadecimal": "0123456789abcdef-1-00000000000z",
		"negative number": "0123456789abcdef--1-000000000001",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(s)
			is.New(t).True(err != nil)
		})
	}
}
