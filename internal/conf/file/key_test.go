package file

import (
	"testing"

	"github.com/matryer/is"
)

func TestAuthenticate(t *testing.T) {
	f := File{Accounts: map[string]Account{
		"app":   {KeyHash: HashKey("salt1", "app.s3cret")},
		"other": {KeyHash: HashKey("salt2", "other.s3cret")},
		"blank": {},
	}}
	tests := map[string]struct{ key, want string }{
		"right":                    {"app.s3cret", "app"},
		"other account":            {"other.s3cret", "other"},
		"wrong secret":             {"app.secret", ""},
		"another account's secret": {"app.", ""},
		"unknown account":          {"nobody.s3cret", ""},
		"no account":               {"s3cret", ""},
		"empty":                    {"", ""},
		"account without a hash":   {"blank.", ""},
		"the hash itself":          {HashKey("salt1", "app.s3cret"), ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, _, ok := f.Authenticate(tt.key)
			is.Equal(got, tt.want)
			is.Equal(ok, tt.want != "")
		})
	}
}

func TestHashKey(t *testing.T) {
	is := is.New(t)
	// printf 'dev1dev.secret' | sha256sum
	is.Equal(HashKey("dev1", "dev.secret"), "dev1:e8ea22eb952e5ea8b83aef6213dc771f7c71180633bfa62145d5b31f2b568514")
	is.True(validHash(HashKey("dev1", "dev.secret")))
}
