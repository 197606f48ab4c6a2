package chaos

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// slowRoutes is the number of routes whose time-out is longer than the grace of a stop, of unsafe requests and of turns each.
	slowRoutes  = 3
	slowTimeout = 20 * time.Second
	// leaveGrace is the grace of the settings.
	leaveGrace = 8 * time.Second
	leaveBody  = "the body of a late request"
)

// leaveBodies are when the last byte of a request is sent, after the SIGTERM. Those that come just before the end may not be read.
var leaveBodies = []time.Duration{
	-100 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond, 2300 * time.Millisecond, 3200 * time.Millisecond,
	4 * time.Second, 5 * time.Second, 6 * time.Second,
}

type (
	// Leave stops a front as planned while requests come to it on connections that are open. Each that was
	// sent whole must get a whole answer, and one that is refused must not run. Set the exported fields, then call Run.
	Leave struct {
		*Runner                 // its callers and faults are not used
		Works   []time.Duration // of upstreams on requests, slowRoutes at most; each is played on routes of its own
	}

	// late is one request of Leave.
	late struct {
		id, path string
		chunked  bool
		wholeAt  time.Duration
		status   int // 0 if there was no whole answer
		err      error
		unsent   bool // the connection was closed before the request was whole
		begun    bool // the head of a response has come
	}

	// LeaveSummary is the result of Leave, in numbers of requests.
	LeaveSummary struct{ Served, Refused, Unknown, Cut int }
)

// Run executes the run. The error lists violations.
func (l *Leave) Run(ctx context.Context) (sum LeaveSummary, err error) {
	defer func() { err = errors.Wrap(err, "planned stop") }()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	end, err := l.begin(ctx)
	if err != nil {
		return sum, err
	}
	defer end()
	requests := l.requests()
	var work sync.WaitGroup
	for _, r := range l.usual() { // fronts know how long requests take
		work.Go(func() { l.send(ctx, r, time.Now()) })
	}
	work.Wait()
	at := time.Now().Add(time.Second)
	for _, r := range requests {
		work.Go(func() { l.send(ctx, r, at) })
	}
	time.Sleep(time.Until(at))
	l.fronts[0].stop(syscall.SIGTERM, leaveGrace)
	work.Wait()
	l.judge(requests, &sum)
	if list := slices.Concat(l.observed.violations, l.runLog.Violations()); len(list) > 0 {
		return sum, errors.Newf("%d violations: %s", len(list), strings.Join(list, "; "))
	}
	return sum, nil
}

// usual returns a request of each route and work, which are whole at once.
func (l *Leave) usual() (list []*late) {
	for i, work := range l.Works {
		for _, path := range l.paths(i, work) {
			list = append(list, &late{id: fmt.Sprint("usual-", len(list)), path: path})
		}
	}
	return list
}

func (l *Leave) requests() (list []*late) {
	for n, work := range l.Works {
		for _, path := range l.paths(n, work) {
			for i, at := range leaveBodies {
				list = append(list, &late{id: fmt.Sprintf("late-%d", len(list)), path: path, chunked: i%2 == 1, wholeAt: at})
			}
		}
	}
	return list
}

// paths returns the paths of an unsafe request and of a turn of routes number n, on which upstreams work for so long.
func (l *Leave) paths(n int, work time.Duration) []string {
	return []string{
		fmt.Sprintf("/slow%d/x?wait=%d", n, work.Milliseconds()),
		fmt.Sprintf("/slow-turn%d/x?events=3&wait=%d", n, work.Milliseconds()/3),
	}
}

// send sends a request, the last part of its body at its time from the SIGTERM on, and reads the answer.
func (l *Leave) send(ctx context.Context, r *late, term time.Time) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", l.frontProxies[0].Target)
	if err != nil {
		r.err, r.unsent = err, true
		return
	}
	defer func() { _ = conn.Close() }()
	framing, first, last := fmt.Sprintf("Content-Length: %d", len(leaveBody)), leaveBody[:9], leaveBody[9:]
	if r.chunked {
		framing, first = "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", len(first), first)
		last = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(last), last)
	}
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nProgram-Id: p-%s\r\nToken-Budget: 100\r\nToken-Usage: 10,30\r\n%s\r\n\r\n", r.path, host, r.id, slowTimeout.Milliseconds(), r.id, framing)
	if _, r.err = io.WriteString(conn, head+first); r.err == nil {
		time.Sleep(time.Until(term.Add(r.wholeAt)))
		_, r.err = io.WriteString(conn, last)
	}
	if r.unsent = r.err != nil; r.unsent {
		return
	}
	_ = conn.SetReadDeadline(term.Add(slowTimeout))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if r.begun = err == nil; r.begun {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if r.err = err; err == nil {
		r.status = resp.StatusCode
	}
}

// judge notes the violations among the requests, and counts them.
func (l *Leave) judge(requests []*late, sum *LeaveSummary) {
	for _, r := range requests {
		runs := l.runLog.Runs(r.id)
		_, _ = fmt.Fprintf(l.Out, "%s %s, whole %v after the SIGTERM: status %d, %v, ran %d times\n", r.id, r.path, r.wholeAt, r.status, r.err, runs)
		violate := func(what string) {
			l.observed.addViolation("%s %s, whole %v after the SIGTERM: %s (%v)", r.id, r.path, r.wholeAt, what, r.err)
		}
		switch {
		case runs > 1:
			violate("ran more than once")
		case r.begun && r.status == 0 && r.wholeAt < 0:
			sum.Cut++ // a stream of before the SIGTERM that goes on to the end
		case r.status == 0 && (runs > 0 || !r.unsent):
			violate("cut without an answer")
		case meansNotRun(r.status) && runs > 0:
			violate(fmt.Sprintf("told %d, and ran", r.status))
		case r.status == http.StatusOK:
			sum.Served++
		case meansNotRun(r.status):
			sum.Refused++
		default:
			sum.Unknown++
		}
	}
}
