package quorum

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/recsrv"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/peer/link"
)

// queues are places that do one thing after the other, each in some time.
type serialReplicas struct {
	mu           sync.Mutex
	serviceTime  time.Duration
	serviceTimes map[string]time.Duration // places with a time of their own
	busyUntil    map[string]time.Time
	served       int
}

// place is the way to one of them.
type serialConn struct {
	s       *serialReplicas
	address string
}

func (c serialConn) Invoke(ctx context.Context, _ string, _, out any) error {
	c.s.mu.Lock()
	serviceTime, ok := c.s.serviceTimes[c.address]
	if !ok {
		serviceTime = c.s.serviceTime
	}
	c.s.served++
	end := c.s.busyUntil[c.address]
	if now := time.Now(); end.Before(now) {
		end = now
	}
	end = end.Add(serviceTime)
	c.s.busyUntil[c.address] = end
	c.s.mu.Unlock()
	select {
	case <-time.After(time.Until(end)):
	case <-ctx.Done():
		return ctx.Err()
	}
	data, err := cbor.Marshal(recsrv.WriteReply{})
	*out.(*link.Raw) = data
	return err
}

// client writes to five places, of which two may be lost.
func (s *serialReplicas) client() *Client {
	r := roster.Roster{Version: 1, MaxFailures: 2}
	for i := range 5 {
		name := fmt.Sprint("n", i)
		r.Replicas = append(r.Replicas, roster.Replica{Node: name, Address: name, DiskID: name})
	}
	return &Client{
		Peer:   func(address string) link.Invoker { return serialConn{s, address} },
		Roster: func() roster.Roster { return r },
	}
}

// play writes records at a rate and returns how many became durable in time.
func (s *serialReplicas) send(c *Client, perSecond int, duration time.Duration) (inTime, all int) {
	var mu sync.Mutex
	var work sync.WaitGroup
	for i := range int(duration.Seconds() * float64(perSecond)) {
		work.Go(func() {
			ctx, stop := context.WithTimeout(context.Background(), 900*time.Millisecond)
			defer stop()
			_, err := c.Write(ctx, index.Record{Program: fmt.Sprint(i), Attempt: fmt.Sprint(i)})
			mu.Lock()
			defer mu.Unlock()
			all++
			if err == nil {
				inTime++
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	work.Wait()
	return inTime, all
}

// Many callers come at once, and the places of records have more to do than they
// can for two seconds. Afterwards they could do all that is asked. If every late
// answer made daemons ask further places, they would go on being asked for more
// than they can do, and callers would be refused until traffic fell far lower.
func TestRecoversAfterOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// 200 a second at each place are 333 writes a second to three of five.
		q := &serialReplicas{serviceTime: 5 * time.Millisecond, busyUntil: map[string]time.Time{}}
		c := q.client()
		q.send(c, 200, time.Second)
		q.send(c, 600, 2*time.Second)
		q.send(c, 250, 4*time.Second) // time to catch up
		before := q.served
		inTime, all := q.send(c, 250, 2*time.Second)
		asked := float64(q.served-before) / float64(all)
		time.Sleep(2 * replicaTimeout) // until all has ended
		t.Logf("%d of %d writes in time, %.2f places asked for each", inTime, all, asked)
		is.True(inTime == all)
	})
}

// One disk hangs or is slow. Callers must not wait for it: another place is asked
// as soon as the slow one is late by the others' measure.
func TestHedgesPastSlowReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := &serialReplicas{serviceTime: 2 * time.Millisecond, busyUntil: map[string]time.Time{}, serviceTimes: map[string]time.Duration{"n0": 150 * time.Millisecond, "n3": time.Hour}}
		c := q.client()
		worst := time.Duration(0)
		for i := range 50 {
			began := time.Now()
			_, err := c.Write(t.Context(), index.Record{Program: fmt.Sprint(i), Attempt: fmt.Sprint(i)})
			is.NoErr(err)
			worst = max(worst, time.Since(began))
		}
		time.Sleep(replicaTimeout)
		is.True(worst <= 2*minWriteHedge+10*time.Millisecond)
	})
}
