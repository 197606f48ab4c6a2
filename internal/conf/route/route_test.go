package route

import (
	"testing"

	"github.com/matryer/is"
)

func table() *Table {
	return New(3, []Route{
		{Name: "all", Host: "h", Prefix: "/"},
		{Name: "a", Host: "h", Prefix: "/a/"},
		{Name: "ab", Host: "h", Prefix: "/a/b/"},
		{Name: "other", Host: "g", Prefix: "/a/"},
	}, nil, Limits{})
}

func TestMatch(t *testing.T) {
	cases := map[string]struct{ host, path, want string }{
		"longest prefix":     {"h", "/a/b/c", "ab"},
		"shorter prefix":     {"h", "/a/c", "a"},
		"prefix as a whole":  {"h", "/a/b", "a"},
		"no slash at end":    {"h", "/a", "all"},
		"host with its port": {"h:8080", "/a/", "a"},
		"host in capitals":   {"H", "/a/", "a"},
		"another host":       {"g", "/a/b/c", "other"},
		"no such host":       {"i", "/a/", ""},
		"no such path":       {"g", "/b/", ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, ok := table().Match(c.host, c.path)
			is.Equal(r.Name, c.want)
			is.Equal(ok, c.want != "")
		})
	}
}

func TestChoose(t *testing.T) {
	is := is.New(t)
	r := Route{Backends: []Backend{{"a", 90}, {"none", 0}, {"b", 10}}}
	count := map[string]int{}
	for hash := range uint64(1000) {
		count[r.Choose(hash)]++
	}
	is.Equal(count, map[string]int{"a": 900, "b": 100})
	is.Equal(Route{Backends: []Backend{{"a", 0}, {"b", 0}}}.Choose(7), "a") // all weights are 0
}
