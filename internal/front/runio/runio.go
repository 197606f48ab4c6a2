// Package runio tells other fronts what a request did at upstreams, and asks them for what its other attempts
// did.
//
// The runs of a request are kept by three fronts (package owners). An attempt tells them before each run and
// after it, and learns from the answers what other attempts did. Two of the three have to answer, so of two
// attempts that come one after the other the second learns of the first whichever of the three is missing. A
// front that has started lately has forgotten what was told before; it takes what it is told, but does not
// count as one that knows.
//
// Questions and answers are single datagrams. A front talks to all others, a few times a second to each; a
// connection to each would cost more memory than the runs.
package runio

import (
	"context"
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/front/owners"
	"github.com/slaterock/slaterock/internal/front/runlog"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	// answerTimeout is how long the answers of other fronts are waited for: a datagram takes a few milliseconds
	// within a region, and one that is lost is sent again.
	answerTimeout = 100 * time.Millisecond
	// firstResend is the pause before a datagram is sent again, doubled each time.
	firstResend = 10 * time.Millisecond
	// settleTimeout bounds how long other fronts are told of an attempt that is over.
	settleTimeout = time.Second
	// tellPause is the pause before other fronts are told again of an attempt that is over.
	tellPause = 50 * time.Millisecond
	// silentSpan is how long a front that did not answer is not asked again.
	silentSpan = time.Second
	// knowsAfter is how long a front must have kept runs to count as one that knows: longer than callers come back.
	knowsAfter = 15 * time.Second
)

type (
	// Exchange tells and asks other fronts. Set the exported fields before use.
	Exchange struct {
		Self    string    // address for other fronts
		Started time.Time // of this front
		Table   runlog.Table
		// Listed are the fronts, this one included; the list must not be changed.
		Listed func() []owners.Owner
		// Heard reports whether a front is alive, as far as this one has heard; others are not waited for.
		Heard func(node string) bool
		// AllHeard reports whether that holds for all listed fronts.
		AllHeard func() bool
		// Send sends a datagram. It may be lost.
		Send func(address string, data []byte)

		owners    owners.Table
		mu        sync.Mutex
		questions map[uint64]*question
		lastSeq   uint64
		silent    map[string]time.Time // addresses of fronts that did not answer, by when they were asked
	}

	// Answer is what other fronts say of a request.
	Answer struct {
		Runs []index.Run // of its attempts, those of this front included
		// Complete reports that as many fronts answered that know of the runs as have to.
		Complete bool
		// Told reports that as many fronts know of this attempt now as have to, also if they know of no other.
		Told bool
		// Forgotten reports that none of the fronts which answered knows: all have started lately.
		Forgotten bool
		// Doubt reports that some front is not heard of: it may have runs of which the others don't know.
		Doubt bool
	}

	// Fate is what became of an attempt, as its front says.
	Fate int
)

// What became of an attempt.
const (
	Lost      Fate = iota // its front has started again, or does not answer
	UnderWay              // it has not ended
	Over                  // it has ended, with a whole good answer or with the runs that are returned
	Undecided             // it states no front
)

// Front returns what identifies this start of the front (index.Run.Front).
func (x *Exchange) Front() string { return x.Self + "/" + strconv.FormatInt(x.Started.UnixMilli(), 36) }

// addressOf returns the address of a front for others.
func addressOf(front string) string {
	address, _, _ := strings.Cut(front, "/")
	return address
}

// Tell tells the fronts that keep the request's runs what is known of an attempt, and returns what they know of
// the others.
func (x *Exchange) Tell(ctx context.Context, key uint64, run index.Run) Answer {
	now := time.Now()
	x.Table.Add(now, key, run)
	list := x.owners.Of(now, x.Listed(), key)
	q := question{key: key, need: len(list)/2 + 1, resend: firstResend}
	for _, o := range list {
		if o.Address == x.Self {
			q.take(reply{Kept: x.Table.Complete(now).Milliseconds(), Runs: x.Table.Runs(now, key)})
			continue
		}
		heard := !o.HasLeft() && x.Heard(o.Node)
		if heard && !x.isSilent(now, o.Address) {
			q.waitFor(o.Address)
			continue
		}
		q.doubt = q.doubt || !heard
		if !o.HasLeft() {
			q.others = append(q.others, o.Address) // it may answer all the same, and is to know
		}
	}
	q.doubt = q.doubt || len(list) == 0 || !x.AllHeard()
	x.ask(ctx, &q, packet{Key: key, Run: &run})
	if !q.decided() {
		x.noteSilent(now, q.pending)
	}
	return q.answer()
}

// Over tells the fronts that keep the request's runs that an attempt is over. It does not wait.
func (x *Exchange) Over(ctx context.Context, key uint64, run index.Run) {
	now := time.Now()
	x.Table.Add(now, key, run)
	if run.HasFailed() {
		go func() {
			limited, stop := context.WithTimeout(ctx, settleTimeout)
			defer stop()
			for !x.Tell(limited, key, run).Told && pause.For(limited, tellPause) {
				continue
			}
		}()
		return
	}
	data, err := encode(packet{Key: key, Run: &run})
	if err != nil {
		return // it is kept as under way until it expires, and this front tells otherwise when asked
	}
	for _, o := range x.owners.Of(now, x.Listed(), key) {
		if o.Address != x.Self && !o.HasLeft() {
			x.Send(o.Address, data)
		}
	}
}

