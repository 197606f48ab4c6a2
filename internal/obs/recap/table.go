package recap

import (
	"strings"

	"github.com/slaterock/slaterock/internal/obs/label"
)

const (
	// maxNames is how many distinct names a table keeps; all further ones are counted
	// together. It exceeds the largest number of accounts to support, 10,000.
	maxNames = 16 << 10
	// maxName is the length in bytes to which names are cut.
	maxName = 128
	// maxSteps is how many rows the table by second keeps, an hour's. Its step is doubled
	// whenever a log needs more.
	maxSteps = 4096
)

// The tables whose rows have a name.
const (
	byRoute = iota
	byAccount
	byUpstream
	byFront
	byCause
	byKind
	tableCount
)

type (
	// Totals counts programs by outcome. Lost is where the time of those went that did
	// not end in time.
	Totals struct {
		Programs  int64               `json:"programs"`
		Ended     [outcomeCount]int64 `json:"-"`
		LateTwice int64               `json:"late_twice"` // of the late ones, those that took more than twice their time
		TimeMs    int64               `json:"time_ms"`    // of all
		LostMs    int64               `json:"lost_ms"`    // of those not in time
		Lost      Parts               `json:"lost_by_part_ms"`
	}

	// names numbers names. 0 is the empty one.
	names struct {
		ids  map[string]uint32
		list []string
	}

	tableNames [tableCount]names

	// timeline has totals by the time of the first attempt.
	timeline struct {
		step  int64 // seconds
		steps map[int64]*Totals
	}
)

// id returns the number of a name, the one of label.Others if there are too many.
func (n *names) id(name string) uint32 {
	if name == "" {
		return 0
	}
	if len(name) > maxName {
		name = strings.Clone(name[:maxName])
	}
	if id, ok := n.ids[name]; ok {
		return id
	}
	if n.ids == nil {
		n.ids, n.list = map[string]uint32{label.Others: 1}, []string{"", label.Others}
	}
	if len(n.list) >= maxNames {
		return 1
	}
	id := uint32(len(n.list))
	n.ids[name], n.list = id, append(n.list, name)
	return id
}

func (n *names) name(id uint32) string {
	if id == 0 {
		return "none"
	}
	return n.list[id]
}

// lost returns the number of programs that did not end in time.
func (t *Totals) lost() int64 { return t.Programs - t.Ended[InTime] - t.Ended[Untimed] }

func (t *Totals) add(u *Totals) {
	t.Programs += u.Programs
	for i, n := range u.Ended {
		t.Ended[i] += n
	}
	t.LateTwice += u.LateTwice
	t.TimeMs += u.TimeMs
	t.LostMs += u.LostMs
	t.Lost.add(u.Lost)
}

// at returns the totals of a time in milliseconds. They are valid until the next call.
func (t *timeline) at(ms int64) *Totals {
	if t.steps == nil {
		t.step, t.steps = 1, map[int64]*Totals{}
	}
	for {
		i := floorDiv(ms, t.step*1000)
		if t.steps[i] != nil {
			return t.steps[i]
		}
		if len(t.steps) < maxSteps {
			t.steps[i] = &Totals{}
			return t.steps[i]
		}
		t.widen()
	}
}

// widen doubles the step.
func (t *timeline) widen() {
	wide := make(map[int64]*Totals, len(t.steps))
	for i, totals := range t.steps {
		j := floorDiv(i, 2)
		if wide[j] == nil {
			wide[j] = &Totals{}
		}
		wide[j].add(totals)
	}
	t.step, t.steps = 2*t.step, wide
}

// floorDiv divides and rounds down: programs may have begun before second 0 of a replay.
func floorDiv(a, b int64) int64 {
	q := a / b
	if a%b < 0 {
		q--
	}
	return q
}
