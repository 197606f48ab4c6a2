package fleet

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a stream that is refused although its software version serves, or sent on although the last one of that version leaves.
func TestVersionsOfAService(t *testing.T) {
	cases := map[string]struct {
		list   []Upstream
		one    bool   // all have one version
		serves string // versions with an upstream that is not leaving, of "a", "b" and ""
	}{
		"none":              {nil, false, ""},
		"one version":       {[]Upstream{{ID: "1", Version: "a"}, {ID: "2", Version: "a", Leaving: true}}, true, "a"},
		"two versions":      {[]Upstream{{ID: "1", Version: "a"}, {ID: "2", Version: "b"}}, false, "ab"},
		"the last leaves":   {[]Upstream{{ID: "1", Version: "a", Leaving: true}, {ID: "2", Version: "b"}}, false, "b"},
		"changed":           {[]Upstream{{ID: "1", Version: "a"}, {ID: "1", Version: "b"}}, true, "b"},
		"changed and back":  {[]Upstream{{ID: "1", Version: "a"}, {ID: "1", Version: "b"}, {ID: "1", Version: "a"}}, true, "a"},
		"leaves and stays":  {[]Upstream{{ID: "1", Version: "a"}, {ID: "1", Version: "a", Leaving: true}, {ID: "1", Version: "a"}}, true, "a"},
		"no version stated": {[]Upstream{{ID: "1"}, {ID: "2", Version: "b"}}, false, "b-"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewService(c.list...)
			_, one := s.OneVersion()
			is.Equal(one, c.one)
			serves := ""
			for _, v := range []string{"a", "b", ""} {
				if s.Serves(v) {
					serves += map[string]string{"a": "a", "b": "b", "": "-"}[v]
				}
			}
			is.Equal(serves, c.serves)
		})
	}
	var none *Service
	is.New(t).True(!none.Serves("a"))
}