// Fates asks the fronts of attempts of a request what became of them. The runs that it returns are those of which
// these fronts know.
func (x *Exchange) Fates(ctx context.Context, key uint64, attempts []index.Run) (fates map[string]Fate, runs []index.Run) {
	answers := x.askFronts(ctx, key, attempts)
	fates = map[string]Fate{}
	for _, a := range attempts {
		if a.Front == "" {
			fates[a.Attempt] = Undecided
			continue
		}
		got, answered := answers[a.Front]
		if !answered {
			fates[a.Attempt] = Lost
			continue
		}
		fates[a.Attempt] = Over
		for _, r := range got {
			if r.Attempt != a.Attempt {
				continue
			}
			if runs = append(runs, r); r.IsUnderWay() {
				fates[a.Attempt] = UnderWay
			}
		}
	}
	return fates, runs
}

// askFronts returns the runs of which the fronts of attempts know, by front. One that has started again since, or
// is silent, has no answer.
func (x *Exchange) askFronts(ctx context.Context, key uint64, attempts []index.Run) map[string][]index.Run {
	now := time.Now()
	answers := map[string][]index.Run{}
	q := question{key: key, resend: firstResend}
	for _, a := range attempts {
		_, known := answers[a.Front]
		switch {
		case known:
		case a.Front == x.Front():
			answers[a.Front] = x.Table.Runs(now, key)
		case a.Front != "" && addressOf(a.Front) != x.Self && !x.isSilent(now, addressOf(a.Front)):
			q.waitFor(addressOf(a.Front))
		}
	}
	q.need = len(q.pending)
	x.ask(ctx, &q, packet{Key: key})
	for _, r := range q.replies {
		answers[r.Front] = r.Runs
	}
	x.noteSilent(now, q.pending)
	return answers
}

func (x *Exchange) isSilent(now time.Time, address string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	at, found := x.silent[address]
	return found && now.Sub(at) <= silentSpan
}

// noteSilent notes fronts that did not answer when they were asked.
func (x *Exchange) noteSilent(asked time.Time, addresses []string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	maps.DeleteFunc(x.silent, func(_ string, at time.Time) bool { return asked.Sub(at) > silentSpan })
	if x.silent == nil {
		x.silent = map[string]time.Time{}
	}
	for _, address := range addresses {
		x.silent[address] = asked
	}
}

// ask sends a question until it is decided, or nobody waits for it any more.
func (x *Exchange) ask(ctx context.Context, q *question, p packet) {
	if q.decided() && len(q.pending)+len(q.others) == 0 {
		return
	}
	q.changed = make(chan struct{}, 1)
	p.Seq = x.register(q)
	defer x.forget(p.Seq)
	data, err := encode(p)
	if err != nil {
		return
	}
	ctx, stop := context.WithTimeout(ctx, answerTimeout)
	defer stop()
	x.send(q, data)
	again := time.NewTimer(q.resend)
	defer again.Stop()
	for !x.decided(q) {
		select {
		case <-q.changed:
		case <-again.C:
			x.send(q, data)
			q.resend *= 2
			again.Reset(q.resend)
		case <-ctx.Done():
			return
		}
	}
}

func (x *Exchange) send(q *question, data []byte) {
	x.mu.Lock()
	to := q.unanswered()
	x.mu.Unlock()
	for _, address := range to {
		x.Send(address, data)
	}
}

func (x *Exchange) register(q *question) (seq uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.questions == nil {
		x.questions = map[uint64]*question{}
	}
	x.lastSeq++
	x.questions[x.lastSeq] = q
	return x.lastSeq
}

func (x *Exchange) forget(seq uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.questions, seq)
}

func (x *Exchange) decided(q *question) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return q.decided()
}

// Receive takes a datagram of another front, and returns the one to send back; nil for none.
func (x *Exchange) Receive(now time.Time, data []byte) (back []byte) {
	p, err := decode(data)
	if err != nil {
		return nil // foreign or damaged
	}
	if p.Reply != nil {
		x.receiveReply(p)
		return nil
	}
	if p.Run != nil {
		x.Table.Add(now, p.Key, *p.Run)
	}
	if p.Seq == 0 {
		return nil
	}
	r := reply{Front: x.Front(), Kept: x.Table.Complete(now).Milliseconds(), Runs: x.Table.Runs(now, p.Key)}
	back, err = encode(packet{Seq: p.Seq, Key: p.Key, Reply: &r})
	if err != nil {
		return nil // the other front treats this one as silent
	}
	return back
}

func (x *Exchange) receiveReply(p packet) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.silent, addressOf(p.Reply.Front))
	q := x.questions[p.Seq]
	if q == nil || q.key != p.Key || !q.receive(*p.Reply) {
		return // late, or to a question of an earlier start of this front
	}
	select {
	case q.changed <- struct{}{}:
	default:
	}
}
