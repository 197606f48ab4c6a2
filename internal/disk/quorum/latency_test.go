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

// serialReplicas are replicas that process their requests one after the other.
type serialReplicas struct {
	mu           sync.Mutex
	serviceTime  time.Duration
	serviceTimes map[string]time.Duration // of replicas that differ
	busyUntil    map[string]time.Time
	served       int
}

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

// client writes to five replicas, of which two may be lost.
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

// send writes records at a rate and returns how many became durable in time, and how
// many were written in all.
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

// A burst overloads the record servers for two seconds; the load afterwards is within
// their capacity. If every late answer led to a hedged request, the hedges would keep
// them overloaded, and callers would be refused until traffic fell far lower.
func TestRecoversAfterOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		// Each of five replicas serves 200 requests a second; with three requests a write
		// that is a capacity of 333 writes a second.
		s := &serialReplicas{serviceTime: 5 * time.Millisecond, busyUntil: map[string]time.Time{}}
		c := s.client()
		s.send(c, 200, time.Second)
		s.send(c, 600, 2*time.Second)
		s.send(c, 250, 4*time.Second) // time to catch up
		before := s.served
		inTime, all := s.send(c, 250, 2*time.Second)
		perWrite := float64(s.served-before) / float64(all)
		time.Sleep(2 * replicaTimeout) // until all requests have ended
		t.Logf("%d of %d writes in time, %.2f replicas asked for each", inTime, all, perWrite)
		is.True(inTime == all)
	})
}

// One disk hangs and another is slow. Callers must not wait for them: the write is
// hedged to another replica once the slow one exceeds the usual latency of the others.
func TestHedgesPastSlowReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &serialReplicas{serviceTime: 2 * time.Millisecond, busyUntil: map[string]time.Time{}, serviceTimes: map[string]time.Duration{"n0": 150 * time.Millisecond, "n3": time.Hour}}
		c := s.client()
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
