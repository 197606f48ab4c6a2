package chaos

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/fake/queued"
	"github.com/slaterock/slaterock/internal/fake/upstrm"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	overloadPlaces  = 6
	overloadQueue   = 4
	overloadTimeout = 2500 * time.Millisecond // of a request
	overloadTarget  = 500 * time.Millisecond  // time within which a call is on time
	overloadTries   = 3                       // attempts of a caller at one request
	overloadSettle  = 500 * time.Millisecond  // after the last response, for runs that begin late
	// maxLongBody bounds long bodies, in bytes; the shortest has half of it.
	maxLongBody = 160 << 10
	// startShare is the part of the time before faults begin.
	startShare = 0.2
	// otherStartTime is how long a wrong process answers at the address of an upstream.
	otherStartTime = 400 * time.Millisecond
)

type (
	// OpenLoad is a load of calls to one service, and the faults of its upstreams. The calls are sent at their
	// times, however many are under way.
	OpenLoad struct {
		Rate       float64 // first attempts per second
		Safe       float64 // share of safe calls, the others are unsafe
		Long       float64 // share of unsafe calls with a body that is longer than 64 KiB
		Work       time.Duration
		Faulty     float64       // share of the upstreams that have Faults
		Faults     queued.Faults // of these upstreams
		FaultsFor  time.Duration
		OtherStart bool // now and then a wrong process answers at the address of an upstream
	}

	// Overload runs such a load, whose upstreams are full most of the time. Set the exported fields, then call Run.
	Overload struct {
		*Runner // its callers and faults are not used
		OpenLoad

		journal   queued.Journal
		upstreams []*queued.Upstream
		client    *http.Client
		mu        sync.Mutex
		attempts  []*overloadAttempt
	}

	// overloadAttempt is one attempt of a caller, as it received it.
	overloadAttempt struct {
		id         string
		front      int
		safe       bool
		status     int // 0 if there was no whole response
		body       string
		retryAfter string
		took       time.Duration
		idle       time.Duration // of the connection before; 0 for a new one
		err        error         // why there was no whole response
	}
)

// Run executes the run. The error lists violations.
func (c *Overload) Run(ctx context.Context) (sum OverloadSummary, err error) {
	defer func() { err = errors.Wrapf(err, "seed %d", c.Seed) }()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	unlock, err := c.lock(ctx)
	if err != nil {
		return sum, err
	}
	defer unlock()
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
	c.rnd = rand.New(rand.NewPCG(c.Seed, 1))
	c.metakv.Put("op/config", overloadConfig())
	defer c.stopAll()
	if err = c.startUpstreams(ctx); err != nil {
		return sum, err
	}
	if err = c.startProcesses(ctx); err != nil {
		return sum, err
	}
	if err = c.awaitFronts(ctx); err != nil {
		return sum, err
	}
	var work sync.WaitGroup
	work.Go(func() { c.playFaults(ctx) })
	c.sendAll(ctx, &work)
	work.Wait()
	pause.For(ctx, overloadSettle)
	return c.verify()
}

func (c *Overload) startUpstreams(ctx context.Context) error {
	c.entries = map[string]map[string]any{}
	for i := range c.Upstreams {
		u := &queued.Upstream{ID: fmt.Sprintf("i-%d", i), Places: overloadPlaces, Queue: overloadQueue, Work: c.Work, Journal: &c.journal, Seed: c.Seed + uint64(i)}
		var lc net.ListenConfig
		ln, err := lc.Listen(ctx, "tcp", anyPort)
		if err != nil {
			return err
		}
		go u.Serve(ctx, ln)
		c.upstreams = append(c.upstreams, u)
		c.entries[u.ID] = map[string]any{
			"service": "plain", "address": ln.Addr().String(), "zone": fmt.Sprintf("z%d", i%3), "version": versions[0], "max-batch": u.Places,
			"state": "ready", "cold-remaining-ms": 0, "born": time.Now().UnixMilli(),
		}
	}
	go c.writeEntries(ctx)
	return nil
}

