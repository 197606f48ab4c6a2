package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/edge/client"
	"github.com/slaterock/slaterock/internal/prog/call"
)

const (
	maxAttempts  = 8
	callTimeout  = 5 * time.Minute
	compareOneIn = 10 // the history of 1 in compareOneIn programs is checked
	directOneIn  = 3  // 1 in directOneIn root programs is paired with a direct call
)

type (
	// driver runs one program as a caller does.
	driver struct {
		gen     *Generator
		due     time.Time
		entries entries
		paused  time.Duration // the program's own pauses
		answers []string      // answers by call number; empty for unknown outcomes
	}

	// conversation is the message history of a program.
	conversation struct {
		messages         []client.Message
		prevPromptTokens int // prompt tokens of the previous turn
	}
)

// run runs a root program and records its result.
func (d *driver) run(ctx context.Context, p plan) {
	d.entries = entries{gen: d.gen}
	err := d.program(ctx, p)
	d.gen.tally.finish(time.Since(d.due), time.Since(d.due)-d.paused, err)
}

func (d *driver) program(ctx context.Context, p plan) error {
	err := d.retry(ctx, p.Name, func(c client.Client) error {
		return c.Open(ctx, call.Open{Program: p.Name, Agent: p.Agent, Parent: p.Parent})
	})
	if err != nil {
		return err
	}
	if d.isPaired(p) {
		p.Context = uncachedContext(p.Name, len(p.Context))
	}
	conv := conversation{messages: []client.Message{{Role: "system", Content: p.Context}}}
	number := 0
	for _, s := range p.Steps {
		if err = d.pause(ctx, s.Pause); err != nil {
			return err
		}
		switch s.Kind {
		case modelStep:
			err = d.model(ctx, p, s, number, &conv)
			number++
		case serviceStep:
			err = d.service(ctx, p, s, number, &conv)
			number++
		case subStep:
			err = d.sub(ctx, *s.Sub)
		}
		if err != nil {
			return err
		}
	}
	err = d.retry(ctx, p.Name, func(c client.Client) error { return c.End(ctx, p.Name, call.Finish) })
	if err != nil {
		return err
	}
	return d.compare(ctx, p)
}

func (d *driver) sub(ctx context.Context, p plan) error {
	child := &driver{gen: d.gen, entries: entries{gen: d.gen}}
	err := child.program(ctx, p)
	d.paused += child.paused
	return err
}

func (d *driver) pause(ctx context.Context, length time.Duration) error {
	length = d.gen.scaled(length)
	d.paused += length
	return sleep(ctx, length)
}

// model makes one model call and adds it to the conversation.
func (d *driver) model(ctx context.Context, p plan, s step, number int, conv *conversation) error {
	m := marker(p.Name, number)
	conv.messages = append(conv.messages, client.Message{Role: "user", Content: m + s.Text})
	paired := number == 0 && d.isPaired(p)
	if paired {
		d.direct(ctx, p, s)
	}
	var a client.Answer
	err := d.retry(ctx, p.Name, func(c client.Client) (err error) {
		watch := stopwatch{start: time.Now()}
		a, err = c.Chat(ctx, p.Name, number, s.Output, conv.messages, watch.piece)
		if err == nil {
			d.gen.tally.recordStream(watch, paired)
		}
		return err
	})
	if err != nil {
		return err
	}
	d.gen.checker.checkAnswer(p.Name, number, a)
	d.gen.tally.model(a, conv.prevPromptTokens)
	conv.prevPromptTokens = a.Prompt
	conv.messages = append(conv.messages, client.Message{Role: "assistant", Content: a.Text})
	d.answers = append(d.answers, a.Text)
	return nil
}

// service makes one call to a plain service. A call with an unknown outcome is not
// an error of the program, which continues with its next step.
func (d *driver) service(ctx context.Context, p plan, s step, number int, conv *conversation) error {
	var a client.Answer
	d.gen.checker.countServiceCall(s.Service)
	err := d.retry(ctx, p.Name, func(c client.Client) (err error) {
		a, err = c.Service(ctx, p.Name, number, s.Service, []byte(s.Text))
		return err
	})
	var lost *callError
	if errors.As(err, &lost) && lost.unknown() {
		d.answers = append(d.answers, "")
		return nil
	}
	if err != nil {
		return err
	}
	d.gen.checker.receipt(p.Name, number, s.Service, a.Text)
	d.gen.tally.service()
	conv.messages = append(conv.messages, client.Message{Role: "tool", Content: a.Text})
	d.answers = append(d.answers, a.Text)
	return nil
}

// compare checks the history of one in compareOneIn programs.
func (d *driver) compare(ctx context.Context, p plan) error {
	if hash(p.Name)%compareOneIn != 0 {
		return nil
	}
	return d.retry(ctx, p.Name, func(c client.Client) error {
		h, err := c.History(ctx, p.Name)
		if err == nil {
			d.gen.checker.checkHistory(p.Name, d.answers, h)
		}
		return err
	})
}

// retry calls do until it succeeds, fails with an error that must not be retried,
// or maxAttempts is reached. Retries are safe: a call keeps its number, so a retry
// joins the running call or returns the recorded outcome; opening and ending a
// program and reading its history can be repeated. Each attempt uses the next
// address.
func (d *driver) retry(ctx context.Context, program string, do func(client.Client) error) (err error) {
	for try := range maxAttempts {
		if try > 0 {
			d.gen.tally.countRetry()
		}
		err = parseError(do(client.Client{Address: d.entries.next(ctx, program, try), Key: d.gen.Key}))
		var r *callError
		if err == nil {
			return nil
		}
		if errors.As(err, &r) {
			d.gen.tally.countRefusal(r.code)
			if !r.retryable() {
				return err
			}
		}
		if err := sleep(ctx, r.retryDelay(d.gen.RetryDelay)); err != nil {
			return err
		}
	}
	return errors.Wrapf(err, "gave up after %d attempts", maxAttempts)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// marker returns the start of a call's new message, which fake engines quote in
// their answers.
func marker(program string, number int) string {
	return fmt.Sprintf("%s#%d ", program, number)
}

// entries caches the daemon addresses that the system returned for a program.
type entries struct {
	gen       *Generator
	mu        sync.Mutex
	addresses []string
	expires   time.Time
}

// next returns the preferred address, and on retries the following ones. The
// addresses are refreshed when they have expired and before each retry; without
// any, it returns a random one of Generator.Addresses.
func (e *entries) next(ctx context.Context, program string, try int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().After(e.expires) || try > 0 {
		e.refresh(ctx, program, try)
	}
	if len(e.addresses) == 0 {
		return e.gen.Addresses[rand.IntN(len(e.gen.Addresses))]
	}
	return e.addresses[try%len(e.addresses)]
}

func (e *entries) refresh(ctx context.Context, program string, try int) {
	var answer struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
		TTLSeconds int `json:"ttl_seconds"`
	}
	from := e.gen.Addresses[(int(hash(program)%uint64(len(e.gen.Addresses)))+try)%len(e.gen.Addresses)]
	c := client.Client{Address: from, Key: e.gen.Key}
	if c.JSON(ctx, "GET", "/v1/entries?program="+program, nil, &answer) != nil {
		return
	}
	e.addresses = nil
	for _, entry := range answer.Entries {
		e.addresses = append(e.addresses, entry.Address)
	}
	e.expires = time.Now().Add(time.Duration(answer.TTLSeconds) * time.Second)
}
