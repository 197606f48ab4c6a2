package memory

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	// minStill is how long a client must have moved nothing to speak of before it has to give way: others are
	// about to move.
	minStill = 200 * time.Millisecond
	// moveShare is the part of a long body that must arrive for its client to count as moving.
	moveShare = 16
	// servedWeight is how many times longer a client may be still that was answered before.
	servedWeight = 8
	// maxBodyWait is how long a long body waits for room. Callers give up a request that is not read within a second.
	maxBodyWait = 900 * time.Millisecond
	// retryShed is the pause before a long body that waits has others give way once more.
	retryShed = 50 * time.Millisecond
)

// What a client does, as far as its connection is concerned.
const (
	Idle      Stage = iota // between two requests, or before the first
	Head                   // a head has begun to arrive
	Body                   // a body is arriving
	Running                // its request is served
	Answering              // a write of the response waits until the client reads
)

var stageNames = [...]string{"idle", "head", "body", "running", "answering"}

type (
	// Stage is what a client does.
	Stage int

	// Client is what one connection has the VM hold. Set the exported fields, then call Enter.
	Client struct {
		Name string // for the log
		As   Kind   // Callers, Peers or Checks
		// End ends the connection, or the body that arrives, at once. It must not block or call the Budget.
		End func(Stage)

		budget *Budget
		held   [kinds]int64
		stage  Stage
		since  time.Time // when the client last moved something to speak of
		got    int64     // bytes of the body since then
		served bool      // a request was answered
		shed   bool      // it had to give way
		left   bool      // its connection is closed: work that goes on takes nothing more
	}
)

func (s Stage) String() string { return stageNames[s] }

// Enter lets a connection in that takes n bytes, if there is room or another one gives way. It reports whether
// it is in; if so, Leave must be called.
func (b *Budget) Enter(c *Client, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	c.budget, c.since = b, now
	if !b.makeRoom(now, c, c.As, 1) || !b.makeRoom(now, c, Requests, n) {
		return false
	}
	if b.clients == nil {
		b.clients = map[*Client]struct{}{}
	}
	b.clients[c] = struct{}{}
	c.add(c.As, 1)
	c.add(Requests, n)
	return true
}

// Leave returns all that the connection holds. It may be called more than once.
func (c *Client) Leave() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := range kinds {
		c.remove(k, c.held[k])
	}
	c.left = true
	delete(b.clients, c)
	b.notify()
}

// Grow takes n bytes of short requests, if there is room or others give way. It reports whether it did; if not,
// nothing may be held.
func (c *Client) Grow(n int64) bool {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.shed || !b.makeRoom(time.Now(), c, Requests, n) {
		return false
	}
	c.add(Requests, n)
	return true
}

// Force takes n bytes for what runs already, whether there is room or not.
func (c *Client) Force(k Kind, n int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.add(k, n)
}

// Give returns n bytes, no more than the connection holds.
func (c *Client) Give(k Kind, n int64) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.remove(k, min(n, c.held[k]))
	b.notify()
}

// WaitBody takes n bytes for a long body, for which it waits; others that move nothing give way. It fails with
// ErrNone if there is no room in time, or never is.
func (c *Client) WaitBody(ctx context.Context, n int64) error {
	if n > c.budget.MostBody() {
		c.budget.note(c, Bodies, n)
		return ErrNone
	}
	ctx, stop := context.WithTimeout(ctx, maxBodyWait)
	defer stop()
	for {
		changed, ok := c.tryBody(n)
		if ok {
			return nil
		}
		again := time.NewTimer(retryShed)
		select {
		case <-changed:
		case <-again.C:
		case <-ctx.Done():
			again.Stop()
			c.budget.note(c, Bodies, n)
			return ErrNone
		}
		again.Stop()
	}
}

// TakeResponse takes n bytes for a long response, at most Longest, once they are free; clients that do not read theirs
// give way. It fails with ErrNone if ctx ends before.
func (c *Client) TakeResponse(ctx context.Context, n int64) (err error) {
	b := c.budget
	if !b.semaphore().TryAcquire(n) {
		waiting, stop := context.WithCancel(ctx)
		go b.shedWhile(waiting, c, Responses, n)
		err = b.Take(ctx, n)
		stop()
	}
	if err == nil {
		c.Force(Responses, n)
	}
	return err
}

// GiveResponse returns n bytes that TakeResponse took.
func (c *Client) GiveResponse(n int64) {
	c.Give(Responses, n)
	c.budget.Return(n)
}

