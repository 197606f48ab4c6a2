package chaos

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/fake/queued"
)

type (
	// OverloadSummary is the result of a run of Overload, in numbers of attempts unless stated otherwise.
	OverloadSummary struct {
		Unsafe        int
		Served        int // of the unsafe ones
		NotRun        int // unsafe ones that were told so
		Unknown       int // unsafe ones that were answered 502 or 504, or not at all
		FalseRefusals int // unsafe ones that were told "not run", and an upstream took them
		OnlyQueued    int // of these, those that no upstream began
		Twice         int // unsafe ones that ran more than once
		Needless      int // unsafe ones that ended as unknown before their time was up, although all upstreams had refused them, undisturbed
		CameBack      int // unsafe calls that were served after a refusal
		Safe          int
		SafeServed    int
		SafeLate      int           // served after overloadTarget
		P50, P95, P99 time.Duration // of the safe ones that were served
		Foreign       int           // responses to other requests that the fronts discarded
		Lost          int           // sends whose response was lost
		queued.Counts
		PerFront []FrontSummary
	}

	// FrontSummary is the part of one front.
	FrontSummary struct {
		Requests      int
		FalseRefusals int
		Warnings      int // requests in its log that may have run, without an answer
	}

	// frontLine is what is read of a front's log line.
	frontLine struct {
		Level, Message, Request string
		Runs                    []struct {
			End            string
			OtherResponses int `json:"other_responses"`
		}
	}
)

// verify compares the responses with the deliveries at the upstreams.
func (c *Overload) verify() (sum OverloadSummary, err error) {
	sum.Counts, sum.PerFront = c.journal.Counts(), make([]FrontSummary, c.Fronts)
	violations := c.journal.Violations()
	suspects := map[string]bool{} // attempts with a violation
	var took []time.Duration
	for _, a := range c.attempts {
		found := sum.count(a, c.journal.Deliveries(a.id))
		suspects[a.id] = len(found) > 0
		violations = append(violations, found...)
		if a.safe && a.status == http.StatusOK {
			took = append(took, a.took)
		}
	}
	slices.Sort(took)
	quantile := func(q float64) time.Duration {
		if len(took) == 0 {
			return 0
		}
		return took[int(q*float64(len(took)-1))].Round(time.Millisecond)
	}
	sum.P50, sum.P95, sum.P99 = quantile(0.5), quantile(0.95), quantile(0.99)
	for i := range c.fronts {
		if err = sum.readLog(i, c.fronts[i].log.Name(), suspects, c.Out); err != nil {
			return sum, err
		}
	}
	for _, text := range violations {
		_, _ = fmt.Fprintln(c.Out, text)
	}
	if sum.Served == 0 || sum.SafeServed == 0 {
		violations = append(violations, "nothing was served")
	}
	if len(violations) > 0 {
		return sum, errors.Newf("%d violations: %s", len(violations), strings.Join(violations[:min(len(violations), 5)], "; "))
	}
	return sum, nil
}

// count counts an attempt and returns the violations that it shows.
func (v *OverloadSummary) count(a *overloadAttempt, deliveries []queued.Delivery) (violations []string) {
	front := &v.PerFront[a.front]
	front.Requests++
	taken, began, undisturbed := 0, 0, len(deliveries) > 0
	for _, s := range deliveries {
		if s.End != queued.Refused && s.End != queued.RefusedCut {
			taken++
		}
		if s.Began {
			began++
		}
		undisturbed = undisturbed && s.End == queued.Refused && !s.Foreign
	}
	violate := func(what string) {
		violations = append(violations, fmt.Sprintf("%s at front %d, status %d (%v) after %v, connection idle for %v: %s: %+v", a.id, a.front, a.status, a.err, a.took, a.idle, what, deliveries))
	}
	served := a.status == http.StatusOK
	if served && (a.body != "answer to "+a.id || began == 0) {
		violate(fmt.Sprintf("the answer is not its own: %.80q", a.body))
	}
	if meansNotRun(a.status) && a.retryAfter == "" {
		violate("refused without a time after which to try again")
	}
	if a.safe {
		v.Safe++
		if served {
			v.SafeServed++
		}
		if served && a.took > overloadTarget {
			v.SafeLate++
		}
		return violations
	}
	v.Unsafe++
	switch {
	case served:
		v.Served++
		if !strings.HasSuffix(a.id, "-0") {
			v.CameBack++
		}
	case meansNotRun(a.status):
		v.NotRun++
		if taken > 0 {
			v.FalseRefusals++
			front.FalseRefusals++
			violate("told not run, and an upstream took it")
		}
		if taken > 0 && began == 0 {
			v.OnlyQueued++
		}
	default:
		v.Unknown++
		if undisturbed && a.took < overloadTimeout {
			v.Needless++
			violate("not told that it has not run")
		}
	}
	if began > 1 {
		v.Twice++
		violate("ran more than once")
	}
	return violations
}

// readLog counts what the log of front i tells, and copies the lines of suspects.
func (v *OverloadSummary) readLog(i int, path string, suspects map[string]bool, out io.Writer) error {
	f, err := os.Open(path) //nolint:gosec // the log of our own process
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var l frontLine
		if json.Unmarshal(lines.Bytes(), &l) != nil || l.Message != "request" {
			continue
		}
		if suspects[l.Request] {
			_, _ = fmt.Fprintf(out, "%s\n", lines.Bytes())
		}
		if l.Level == "warn" {
			v.PerFront[i].Warnings++
		}
		for _, r := range l.Runs {
			v.Foreign += r.OtherResponses
			if r.End == "lost" {
				v.Lost++
			}
		}
	}
	return lines.Err()
}
