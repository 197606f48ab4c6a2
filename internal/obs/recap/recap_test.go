package recap

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// The fields of attempts in the logs below.
const (
	turn    = `"kind":"stream","route":"r1","account":"a1","upstream":"u1"`
	ok      = `"status":200,"outcome":"answered","ran":"yes"`
	limited = `"status":429,"outcome":"over_limit","ran":"no"`
	full    = `"status":503,"outcome":"engines_busy","ran":"no"`
	broken  = `"status":200,"outcome":"broken_off","ran":"yes"`
)

// entry returns a line with the second and the VM in front, as a recorder of many VMs prints it.
func entry(seconds float64, front, program string, fields ...string) string {
	if program != "" {
		fields = append(fields, fmt.Sprintf(`"program":%q`, program))
	}
	return fmt.Sprintf("%.4f %s {\"request\":\"1\",%s,\"message\":\"request\"}\n", seconds, front, strings.Join(fields, ","))
}

func summarize(t *testing.T, s *State, logs ...string) *Report {
	t.Helper()
	var sources []*Source
	for i, log := range logs {
		sources = append(sources, &Source{Name: fmt.Sprintf("log%d", i), R: strings.NewReader(log)})
	}
	is.New(t).NoErr(s.Read(t.Context(), sources))
	return s.Report(Dimensions, 0)
}

func TestOutcomesAndParts(t *testing.T) {
	tests := map[string]struct {
		log     string
		outcome Outcome
		cause   string // empty for a program in time
		lost    Parts
		twice   int64
	}{
		"in time": {log: entry(1, "f", "p", turn, ok, `"finish_ms":500,"took_ms":500`), outcome: InTime},
		"in time by RFC 3339": {
			log:     `{"time":"2026-12-04T02:05:22.5Z","daemon":"f","request":"1","program":"p",` + ok + `,"finish_ms":9,"took_ms":9,"message":"request"}`,
			outcome: InTime,
		},
		"late by its events": {
			log:     entry(1, "f", "p", turn, ok, `"finish_ms":499,"recorded_ms":10,"limit_wait_ms":20,"queued_ms":30,"first_ms":100,"took_ms":500`),
			outcome: Late, cause: "events",
			lost: Parts{partLimit: 20, partQueue: 30, partRecords: 10, partFirst: 40, partEvents: 400},
		},
		"late by more than its time": {
			log:     entry(1, "f", "p", turn, ok, `"finish_ms":100,"first_ms":500,"took_ms":500`),
			outcome: Late, cause: "first", lost: Parts{partFirst: 500}, twice: 1,
		},
		"refused, nothing ran": {
			log: entry(1, "f", "p", turn, limited, `"finish_ms":900,"limit_wait_ms":80,"took_ms":100`) +
				entry(1.5, "f", "p", turn, full, `"finish_ms":300,"queued_ms":200,"took_ms":200`),
			outcome: Refused, cause: "engines_busy", lost: Parts{partLimit: 80, partQueue: 200, partOther: 20, partBetween: 300},
		},
		"refused after it had begun": {
			log: entry(1, "f", "p", turn, ok, `"finish_ms":900,"first_ms":50,"took_ms":100`) +
				entry(1.2, "f", "p", turn, limited, `"finish_ms":700,"took_ms":0`),
			outcome: RefusedBegun, cause: "over_limit", lost: Parts{partFirst: 50, partEvents: 50, partBetween: 200},
		},
		"refused, then served": {
			log: entry(1, "f", "p", turn, limited, `"finish_ms":900,"took_ms":0`) +
				entry(1.2, "f", "p", turn, ok, `"finish_ms":700,"took_ms":100`),
			outcome: InTime,
		},
		"broken off": {
			log:     entry(1, "f", "p", turn, broken, `"finish_ms":900,"first_ms":50,"took_ms":100`),
			outcome: Failed, cause: "broken_off", lost: Parts{partFirst: 50, partEvents: 50},
		},
		"the caller left before the first event": {
			log:     entry(1, "f", "p", turn, `"status":0,"outcome":"caller_left","ran":"unknown","finish_ms":900,"recorded_ms":5,"took_ms":2000`),
			outcome: Failed, cause: "caller_left", lost: Parts{partRecords: 5, partFirst: 1995},
		},
		"answered with an error": {
			log:     entry(1, "f", "p", `"kind":"safe","status":500,"outcome":"answered","ran":"yes","finish_ms":900,"first_ms":90,"took_ms":100`),
			outcome: Failed, cause: "status 500", lost: Parts{partCalls: 100},
		},
		"budget spent":     {log: entry(1, "f", "p", `"status":402,"outcome":"budget_spent","ran":"no","took_ms":7`), outcome: Failed, cause: "budget_spent", lost: Parts{partOther: 7}},
		"no finish time":   {log: entry(1, "f", "p", turn, ok, `"took_ms":100`), outcome: Untimed},
		"finish time is 0": {log: entry(1, "f", "p", turn, ok, `"finish_ms":0,"first_ms":100,"took_ms":100`), outcome: Late, cause: "first", lost: Parts{partFirst: 100}, twice: 1},
		// Waits that a line states as longer than the request must not make the sum exceed it.
		"parts above the whole": {
			log:     entry(1, "f", "p", turn, broken, `"recorded_ms":80,"limit_wait_ms":-5,"queued_ms":90,"first_ms":100,"took_ms":100`),
			outcome: Failed, cause: "broken_off", lost: Parts{partRecords: 80, partQueue: 20},
		},
		// Time that two sub-agents spend side by side must not count twice: from 0 to 1 s, with
		// the second at 0.5 s ending last, 0.5 s of the first count.
		"sub-agents side by side": {
			log: entry(1, "f", "p", turn, ok, `"finish_ms":1,"first_ms":1000,"took_ms":1000`) +
				entry(2, "f", "p", `"kind":"safe"`, ok, `"finish_ms":1,"first_ms":1500,"took_ms":1500`),
			outcome: Late, cause: "calls", lost: Parts{partFirst: 500, partCalls: 1500}, twice: 1,
		},
		// A gap between two attempts that a third one covers is no time between requests.
		"a sub-agent covers a gap": {
			log: entry(1, "f", "p", turn, ok, `"finish_ms":1,"first_ms":100,"took_ms":100`) +
				entry(2, "f", "p", turn, ok, `"finish_ms":1,"first_ms":100,"took_ms":100`) +
				entry(3, "f", "p", `"kind":"safe"`, ok, `"finish_ms":1,"first_ms":2050,"took_ms":2050`),
			outcome: Late, cause: "calls", lost: Parts{partFirst: 50, partCalls: 2050}, twice: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := summarize(t, &State{}, tt.log)
			is.Equal(r.Lines.Unreadable, int64(0))
			is.Equal(r.Total.Programs, int64(1))
			is.Equal(r.Total.Ended[tt.outcome], int64(1))
			is.Equal(r.Total.Lost, tt.lost)
			is.Equal(r.Total.LostMs, tt.lost.Sum())
			is.Equal(r.Total.LateTwice, tt.twice)
			is.Equal(len(r.Causes) > 0, tt.cause != "")
			if tt.cause != "" {
				is.Equal(r.Causes[0].Cause, tt.cause)
			}
		})
	}
}