// shedWhile has clients give way again and again until ctx ends.
func (b *Budget) shedWhile(ctx context.Context, c *Client, k Kind, n int64) {
	for pause.For(ctx, retryShed) {
		b.mu.Lock()
		b.shedFor(time.Now(), c, k, n)
		b.mu.Unlock()
	}
}

// tryBody takes n bytes for a long body if they are free. Otherwise others are to give way, and changed is closed
// when something is returned.
func (c *Client) tryBody(n int64) (changed <-chan struct{}, ok bool) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	// What leaves is not free yet: a long body may take as much again. What one client takes alone always fits.
	if !c.shed && (b.used[Bodies] == c.held[Bodies] || b.used[Bodies]+n <= b.limit(Bodies)) {
		c.add(Bodies, n)
		c.since, c.got = time.Now(), 0 // it could not move before
		return nil, true
	}
	b.shedFor(time.Now(), c, Bodies, n)
	return b.wait(), false
}

// Move notes what the client does now. It reports whether the client may go on: one that had to give way may not.
func (c *Client) Move(s Stage) bool {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.shed {
		return false
	}
	c.served = c.served || s == Idle && c.stage >= Running
	if s != Head || c.stage != Head { // a head moves when it begins; the rest of it is to follow at once
		c.stage, c.since, c.got = s, time.Now(), 0
	}
	return true
}

// MostBody returns Budget.MostBody.
func (c *Client) MostBody() int64 { return c.budget.MostBody() }

// Receive notes that n bytes of the body of the given length have arrived. A client moves once it has sent a
// part of it, however it is split up.
func (c *Client) Receive(n int, length int64) {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.got += int64(n); c.got*moveShare >= length {
		c.since, c.got = time.Now(), 0
	}
}

// add and remove change what the client holds; the caller holds budget.mu.
func (c *Client) add(k Kind, n int64) {
	if c.left {
		return
	}
	c.held[k] += n
	c.budget.used[k] += n
	if c.shed {
		c.budget.leaving[k] += n
	}
}

func (c *Client) remove(k Kind, n int64) {
	c.held[k] -= n
	c.budget.used[k] -= n
	if c.shed {
		c.budget.leaving[k] -= n
	}
}

// makeRoom reports whether n more of a kind fit, after others have given way if need be. The caller holds b.mu.
func (b *Budget) makeRoom(now time.Time, c *Client, k Kind, n int64) bool {
	b.shedFor(now, c, k, n)
	if b.fits(k, n) {
		return true
	}
	b.noteLocked(now, c, k, n)
	return false
}

// shedFor has other clients give way until n more of a kind fit, none if that is not enough. The caller holds b.mu.
func (b *Budget) shedFor(now time.Time, c *Client, k Kind, n int64) {
	for !b.fits(k, n) {
		worst, sum := b.worst(now, c, k)
		if worst == nil || !b.fits(k, n-sum) {
			return
		}
		b.end(now, worst, k)
	}
}

// worst returns the client other than c that holds most of a kind and has moved least, nil if there is none but those
// whose requests run and those that have just moved, and how much all hold that may give way. The caller holds b.mu.
func (b *Budget) worst(now time.Time, c *Client, k Kind) (worst *Client, sum int64) {
	most := 0.0
	for other := range b.clients {
		still := now.Sub(other.since)
		if other == c || other.shed || other.stage == Running || still < minStill {
			continue
		}
		sum += other.held[k]
		cost := float64(other.held[k]) * still.Seconds()
		if other.served {
			cost /= servedWeight
		}
		if cost > most {
			worst, most = other, cost
		}
	}
	return worst, sum
}

// end has a client give way. The caller holds b.mu.
func (b *Budget) end(now time.Time, c *Client, k Kind) {
	c.shed = true
	for k := range kinds {
		b.leaving[k] += c.held[k]
	}
	c.End(c.stage)
	b.noteLocked(now, c, k, c.held[k])
}

func (b *Budget) note(c *Client, k Kind, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteLocked(time.Now(), c, k, n)
}

// noteLocked reports a client that had to give way or was not let in. The caller holds b.mu.
func (b *Budget) noteLocked(now time.Time, c *Client, k Kind, n int64) {
	if b.OnShed != nil {
		b.OnShed(Loss{Name: c.Name, In: c.shed, Kind: k, Held: n, Stage: c.stage, Still: now.Sub(c.since)})
	}
}
