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
	excerptSize = 24 // bytes of the last message that a stand-in engine repeats
	maxNotes    = 20
)

// answerForm is how a stand-in engine answers: its name, the request's name and
// an excerpt of the last message, then numbers that rise by one.
var answerForm = regexp.MustCompile(`^\S+ answers (\S+) to ("(?:[^"\\]|\\.)*"):`)

type (
	// check holds what was seen, to find answers that are mixed, lost or given
	// twice. Stand-ins answer with what they were asked, so every answer tells
	// whose it is.
	checker struct {
		mu           sync.Mutex
		requests     map[string]string // a request's name to the call that had it
		receipts     map[int]string    // a receipt's number to the call that had it
		serviceCalls int               // service calls, each counted once
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

// answer checks a model's answer: that it was asked by this call, that it is
// whole, and that no other call got it.
func (c *checker) checkAnswer(program string, number int, a client.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	name := callName(program, number)
	if !a.Whole {
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
	var asked string
	if json.Unmarshal([]byte(found[2]), &asked) != nil || !strings.HasPrefix(asked, head(marker(program, number))) {
		c.fault("%s: the answer is to %s", name, found[2])
	}
	c.checkNumbers(name, a.Text[len(found[0]):])
}

// checkShort checks an answer that was cut before its first number, which the
// bound on its tokens allows: it must still be a beginning.
func (c *checker) checkShort(name, want, text string) {
	if len(text) < excerptSize*bytesPerToken && strings.Contains(text, " answers ") {
		return
	}
	c.fault("%s: %q is no answer to %q", name, text[:min(len(text), 80)], want)
}

func head(s string) string { return s[:min(len(s), excerptSize)] }

// rest checks the numbers that follow; a piece that is missing, repeated or
// from another answer breaks their order.
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

// owner checks that a request's name belongs to the call, and that no other
// call was answered under it.
func (c *checker) checkOwner(program string, number int, request string) {
	name := callName(program, number)
	id, err := reqid.Parse(request)
	if err != nil || id.Root != reqid.Hash(program) || id.Number != number {
		c.fault("%s: got the answer of request %s", name, request)
		return
	}
	if other, ok := c.requests[request]; ok && other != name {
		c.fault("request %s answered %s and %s", request, other, name)
	}
	c.requests[request] = name
}

// sentService counts a call to a service, before it is first tried.
func (c *checker) countServiceCall(string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serviceCalls++
}

// receipt checks the answer of the stand-in ledger, which numbers what it
// executes.
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

// history compares what a program was told with what its history says.
func (c *checker) checkHistory(program string, texts []string, h hist.History) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.Program != program {
		c.fault("%s: got the history of %s", program, h.Program)
		return
	}
	calls := outcomes(h)
	if len(calls) != len(texts) {
		c.fault("%s: %d calls in the history of %d", program, len(calls), len(texts))
		return
	}
	for i, kept := range calls {
		if kept.Number != i {
			c.fault("%s: call %d stands at place %d", program, kept.Number, i)
		}
		if texts[i] != "" && string(kept.Result.Body) != texts[i] {
			c.fault("%s: the history of call %d is not what was answered", program, i)
		}
		if texts[i] == "" && kept.Result.Code == result.CodeOK {
			c.fault("%s: call %d is ok in the history, its caller was told that nobody knows", program, i)
		}
	}
}

// outcomes leaves out what a history tells of refusals that did not run and of
// attempts that a repeat of the call came after.
func outcomes(h hist.History) (calls []hist.Call) {
	for _, kept := range h.Calls {
		n := len(calls)
		switch {
		case kept.Result.Ran == result.No:
		case n > 0 && calls[n-1].Number == kept.Number && !calls[n-1].Result.OK():
			calls[n-1] = kept
		default:
			calls = append(calls, kept)
		}
	}
	return calls
}

// twice reports executions that no call accounts for, where this load alone
// used the ledger.
func (c *checker) extraExecutions() int {
	if c.minReceipt == 0 {
		return 0
	}
	return max(0, c.maxReceipt-c.minReceipt+1-c.serviceCalls)
}

// end makes the last checks.
func (c *checker) finish() (faults int, notes []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := c.extraExecutions(); n > 0 {
		c.fault("the ledger executed at least %d more calls than were made", n)
	}
	return c.faults, c.notes
}
