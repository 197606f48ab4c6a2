package load

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/slaterock/slaterock/internal/edge/client"
	"github.com/slaterock/slaterock/internal/edge/reqid"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	excerptSize = 24 // bytes of the last message that a fake engine quotes
	maxNotes    = 20
)

// answerForm matches the start of a fake engine's answer: its name, the request
// id and a quoted excerpt of the last message. Consecutive numbers follow.
var answerForm = regexp.MustCompile(`^\S+ answers (\S+) to ("(?:[^"\\]|\\.)*"):`)

type (
	// checker verifies answers and detects mixed-up, lost and duplicate ones. The
	// answers of fake engines and services contain the request id, which
	// identifies the call.
	checker struct {
		mu           sync.Mutex
		requests     map[string]string // call by the request id in its answer
		receipts     map[int]string    // call by receipt number
		serviceCalls int               // each counted once, without retries
		minReceipt   int
		maxReceipt   int
		faults       int
		notes        []string
	}

	receipt struct {
		Request string `json:"request"`
		Path    string `json:"path"`
		Receipt int    `json:"receipt"`
	}
)

func (c *checker) init() {
	c.requests = map[string]string{}
	c.receipts = map[int]string{}
}

func hash(program string) uint64 { return xxhash.Sum64String(program) }

func callName(program string, number int) string { return fmt.Sprintf("%s call %d", program, number) }

func (c *checker) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

func (c *checker) fault(format string, args ...any) {
	c.faults++
	if len(c.notes) < maxNotes {
		c.notes = append(c.notes, fmt.Sprintf(format, args...))
	}
}

// checkAnswer verifies that a model's answer belongs to this call, is complete and
// was not returned to another call.
func (c *checker) checkAnswer(program string, number int, a client.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := callName(program, number)
	if !a.Complete {
		c.fault("%s: the answer has no end, and no error said so", name)
		return
	}
	if a.Output > 0 && len(a.Text) != a.Output*bytesPerToken {
		c.fault("%s: %d bytes for %d tokens", name, len(a.Text), a.Output)
	}
	found := answerForm.FindStringSubmatch(a.Text)
	if found == nil {
		c.checkShort(name, marker(program, number), a.Text)
		return
	}
	c.checkOwner(program, number, found[1])
	var quoted string
	if json.Unmarshal([]byte(found[2]), &quoted) != nil || !strings.HasPrefix(quoted, excerpt(marker(program, number))) {
		c.fault("%s: the answer is to %s", name, found[2])
	}
	c.checkNumbers(name, a.Text[len(found[0]):])
}

// checkShort verifies an answer that the token limit truncated within its opening
// (engine name, request id and quote): it must have fewer than
// excerptSize*bytesPerToken bytes and contain " answers ".
func (c *checker) checkShort(name, want, text string) {
	if len(text) < excerptSize*bytesPerToken && strings.Contains(text, " answers ") {
		return
	}
	c.fault("%s: %q is no answer to %q", name, text[:min(len(text), 80)], want)
}

func excerpt(s string) string { return s[:min(len(s), excerptSize)] }

// checkNumbers verifies the sequence of numbers that follows the start of an
// answer. A piece that is missing, repeated or from another answer breaks it.
func (c *checker) checkNumbers(name, text string) {
	for i := 0; text != ""; i++ {
		want := fmt.Sprintf(" %03d", i%1000)
		n := min(len(want), len(text))
		if text[:n] != want[:n] {
			c.fault("%s: %q where %q was due, at number %d", name, text[:n], want, i)
			return
		}
		text = text[n:]
	}
}

// checkOwner verifies that the request id belongs to the call and that no other
// call was answered under it. c.mu must be held.
func (c *checker) checkOwner(program string, number int, request string) {
	name := callName(program, number)
	id, err := reqid.Parse(request)
	if err != nil || id.RootHash != reqid.Hash(program) || id.Number != number {
		c.fault("%s: got the answer of request %s", name, request)
		return
	}
	if other, ok := c.requests[request]; ok && other != name {
		c.fault("request %s answered %s and %s", request, other, name)
	}
	c.requests[request] = name
}

// countServiceCall counts a service call, before its first attempt.
func (c *checker) countServiceCall(string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serviceCalls++
}

// receipt verifies the answer of the fake ledger service, which numbers its
// executions.
func (c *checker) receipt(program string, number int, service, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := callName(program, number)
	var r receipt
	if json.Unmarshal([]byte(text), &r) != nil || r.Receipt == 0 {
		c.fault("%s: %q is no receipt", name, text[:min(len(text), 80)])
		return
	}
	if _, path, _ := strings.Cut(service, "/"); r.Path != "/"+path {
		c.fault("%s: a receipt for %s", name, r.Path)
	}
	c.checkOwner(program, number, r.Request)
	if other, ok := c.receipts[r.Receipt]; ok && other != name {
		c.fault("receipt %d went to %s and %s", r.Receipt, other, name)
	}
	c.receipts[r.Receipt] = name
	if c.minReceipt == 0 || r.Receipt < c.minReceipt {
		c.minReceipt = r.Receipt
	}
	c.maxReceipt = max(c.maxReceipt, r.Receipt)
}

// checkHistory compares the answers that a program received with its history. An
// empty text is a call whose outcome is unknown.
func (c *checker) checkHistory(program string, answers []string, h hist.History) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.Program != program {
		c.fault("%s: got the history of %s", program, h.Program)
		return
	}
	calls := outcomes(h)
	if len(calls) != len(answers) {
		c.fault("%s: %d calls in the history of %d", program, len(calls), len(answers))
		return
	}
	for i, recorded := range calls {
		if recorded.Number != i {
			c.fault("%s: call %d stands at place %d", program, recorded.Number, i)
		}
		if answers[i] != "" && string(recorded.Result.Body) != answers[i] {
			c.fault("%s: the history of call %d is not what was answered", program, i)
		}
		if answers[i] == "" && recorded.Result.Code == result.CodeOK {
			c.fault("%s: call %d is ok in the history, its caller was told that nobody knows", program, i)
		}
	}
}

// outcomes returns the calls of the history without refusals that did not run and
// without failures that a repeat of the same call superseded.
func outcomes(h hist.History) (calls []hist.Call) {
	for _, recorded := range h.Calls {
		n := len(calls)
		switch {
		case recorded.Result.Ran == result.No:
		case n > 0 && calls[n-1].Number == recorded.Number && !calls[n-1].Result.OK():
			calls[n-1] = recorded
		default:
			calls = append(calls, recorded)
		}
	}
	return calls
}

// extraExecutions returns the minimum number of executions beyond the service
// calls made. It assumes that no other client uses the ledger.
func (c *checker) extraExecutions() int {
	if c.minReceipt == 0 {
		return 0
	}
	return max(0, c.maxReceipt-c.minReceipt+1-c.serviceCalls)
}

// finish makes the final checks and returns the number of faults and the notes.
func (c *checker) finish() (faults int, notes []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.extraExecutions(); n > 0 {
		c.fault("the ledger executed at least %d more calls than were made", n)
	}
	return c.faults, c.notes
}
