package chaos

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/slaterock/slaterock/internal/fake/upstrm"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	// streamAttempts is the number of attempts of a caller at one stream.
	streamAttempts = 4
	// One program in streamOdds is followed by such a stream.
	streamOdds = 2
)

// stream reads one stream, which it takes up again at another front after each interruption, and
// verifies that it is one stream of one version. A whole one is continued by another turn, for which
// its output must have been stored as a whole.
func (c *caller) stream(ctx context.Context, name string) {
	var events, version, first, whole string
	next := 1
	for try := range streamAttempts {
		id := fmt.Sprintf("%s-s%d", name, try)
		h := turnHeader(name)
		h.Set(upstrm.Stream, name)
		if next > 1 {
			h.Set("Last-Event-Id", fmt.Sprint(next-1))
			h.Set("Resumes", first)
		}
		c.front = -1
		status, body, err := c.send(ctx, fmt.Sprintf("%sx?events=%d", storedPath, turnEvents), id, h, []byte(name))
		complete := status == http.StatusOK && err == nil
		c.s.observed.record(ctx, id, observed{status: status, idempotent: true, err: err}, complete)
		if status == http.StatusOK && len(body) > 0 {
			if first == "" {
				first = id
				version, _, _ = strings.Cut(strings.TrimPrefix(string(body), "event: "), "\n")
			} else {
				c.s.observed.countStream(true)
			}
			events += string(body)
		} else if first != "" {
			c.s.observed.countStream(false)
		}
		next = strings.Count(events, "\n\n") + 1
		if complete {
			whole = id
		}
		if complete || ctx.Err() != nil {
			break
		}
		pause.For(ctx, 50*time.Millisecond)
	}
	want := ""
	for i := 1; i < next; i++ {
		want += "event: " + version + "\n" + upstrm.EventText(name, i)
	}
	if events != want {
		c.s.observed.addViolation("%s: parts of two streams or versions: %.400q", name, events)
	}
	if whole != "" {
		c.continueStream(ctx, name, whole, next-1)
	}
}

// continueStream sends the turn that continues a whole stream of n events.
func (c *caller) continueStream(ctx context.Context, name, previous string, n int) {
	id := name + "-n"
	input := []byte("after " + name)
	body := []byte(name)
	for i := 1; i <= n; i++ {
		body = append(append(body, upstrm.EventData(name, i)...), '\n')
	}
	h := turnHeader(name)
	h.Set(upstrm.Stream, id)
	h.Set("Previous-Turn", previous)
	h.Set(upstrm.ExpectBody, upstrm.Digest(append(body, input...)))
	status, _, err := c.send(ctx, fmt.Sprintf("%sx?events=%d", storedPath, turnEvents), id, h, input)
	if status == http.StatusNotFound {
		c.s.observed.addViolation("%s: no such turn as %s, which was answered whole", id, previous)
	}
	c.s.observed.record(ctx, id, observed{status: status, idempotent: true, err: err}, status == http.StatusOK && err == nil)
}

func turnHeader(program string) http.Header {
	h := http.Header{}
	h.Set("Program-Id", program)
	h.Set("Token-Budget", fmt.Sprint(10*budget))
	h.Set("Token-Usage", fmt.Sprintf("100,%d", maxTurnTokens))
	return h
}

// countStream counts a stream that its caller took up again, and whether it went on.
func (v *tally) countStream(wentOn bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.takenUp++
	if wentOn {
		v.wentOn++
	}
}
