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
	maxTries     = 8
	callTimeout  = 5 * time.Minute
	compareOneIn = 10 // programs whose history is read at their end
	directOneIn  = 3  // programs whose first prompt also goes to an engine
)

type (
	// drive runs one program as its caller would.
	drive struct {
		load    *Load
		due     time.Time
		entries entries
		paused  time.Duration // that the program itself wanted
		texts   []string      // of its calls, by number; empty for refused ones
	}

	// conversation is what a program and its model said so far.
	conversation struct {
		messages []client.Message
		sent     int // prompt tokens that an earlier turn had sent
	}
)

// run runs a root program and counts it.
func (d *drive) run(ctx context.Context, p plan) {
	d.entries = entries{load: d.load}
	err := d.program(ctx, p)
	d.load.tally.finish(time.Since(d.due), time.Since(d.due)-d.paused, err)
}

func (d *drive) program(ctx context.Context, p plan) error {
	err := d.retry(ctx, p.Name, func(c client.Client) error {
		return c.Open(ctx, call.Open{Program: p.Name, Agent: p.Agent, Parent: p.Parent})
	})
	if err != nil {
		return err
	}
	if d.pairs(p) {
		p.Context = fresh(p.Name, len(p.Context))
	}
	talk := conversation{messages: []client.Message{{Role: "system", Content: p.Context}}}
	number := 0
	for _, s := range p.Steps {
		if err = d.pause(ctx, s.Pause); err != nil {
			return err
		}
		switch s.Kind {
		case modelStep:
			err = d.model(ctx, p, s, number, &talk)
			number++
		case serviceStep:
			err = d.service(ctx, p, s, number, &talk)
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

func (d *drive) sub(ctx context.Context, p plan) error {
	child := &drive{load: d.load, entries: entries{load: d.load}}
	err := child.program(ctx, p)
	d.paused += child.paused
	return err
}

func (d *drive) pause(ctx context.Context, length time.Duration) error {
	length = d.load.scaled(length)
	d.paused += length
	return sleep(ctx, length)
}

// model makes one model call and adds it to the conversation.
func (d *drive) model(ctx context.Context, p plan, s step, number int, talk *conversation) error {
	m := marker(p.Name, number)
	talk.messages = append(talk.messages, client.Message{Role: "user", Content: m + s.Text})
	paired := number == 0 && d.pairs(p)
	if paired {
		d.direct(ctx, p, s)
	}
	var a client.Answer
	err := d.retry(ctx, p.Name, func(c client.Client) (err error) {
		watch := stopwatch{start: time.Now()}
		a, err = c.Chat(ctx, p.Name, number, s.Output, talk.messages, watch.piece)
		if err == nil {
			d.load.tally.times(watch, paired)
		}
		return err
	})
	if err != nil {
		return err
	}
	d.load.check.answer(p.Name, number, a)
	d.load.tally.model(a, talk.sent)
	talk.sent = a.Prompt
	talk.messages = append(talk.messages, client.Message{Role: "assistant", Content: a.Text})
	d.texts = append(d.texts, a.Text)
	return nil
}

// service makes one call to a plain service. One that may have run and whose
// outcome is lost is not an error of the program: its agent goes on.
func (d *drive) service(ctx context.Context, p plan, s step, number int, talk *conversation) error {
	var a client.Answer
	d.load.check.sentService(s.Service)
	err := d.retry(ctx, p.Name, func(c client.Client) (err error) {
		a, err = c.Service(ctx, p.Name, number, s.Service, []byte(s.Text))
		return err
	})
	var lost *refusal
	if errors.As(err, &lost) && lost.unknown() {
		d.texts = append(d.texts, "")
		return nil
	}
	if err != nil {
		return err
	}
	d.load.check.receipt(p.Name, number, s.Service, a.Text)
	d.load.tally.service()
	talk.messages = append(talk.messages, client.Message{Role: "tool", Content: a.Text})
	d.texts = append(d.texts, a.Text)
	return nil
}

// compare reads the history of some programs at their end.
func (d *drive) compare(ctx context.Context, p plan) error {
	if hash(p.Name)%compareOneIn != 0 {
		return nil
	}
	return d.retry(ctx, p.Name, func(c client.Client) error {
		h, err := c.History(ctx, p.Name)
		if err == nil {
			d.load.check.history(p.Name, d.texts, h)
		}
		return err
	})
}

// retry asks until there is an answer, as the system says that callers may: a
// repeat carries the same call number, so it joins or returns the recorded
// outcome. Each try goes to the next address.
func (d *drive) retry(ctx context.Context, program string, ask func(client.Client) error) (err error) {
	for try := range maxTries {
		if try > 0 {
			d.load.tally.repeat()
		}
		err = refused(ask(client.Client{Address: d.entries.next(ctx, program, try), Key: d.load.Key}))
		var r *refusal
		if err == nil {
			return nil
		}
		if errors.As(err, &r) {
			d.load.tally.refuse(r.code)
			if !r.again() {
				return err
			}
		}
		if err := sleep(ctx, r.wait(d.load.Wait)); err != nil {
			return err
		}
	}
	return errors.Wrapf(err, "given up after %d tries", maxTries)
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

// marker begins the new message of a call; stand-in engines repeat it.
func marker(program string, number int) string {
	return fmt.Sprintf("%s#%d ", program, number)
}

// entries are the addresses that the system told this program to use.
type entries struct {
	load  *Load
	mu    sync.Mutex
	known []string
	until time.Time
}

// next returns the best address, or on later tries the ones after it. What the
// system said is asked anew when its time is over or a try failed.
func (e *entries) next(ctx context.Context, program string, try int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().After(e.until) || try > 0 {
		e.ask(ctx, program, try)
	}
	if len(e.known) == 0 {
		return e.load.Entry[rand.IntN(len(e.load.Entry))]
	}
	return e.known[try%len(e.known)]
}

func (e *entries) ask(ctx context.Context, program string, try int) {
	var told struct {
		Entries []struct {
			Address string `json:"address"`
		} `json:"entries"`
		TTLSeconds int `json:"ttl_seconds"`
	}
	from := e.load.Entry[(int(hash(program)%uint64(len(e.load.Entry)))+try)%len(e.load.Entry)]
	c := client.Client{Address: from, Key: e.load.Key}
	if c.JSON(ctx, "GET", "/v1/entries?program="+program, nil, &told) != nil {
		return
	}
	e.known = nil
	for _, entry := range told.Entries {
		e.known = append(e.known, entry.Address)
	}
	e.until = time.Now().Add(time.Duration(told.TTLSeconds) * time.Second)
}
