// Package sizes computes the totals in docs/CAPACITY.md from the input values on
// the same page, so that the totals always match the measured values.
//
// Two kinds of Markdown tables are evaluated. Tables with the columns Name, Value,
// Unit and Source define values: required numbers, and costs per unit (slopes, for
// example bytes per call) measured with the command given as source. A value of "-" is not measured yet. Tables with
// the columns Role, What, Unit, Formula, Total, Limit and Result compute totals
// from these names by arithmetic. Total and Result are generated; to add a row,
// leave them empty and run this package's test with -update. Other tables and text
// are not changed.
package sizes

import (
	"bufio"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"math"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// NotMeasured is the total of a row whose formula uses a name without a value.
	NotMeasured = "not measured"

	empty   = "-" // cell without a value
	noLimit = "no limit given"
	digits  = 3

	valueHeader = "Name|Value|Unit|Source"
	rowHeader   = "Role|What|Unit|Formula|Total|Limit|Result"
)

type (
	// Page is a parsed page.
	Page struct {
		Values map[string]float64 // by name; NaN if not measured
		Rows   []Row

		lines []string
	}

	// Row is one computed total.
	Row struct {
		Line    int // counted from 1
		Role    string
		What    string
		Unit    string
		Formula string
		Total   string
		Limit   string // a name, an expression or "-"
		Result  string
	}
)

// Parse reads a page. Errors give the line number.
func Parse(r io.Reader) (p Page, err error) {
	defer func() { err = errors.Wrap(err, "parse sizes") }()
	p.Values = map[string]float64{}
	header := ""
	s := bufio.NewScanner(r)
	for s.Scan() {
		line := s.Text()
		p.lines = append(p.lines, line)
		if !strings.HasPrefix(line, "|") {
			header = ""
			continue
		}
		cells := split(line)
		if header == "" {
			header = strings.Join(cells, "|")
			continue
		}
		if strings.HasPrefix(cells[0], "--") {
			continue
		}
		if err = p.add(header, cells); err != nil {
			return p, errors.Wrapf(err, "line %d", len(p.lines))
		}
	}
	return p, s.Err()
}

func split(line string) []string {
	cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}

func (p *Page) add(header string, cells []string) error {
	switch header {
	case valueHeader:
		return p.addValue(cells)
	case rowHeader:
		if len(cells) != 7 {
			return errors.Newf("got %d cells instead of 7", len(cells))
		}
		p.Rows = append(p.Rows, Row{
			Line: len(p.lines), Role: cells[0], What: cells[1], Unit: cells[2],
			Formula: cells[3], Total: cells[4], Limit: cells[5], Result: cells[6],
		})
	}
	return nil
}

func (p *Page) addValue(cells []string) error {
	if len(cells) != 4 {
		return errors.Newf("got %d cells instead of 4", len(cells))
	}
	name := cells[0]
	if _, ok := p.Values[name]; ok {
		return errors.Newf("%s is defined twice", name)
	}
	if cells[1] == empty {
		p.Values[name] = math.NaN()
		return nil
	}
	if cells[3] == "" {
		return errors.Newf("%s has no source", name)
	}
	v, err := strconv.ParseFloat(cells[1], 64)
	p.Values[name] = v
	return err
}

// Compute returns the row with Total and Result computed.
func (p Page) Compute(r Row) (_ Row, err error) {
	defer func() { err = errors.Wrapf(err, "line %d: %s, %s", r.Line, r.Role, r.What) }()
	total, err := p.evaluate(r.Formula)
	if err != nil {
		return r, err
	}
	limit := math.NaN()
	if r.Limit != empty {
		if limit, err = p.evaluate(r.Limit); err != nil {
			return r, err
		}
	}
	r.Total = formatNumber(total)
	switch {
	case math.IsNaN(total):
		r.Result = NotMeasured
	case math.IsNaN(limit):
		r.Result = noLimit
	case total > limit:
		r.Result = "misses by " + formatNumber(total-limit) + " " + r.Unit
	default:
		r.Result = "fits, " + formatNumber(100*total/limit) + "% used"
	}
	return r, nil
}

// Update returns the text of the page with Total and Result of all rows computed.
func (p Page) Update() (text string, err error) {
	defer func() { err = errors.Wrap(err, "update sizes") }()
	lines := append([]string(nil), p.lines...)
	for _, row := range p.Rows {
		r, err := p.Compute(row)
		if err != nil {
			return "", err
		}
		cells := []string{r.Role, r.What, r.Unit, r.Formula, r.Total, r.Limit, r.Result}
		lines[r.Line-1] = "| " + strings.Join(cells, " | ") + " |"
	}
	return strings.Join(lines, "\n") + "\n", nil
}

// formatNumber formats v with three significant digits.
func formatNumber(v float64) string {
	if math.IsNaN(v) {
		return NotMeasured
	}
	if v == 0 {
		return "0"
	}
	scale := math.Pow(10, digits-1-math.Floor(math.Log10(math.Abs(v))))
	return strconv.FormatFloat(math.Round(v*scale)/scale, 'f', -1, 64)
}

// evaluate computes an expression of names, numbers, + - * / and parentheses. The
// result is NaN if one of the names has no value yet.
func (p Page) evaluate(expression string) (float64, error) {
	e, err := parser.ParseExpr(strings.Trim(expression, "`"))
	if err != nil {
		return 0, err
	}
	return p.value(e)
}

func (p Page) value(e ast.Expr) (float64, error) {
	switch e := e.(type) {
	case *ast.Ident:
		v, ok := p.Values[e.Name]
		if !ok {
			return 0, errors.Newf("no value named %s", e.Name)
		}
		return v, nil
	case *ast.BasicLit:
		return strconv.ParseFloat(e.Value, 64)
	case *ast.ParenExpr:
		return p.value(e.X)
	case *ast.BinaryExpr:
		x, err := p.value(e.X)
		if err != nil {
			return 0, err
		}
		y, err := p.value(e.Y)
		if err != nil {
			return 0, err
		}
		return apply(e.Op, x, y)
	}
	return 0, errors.Newf("unsupported expression %T", e)
}

func apply(op token.Token, x, y float64) (float64, error) {
	switch op {
	case token.ADD:
		return x + y, nil
	case token.SUB:
		return x - y, nil
	case token.MUL:
		return x * y, nil
	case token.QUO:
		return x / y, nil
	}
	return 0, errors.Newf("unsupported operator %s", op)
}
