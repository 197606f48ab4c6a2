package accnt

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func keys(list ...string) (out []Digest) {
	for _, k := range list {
		out = append(out, DigestOf(k))
	}
	return out
}

func TestFind(t *testing.T) {
	is := is.New(t)
	a, err := New([]Account{{Name: "b", Keys: keys("kb")}, {Name: "a", Keys: keys("ka1", "ka2")}, {Name: "none"}})
	is.NoErr(err)
	cases := map[string]string{"ka1": "a", "ka2": "a", "kb": "b", "kc": "", "": "", "none": ""}
	for key, want := range cases {
		acct, known := a.Find(DigestOf(key))
		is.Equal(acct.Name, want)
		is.Equal(known, want != "")
	}
	var none *Accounts
	_, known := none.Find(DigestOf("ka1"))
	is.True(!known)
}

// A configuration that gives one key to two accounts, or has an empty key, would run and count
// one caller's requests under another account. Errors must not reveal keys or their digests.
func TestFaults(t *testing.T) {
	cases := map[string]struct {
		list []Account
		says string
	}{
		"one key, two accounts": {[]Account{{Name: "a", Keys: keys("secret")}, {Name: "b", Keys: keys("secret")}}, "also that of a"},
		"an empty key":          {[]Account{{Name: "a", Keys: keys("")}}, "a: a key is empty"},
		"a negative rate":       {[]Account{{Name: "a", Rate: -1}}, "a: a limit is negative"},
		"a negative burst":      {[]Account{{Name: "a", Burst: -1}}, "a: a limit is negative"},
		"a negative priority":   {[]Account{{Name: "a", Priority: -1}}, "a: the priority is negative"},
		"no name":               {[]Account{{Keys: keys("k")}}, "no name"},
		"a name of two lines":   {[]Account{{Name: "a\r\nb"}}, "control characters"},
		"two of a name":         {[]Account{{Name: "a"}, {Name: "a"}}, "two of that name"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := New(c.list)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.says))
			is.True(!strings.Contains(err.Error(), "secret"))
			is.True(!strings.Contains(err.Error(), DigestOf("secret").String()))
		})
	}
}

func TestParseDigest(t *testing.T) {
	is := is.New(t)
	d, err := ParseDigest(DigestOf("k").String())
	is.NoErr(err)
	is.Equal(d, DigestOf("k"))
	for _, text := range []string{"", "k", "zz", DigestOf("k").String()[2:], DigestOf("k").String() + "00"} {
		_, err = ParseDigest(text)
		is.True(err != nil)
	}
}
