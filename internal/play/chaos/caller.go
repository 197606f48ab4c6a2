package chaos

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/fake/upstrm"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	attemptTimeout  = 4 * time.Second
	budget          = 300 // tokens of a program
	maxTurnTokens   = 30  // turnEvents * tokensPerEvent
	turnEvents      = 10
	tokensPerEvent  = 3
	maxOtherSamples = 20

	longCallEvery = 4              // one call in so many has a long body, and so has one sub-agent in two
	longInput     = 4<<20 - 64<<10 // its length in bytes, within the limit of the fronts

	turnPath   = "/turn/"
	resumePath = "/resume/"
	storedPath = "/stored/" // its streams may be taken up, and its turns are stored
)

type (
	// caller runs programs one after the other: retained turns, each of which
	// continues the previous one, and calls between them.
	caller struct {
		s      *Runner
		rnd    *rand.Rand
		id     int
		client *http.Client
		front  int

		timeout time.Duration // of an attempt; 0 for attemptTimeout
		longer  time.Duration // by which upstreams take longer for each event
		calls   int           // sent so far
	}

	// tally collects the results of all callers.
	tally struct {
		mu           sync.Mutex
		attempts     map[string]observed
		violations   []string
		complete     int
		refused      int
		other        int
		takenUp      int      // streams that a caller took up again
		wentOn       int      // of these, those that went on
		otherSamples []string // the first maxOtherSamples of the other results, for debugging
	}

	// observed is the result of one attempt, as its caller received it.
	observed struct {
		status     int // 0 if there was no response
		complete   bool
		idempotent bool
		err        error
	}
)

// record stores the result of an attempt for verify and counts it, unless it failed
// because ctx ended at the end of the run.
func (v *tally) record(ctx context.Context, id string, s observed, complete bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	s.complete = complete
	v.attempts[id] = s
	switch {
	case complete:
		v.complete++
	case ctx.Err() != nil:
	case s.status == http.StatusServiceUnavailable || s.status == http.StatusPaymentRequired:
		v.refused++
	default:
		v.other++
		if len(v.otherSamples) < maxOtherSamples {
			v.otherSamples = append(v.otherSamples, fmt.Sprintf("%s: status %d, %v", id, s.status, s.err))
		}
	}
}

// reset sets the counters to 0, so that attempts made while the processes started
// are not counted. verify still checks these attempts.
func (v *tally) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.complete, v.refused, v.other, v.otherSamples = 0, 0, 0, nil
}

func (v *tally) addViolation(format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.violations = append(v.violations, fmt.Sprintf(format, args...))
}

func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		name := fmt.Sprintf("p%d-%d", c.id, n)
		c.program(ctx, name)
		if c.rnd.IntN(streamOdds) == 0 {
			c.stream(ctx, name+"-stream")
		}
		if !c.s.NoFaults && c.rnd.IntN(crashOdds) == 0 {
			c.crash(ctx, name+"-crash")
		}
	}
}

// program runs 3 to 14 turns, each with up to 5 tries and followed by a call. It
// returns early if the budget is spent, all tries of a turn failed or ctx ended.
func (c *caller) program(ctx context.Context, name string) {
	previous, conversation, spent := "", []byte(nil), 0
	for turn := range 3 + c.rnd.IntN(12) {
		subAgentTokens := c.startSubAgent(ctx, name, turn)
		for try := 0; ; try++ {
			id := fmt.Sprintf("%s-t%d-%d", name, turn, try)
			input := []byte(fmt.Sprintf("input of %s;", id))
			status, tokens, output, complete := c.turn(ctx, turnPath, name, id, previous, conversation, input)
			spent += tokens
			spent += subAgentTokens()
			if spent > budget+maxTurnTokens {
				c.s.observed.addViolation("%s: %d tokens handed out, budget %d", name, spent, budget)
			}
			if status == http.StatusNotFound && previous != "" {
				c.s.observed.addViolation("%s: no such turn as %s, which was answered whole", id, previous)
			}
			if complete {
				previous = id
				conversation = append(append(append([]byte(nil), conversation...), input...), output...)
				break
			}
			if status == http.StatusPaymentRequired || try == 4 || ctx.Err() != nil {
				return
			}
			pause.For(ctx, 150*time.Millisecond)
		}
		c.call(ctx, fmt.Sprintf("%s-c%d", name, turn), c.rnd.IntN(2) == 0)
	}
}

