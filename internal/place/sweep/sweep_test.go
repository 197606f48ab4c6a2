package sweep

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A shard moves to another daemon while an engine is read, and for a moment its
// programs have no owner. Releasing them at once would drop their caches.
func TestReleasedAfterTwoReadings(t *testing.T) {
	type reading struct {
		upstream   string
		held, live []string
	}
	tests := map[string]struct {
		readings []reading
		want     []string // released by the last one
	}{
		"once":                {[]reading{{"e", []string{"p"}, nil}}, nil},
		"twice":               {[]reading{{"e", []string{"p"}, nil}, {"e", []string{"p"}, nil}}, []string{"p"}},
		"live again":          {[]reading{{"e", []string{"p"}, nil}, {"e", []string{"p"}, []string{"p"}}}, nil},
		"another":             {[]reading{{"e", []string{"p"}, nil}, {"e", []string{"q"}, nil}}, nil},
		"elsewhere":           {[]reading{{"e", []string{"p"}, nil}, {"f", []string{"p"}, nil}}, nil},
		"asked again at once": {[]reading{{"e", []string{"p"}, nil}, {"e", []string{"p"}, nil}, {"e", []string{"p"}, nil}}, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var s Sweep
			var got []string
			for _, r := range tt.readings {
				got = s.Compare(r.upstream, r.held, r.live)
			}
			is.Equal(got, tt.want)
		})
	}
}

func TestDueRoundRobin(t *testing.T) {
	is := is.New(t)
	s := Sweep{Start: 7}
	var got []int
	for i := range 4 {
		now := epoch.Add(time.Duration(i) * Interval)
		n, ok := s.Due(now, 3)
		is.True(ok)
		got = append(got, n)
		_, ok = s.Due(now.Add(Interval-1), 3)
		is.True(!ok)
		if i == 1 {
			s.Compare("e", []string{"p"}, nil) // to be read again
		}
		if i == 2 {
			s.Compare("e", nil, nil)
		}
	}
	is.Equal(got, []int{1, 2, 2, 0})
	_, ok := s.Due(epoch.Add(time.Hour), 0)
	is.True(!ok)
}