// A program is summed up under its first route and account, the front of its last attempt and
// the upstream of its last answered turn, also if refusals before the key was checked have none.
func TestRowsOfAProgram(t *testing.T) {
	is := is.New(t)
	log := entry(1.2, "f1", "p", `"status":503,"outcome":"no_configuration","ran":"no","took_ms":300`) +
		entry(2, "f2", "p", turn, ok, `"finish_ms":900,"took_ms":100`) +
		entry(3, "f3", "p", `"kind":"safe","route":"r2","upstream":"u2"`, ok, `"finish_ms":900,"took_ms":100`) +
		entry(4, "f4", "p", `"kind":"stream","route":"r1","upstream":"u3"`, broken, `"finish_ms":900,"took_ms":100`)
	r := summarize(t, &State{}, log)
	for i, want := range []string{"0", "r1", "a1", "u1", "f4"} {
		is.Equal(r.Tables[i].By, Dimensions[i])
		is.Equal(len(r.Tables[i].Rows), 1)
		is.Equal(r.Tables[i].Rows[0].Name, want)
		is.Equal(r.Tables[i].Rows[0].Totals, r.Total.Totals)
	}
}

func TestRequestsWithoutProgram(t *testing.T) {
	is := is.New(t)
	r := summarize(t, &State{}, entry(1, "f", "", `"kind":"safe"`, ok)+entry(2, "f", "", `"kind":"safe"`, limited)+
		entry(3, "f", "", `"kind":"unsafe","status":502,"outcome":"answer_lost","ran":"unknown"`)+entry(4, "f", "", `"status":404,"outcome":"no_route","ran":"no"`))
	is.Equal(r.Total.Programs, int64(0))
	is.Equal(r.Requests, []Requests{{"none", 1, 0, 0, 1}, {"safe", 2, 1, 1, 0}, {"unsafe", 1, 0, 0, 1}})
}

// A program that goes on after a pause must not count twice, and one whose id is used again
// the next day must not count as one of a day.
func TestSilenceEndsAProgram(t *testing.T) {
	is := is.New(t)
	served := func(seconds float64) string {
		return entry(seconds, "f", "p", turn, ok, `"finish_ms":900,"took_ms":100`)
	}
	is.Equal(summarize(t, &State{}, served(1)+served(60)).Total.Programs, int64(1))
	is.Equal(summarize(t, &State{}, served(1)+entry(62, "f", "q", ok)+served(63)).Total.Programs, int64(3))
}

// The parts of the time must add up to it however attempts overlap and in whatever order
// their lines come, also if there are more than are kept.
func TestPartsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p program
		var n tableNames
		begin, end := int64(1<<60), int64(0)
		for range rapid.IntRange(1, 3*maxSpans).Draw(t, "attempts") {
			ms := func(name string) int64 { return rapid.Int64Range(-10, 300).Draw(t, name) }
			l := Line{
				End: rapid.Int64Range(1000, 9000).Draw(t, "end"), Took: max(ms("took"), 0), First: max(ms("first"), 0), Recorded: ms("recorded"),
				LimitWait: ms("limit"), Queued: ms("queued"), Kind: rapid.SampledFrom([]string{"stream", "safe"}).Draw(t, "kind"), Ran: ranYes,
			}
			begin, end = min(begin, l.begin()), max(end, l.End)
			p.add(&l, &n)
		}
		whole := divide(p.spans)
		if whole.begin != begin || whole.end != end || whole.parts.Sum() != end-begin || len(p.spans) > maxSpans || p.begin != begin {
			t.Fatalf("%+v, from %d to %d", whole, begin, end)
		}
		for _, ms := range whole.parts {
			if ms < 0 {
				t.Fatalf("negative part: %v", whole.parts)
			}
		}
	})
}