// startSubAgent runs a sub-agent concurrently with one turn in four. It spends
// from the program's budget, on the route whose streams can be resumed. The first
// call of the returned function waits for the sub-agent and returns its tokens;
// later calls return 0.
func (c *caller) startSubAgent(ctx context.Context, program string, turn int) (spent func() int) {
	if c.rnd.IntN(4) > 0 {
		return func() int { return 0 }
	}
	sub := &caller{s: c.s, rnd: rand.New(rand.NewPCG(c.rnd.Uint64(), 1)), id: c.id, front: -1, client: c.client}
	done := make(chan int, 1)
	input := []byte("help")
	if turn%2 == 0 {
		input = bytes.Repeat(input, longInput/len(input))
	}
	go func() {
		_, tokens, _, _ := sub.turn(ctx, resumePath, program, fmt.Sprintf("%s-h%d", program, turn), "", nil, input)
		done <- tokens
		close(done)
	}()
	return func() int { return <-done }
}

// turn sends one turn and verifies that the response is the upstream's stream or,
// if incomplete, a prefix of it.
func (c *caller) turn(ctx context.Context, path, program, id, previous string, conversation, input []byte) (status, tokens int, output []byte, complete bool) {
	h := http.Header{}
	h.Set("Program-Id", program)
	h.Set("Token-Budget", fmt.Sprint(budget))
	h.Set("Token-Usage", fmt.Sprintf("100,%d", maxTurnTokens))
	h.Set(upstrm.ExpectBody, upstrm.Digest(append(append([]byte(nil), conversation...), input...)))
	if previous != "" {
		h.Set("Previous-Turn", previous)
	}
	status, body, err := c.send(ctx, fmt.Sprintf("%sx?events=%d&wait=%d", path, turnEvents, c.longer.Milliseconds()), id, h, input)
	events := strings.Count(string(body), "\n\n")
	complete = status == http.StatusOK && err == nil
	want := ""
	for i := 1; i <= turnEvents; i++ {
		want += upstrm.EventText(id, i)
		output = append(append(output, upstrm.EventData(id, i)...), '\n')
	}
	if status == http.StatusOK {
		tokens = events * tokensPerEvent
		if complete && string(body) != want || !strings.HasPrefix(want, string(body)) {
			c.s.observed.addViolation("%s: a stream that is not the upstream's (whole %v): %.120q", id, complete, body)
		}
	}
	c.s.observed.record(ctx, id, observed{status: status, idempotent: path == resumePath, err: err}, complete)
	return status, tokens, output, complete
}

// call sends a call to the service plain and verifies the response if it is
// complete.
func (c *caller) call(ctx context.Context, id string, safe bool) {
	path := map[bool]string{true: "/safe/x", false: "/unsafe/x"}[safe]
	input := []byte("call")
	if c.calls++; c.calls%longCallEvery == 0 {
		input = bytes.Repeat(input, longInput/len(input))
	}
	h := http.Header{}
	h.Set(upstrm.ExpectBody, upstrm.Digest(input))
	status, body, err := c.send(ctx, path, id, h, input)
	complete := status == http.StatusOK && err == nil
	if complete && string(body) != "answer to "+id {
		c.s.observed.addViolation("%s: got %.100q", id, body)
	}
	c.s.observed.record(ctx, id, observed{status: status, idempotent: safe, err: err}, complete)
}

// send sends one attempt. It keeps using the same front, over a persistent
// connection, until an error; before one attempt in 20 it chooses a front anew.
func (c *caller) send(ctx context.Context, path, id string, h http.Header, body []byte) (status int, answer []byte, err error) {
	timeout := cmp.Or(c.timeout, attemptTimeout)
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	if c.front < 0 || c.rnd.IntN(20) == 0 {
		c.chooseFront(ctx)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.s.frontProxies[max(c.front, 0)].Address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.GetBody = nil // net/http must not retry the request
	r.Header = h
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	r.Host = host
	resp, err := c.client.Do(r)
	if err != nil {
		c.front = -1
		c.client.CloseIdleConnections()
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// chooseFront asks the directory of a random front and sets c.front to one of the
// fronts whose addresses it returns, or to a random front if the query fails.
func (c *caller) chooseFront(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	c.front = c.rnd.IntN(len(c.s.frontProxies))
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.s.directories[c.rnd.IntN(len(c.s.directories))]+"/-/resolve?name="+host, nil)
	if err != nil {
		return
	}
	resp, err := c.client.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	var a struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&a) != nil || len(a.Addresses) == 0 {
		return
	}
	want := a.Addresses[c.rnd.IntN(len(a.Addresses))]
	for i, p := range c.s.frontProxies {
		if p.Target == want {
			c.front = i
		}
	}
}