// awaitFronts waits until each front has answered a call.
func (c *Overload) awaitFronts(ctx context.Context) error {
	until := time.Now().Add(startTimeout)
	for i := range c.fronts {
		for n := 0; ; n++ {
			a := &overloadAttempt{id: fmt.Sprintf("await-%d-%d", i, n), front: i, safe: true}
			if c.send(ctx, a, nil); a.status == http.StatusOK {
				break
			}
			if time.Now().After(until) || ctx.Err() != nil {
				return errors.Newf("%s does not serve", c.fronts[i].name)
			}
			pause.For(ctx, 100*time.Millisecond)
		}
	}
	return nil
}

// sendAll sends the calls at their times, which are random, for the time For.
func (c *Overload) sendAll(ctx context.Context, work *sync.WaitGroup) {
	began := time.Now()
	for n, at := 0, time.Duration(0); at < c.For && ctx.Err() == nil; n++ {
		pause.For(ctx, time.Until(began.Add(at)))
		at += time.Duration(c.rnd.ExpFloat64() / c.Rate * float64(time.Second))
		safe, long, fronts := c.rnd.Float64() < c.Safe, c.rnd.Float64() < c.Long, c.rnd.Perm(c.Fronts)
		body := []byte(fmt.Sprintf("body of %d", n))
		if long && !safe {
			body = bytes.Repeat(body, maxLongBody/2/len(body)+c.rnd.IntN(maxLongBody/2/len(body)))
		}
		work.Go(func() { c.call(ctx, n, safe, fronts, body) })
	}
}

// call makes attempts at one call until one is served or may have run: each at another front, after the time that the one before was told.
func (c *Overload) call(ctx context.Context, n int, safe bool, fronts []int, body []byte) {
	for try := range min(overloadTries, len(fronts)) {
		a := &overloadAttempt{id: fmt.Sprintf("c%d-%d", n, try), front: fronts[try], safe: safe}
		c.send(ctx, a, body)
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
		seconds, err := strconv.ParseFloat(a.retryAfter, 64)
		if err != nil || !meansNotRun(a.status) {
			return
		}
		pause.For(ctx, time.Duration(seconds*float64(time.Second)))
	}
}

func (c *Overload) send(ctx context.Context, a *overloadAttempt, body []byte) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	ctx, stop := context.WithTimeout(ctx, overloadTimeout+time.Second)
	defer stop()
	path := map[bool]string{true: "/safe/x", false: "/unsafe/x"}[a.safe]
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", c.ip(1, a.front), basePort, path), bytes.NewReader(body))
	if err != nil {
		return
	}
	r.GetBody = nil // net/http must not retry the request
	r.Host = host
	r.Header.Set("Request-Id", a.id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(overloadTimeout.Milliseconds()))
	r.Header.Set(upstrm.ExpectBody, upstrm.Digest(body))
	r = r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.idle = i.IdleTime }}))
	resp, err := c.client.Do(r)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if a.err = err; err == nil {
		a.status, a.body, a.retryAfter = resp.StatusCode, string(text), resp.Header.Get("Retry-After")
	}
}

// playFaults has some of the upstreams have the faults for a while.
func (c *Overload) playFaults(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(c.Seed, 2))
	pause.For(ctx, time.Duration(startShare*float64(c.For)))
	faulty := rnd.Perm(len(c.upstreams))[:int(c.Faulty*float64(len(c.upstreams))+0.5)]
	for _, i := range faulty {
		c.upstreams[i].SetFaults(c.Faults)
	}
	for until := time.Now().Add(c.FaultsFor); time.Now().Before(until) && ctx.Err() == nil; {
		if !c.OtherStart {
			pause.For(ctx, time.Until(until))
			break
		}
		u := c.upstreams[faulty[rnd.IntN(len(faulty))]]
		other := c.Faults
		other.OtherStart = true
		u.SetFaults(other)
		pause.For(ctx, otherStartTime)
		u.SetFaults(c.Faults)
	}
	for _, i := range faulty {
		c.upstreams[i].SetFaults(queued.Faults{})
	}
}

// overloadConfig returns the operator's configuration.
func overloadConfig() map[string]any {
	config := operatorConfig()
	for _, r := range config["routes"].([]any) {
		r.(map[string]any)["timeout-ms"] = overloadTimeout.Milliseconds()
	}
	return config
}
