package load

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/plat/engine"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

// A report is a second old when it arrives and does not contain what this owner
// sent since. Taken as it is, it would make a busy upstream look idle, and all
// further requests would go there.
func TestReportsLag(t *testing.T) {
	tests := map[string]struct {
		starts, ends []float64 // seconds
		report       engine.Load
		others       float64
	}{
		"nothing of ours":      {nil, nil, engine.Load{Seq: 1, At: at(9), Running: 3, Waiting: 1}, 4},
		"ours is in it":        {[]float64{5, 6}, nil, engine.Load{Seq: 1, At: at(9), Running: 3}, 1},
		"ours came after":      {[]float64{9.5, 9.6}, nil, engine.Load{Seq: 1, At: at(9), Running: 3}, 3},
		"ours ended after":     {[]float64{5}, []float64{9.5}, engine.Load{Seq: 1, At: at(9), Running: 3}, 2},
		"never less than none": {[]float64{5, 6}, nil, engine.Load{Seq: 1, At: at(9), Running: 1}, 0},
		"clock ahead":          {[]float64{5}, nil, engine.Load{Seq: 1, At: at(99), Running: 2}, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var l Load
			for _, s := range tt.starts {
				l.Start(at(s))
			}
			for _, s := range tt.ends {
				l.End(at(s))
			}
			is.True(l.Report(at(10), tt.report))
			is.Equal(l.others, tt.others)
			is.Equal(l.Inflight(), len(tt.starts)-len(tt.ends))
		})
	}
}

func TestOldReports(t *testing.T) {
	is := is.New(t)
	var l Load
	is.True(l.Report(at(1), engine.Load{Seq: 5, At: at(1), Running: 8}))
	is.True(!l.Report(at(2), engine.Load{Seq: 4, At: at(0), Leaving: true})) // overtaken
	is.True(!l.Leaving())
	is.True(l.Report(at(3), engine.Load{Seq: 1, At: at(3), Leaving: true})) // restarted
	is.True(l.Leaving())
}

// The reports of a busy upstream stop. If the last one counted for ever, no
// request would go there again even if the upstream is idle.
func TestOldReportsLoseWeight(t *testing.T) {
	is := is.New(t)
	var l Load
	for i := range 100 {
		l.Report(at(float64(i)), engine.Load{Seq: uint64(i + 1), At: at(float64(i)), Running: 8})
	}
	is.True(l.Others(at(99)) > 7)
	is.True(l.Others(at(99+60)) < 1)
}

func TestSlotsShowWhenFull(t *testing.T) {
	is := is.New(t)
	var l Load
	l.Report(at(1), engine.Load{Seq: 1, At: at(1), Running: 5})
	is.Equal(l.Slots(), 0.0)
	l.Report(at(2), engine.Load{Seq: 2, At: at(2), Running: 6, Waiting: 2})
	is.Equal(l.Slots(), 6.0)
	l.Report(at(3), engine.Load{Seq: 3, At: at(3), Running: 7})
	is.Equal(l.Slots(), 7.0)
}
