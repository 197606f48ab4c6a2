package sizes

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const page = "../../../docs/CAPACITY.md"

var update = flag.Bool("update", false, "rewrite the totals of the page")

// A total that does not match the measured costs per unit can make operators provision too
// few VMs.
func TestPage(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(page)
	is.NoErr(err)
	p, err := Parse(strings.NewReader(string(data)))
	is.NoErr(err)
	is.True(len(p.Rows) > 0)
	text, err := p.Update()
	is.NoErr(err)
	if *update {
		is.NoErr(os.WriteFile(page, []byte(text), 0o644))
		return
	}
	before, after := strings.Split(string(data), "\n"), strings.Split(text, "\n")
	is.Equal(len(after), len(before))
	for i := range after {
		if before[i] != after[i] {
			t.Errorf("line %d\ngot  %s\nwant %s", i+1, before[i], after[i])
		}
	}
}

const table = `# Page

| Name | Value | Unit | Source |
|---|---|---|---|
| daemons | 320 | daemons | letter |
| slope | 12.5 | bytes | command |
| later | - | bytes | |

| Role | What | Unit | Formula | Total | Limit | Result |
|---|---|---|---|---|---|---|
`

func TestRows(t *testing.T) {
	tests := map[string]struct {
		row, total, result, errText string
	}{
		"fits":         {row: "daemons * slope | | 8000 |", total: "4000", result: "fits, 50% used"},
		"misses":       {row: "daemons * slope | | daemons |", total: "4000", result: "misses by 3680 B"},
		"no limit":     {row: "(daemons + 1) / slope | | - |", total: "25.7", result: "no limit given"},
		"not measured": {row: "daemons * later | | 10 |", total: "not measured", result: "not measured"},
		"rounding":     {row: "daemons * 1000.4 - 1 | | 1e6 |", total: "320000", result: "fits, 32% used"},
		"unknown name": {row: "daemon * slope | | - |", errText: "no value named daemon"},
		"no formula":   {row: " | | - |", errText: "expected operand"},
		"no cells":     {row: "daemons |", errText: "cells instead of 7"},
		"not a number": {row: "\"a\" | | - |", errText: "invalid syntax"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, err := Parse(strings.NewReader(table + "| role | what | B | " + test.row + " |\n"))
			var r Row
			if err == nil {
				r, err = p.Compute(p.Rows[0])
			}
			if test.errText != "" {
				is.True(err != nil)
				is.True(strings.Contains(err.Error(), test.errText))
				return
			}
			is.NoErr(err)
			is.Equal(r.Total, test.total)
			is.Equal(r.Result, test.result)
		})
	}
}

func TestValues(t *testing.T) {
	tests := map[string]string{
		"twice":     "| daemons | 1 | daemons | again |",
		"no source": "| other | 1 | daemons | |",
		"no number": "| other | many | daemons | letter |",
	}
	for name, line := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			at := strings.Index(table, "\n\n| Role")
			_, err := Parse(strings.NewReader(table[:at] + "\n" + line + table[at:]))
			is.True(err != nil)
		})
	}
}
