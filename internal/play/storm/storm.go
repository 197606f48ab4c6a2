// Package storm runs the real programs as separate processes on loopback, before
// stand-ins of the users' platform, and harms them from outside while callers
// use them: signals, connections through proxies, a store that misbehaves, torn
// writes and lost disks. It checks what callers and upstreams see.
package storm

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/fake/metakv"
	"github.com/slaterock/slaterock/internal/fake/upstrm"
	"github.com/slaterock/slaterock/internal/node/discov"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	host      = "shop.example"
	onlyOne   = "127.0.1.1:7399" // held by the run
	anyPort   = "127.0.0.1:0"
	listPort  = 7300 // of callers; ready and directory follow
	peerPort  = 7380
	startTime = 20 * time.Second
	// recoverTime is how long after the last fault every promise of service
	// must hold again.
	recoverTime = 15 * time.Second
	// darkTime is how long after the start of all processes they must serve
	// without the store.
	darkTime   = 5 * time.Second
	darkOdds   = 13 // one fault in so many
	termGrace  = 9 * time.Second
	entryEvery = 700 * time.Millisecond
)

type (
	// Storm is one run. Set the exported fields, then call Run.
	Storm struct {
		Command   []string // starts the program, without its role
		Seed      uint64
		For       time.Duration
		Fronts    int
		Disks     int
		Upstreams int
		Callers   int
		Calm      bool // no faults
		Dark      bool // one fault only: everything starts anew while the store is away
		Dir       string
		Out       io.Writer

		rnd         *rand.Rand
		dark        *rand.Rand // drawn apart, so that the other faults of a seed stay what they were
		metakv      metakv.Store
		ledger      upstrm.RunLog
		ups         []*upstrm.Upstream
		entries     sync.Map // upstream's id to its entry; deleted while it is away
		upProxies   []*Proxy
		stores      []*Proxy // one for each process
		callers     []*Proxy
		directories []string
		fronts      []*child
		disks       []*child
		seen        verdicts
	}

	// Summary is what a run has seen.
	Summary struct {
		Whole   int
		Refused int
		Other   int
		Faults  int
	}
)

// Run plays the run. The error lists broken promises.
func (s *Storm) Run(ctx context.Context) (sum Summary, err error) {
	defer func() { err = errors.Wrapf(err, "seed %d", s.Seed) }()
	s.rnd, s.dark = rand.New(rand.NewPCG(s.Seed, 1)), rand.New(rand.NewPCG(s.Seed, 2))
	s.seen.attempts = map[string]seen{}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	// Two runs at a time would share addresses, and see each other's processes.
	var lc net.ListenConfig
	lock, err := lc.Listen(ctx, "tcp", onlyOne)
	if err != nil {
		return sum, errors.Wrap(err, "another run is under way")
	}
	defer func() { _ = lock.Close() }()
	if err = s.build(ctx); err != nil {
		return sum, err
	}
	defer s.endAll()
	if err = s.await(ctx, startTime); err != nil {
		return sum, errors.Wrap(err, "start")
	}
	s.seen.begin()
	var work sync.WaitGroup
	calling, hangUp := context.WithCancel(ctx)
	for i := range s.Callers {
		c := &caller{s: s, rnd: rand.New(rand.NewPCG(s.Seed, uint64(100+i))), id: i, front: -1, client: &http.Client{Transport: &http.Transport{}}}
		work.Go(func() { c.run(calling) })
	}
	sum.Faults = s.harm(ctx)
	if err = s.await(ctx, recoverTime); err != nil {
		s.seen.breach("no service after the last fault: %v", err)
	}
	hangUp()
	work.Wait()
	s.judge()
	_, _ = fmt.Fprintf(s.Out, "neither whole nor refused: %s\n", strings.Join(s.seen.others, "\n"))
	sum.Whole, sum.Refused, sum.Other = s.seen.whole, s.seen.refused, s.seen.other
	if sum.Whole == 0 {
		s.seen.breach("nothing was answered whole")
	}
	if len(s.seen.broken) > 0 {
		return sum, errors.Newf("%d promises broken: %s", len(s.seen.broken), strings.Join(s.seen.broken[:min(len(s.seen.broken), 10)], "; "))
	}
	return sum, nil
}

// judge compares what callers were told with what upstreams ran.
func (s *Storm) judge() {
	for id, a := range s.seen.attempts {
		runs := s.ledger.Runs(id)
		if runs > 1 && !a.idem {
			s.seen.breach("%s ran %d times", id, runs)
		}
		switch a.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusPaymentRequired, http.StatusNotFound:
			if runs > 0 && !a.idem {
				s.seen.breach("%s was refused with %d and ran", id, a.status)
			}
		}
	}
	for _, text := range s.ledger.Violations() {
		s.seen.breach("%s", text)
	}
}

// harm plays faults until the time is over, one after the other and overlapping,
// and ends them all.
func (s *Storm) harm(ctx context.Context) (faults int) {
	if s.Calm {
		pause.For(ctx, s.For)
		return 0
	}
	if s.Dark {
		pause.For(ctx, s.For)
		s.blackout(ctx, func() {
			if err := s.await(ctx, darkTime); err != nil {
				s.seen.breach("no service while the store was away: %v", err)
			}
		})
		return 1
	}
	until := time.Now().Add(s.For)
	var under sync.WaitGroup
	var disk sync.Mutex // as many VMs with a disk as may be lost at once
	for time.Now().Before(until) && ctx.Err() == nil {
		faults++
		do, what := s.draw(ctx, &disk)
		_, _ = fmt.Fprintf(s.Out, "%s %s\n", time.Now().Format("15:04:05.000"), what)
		under.Go(do)
		pause.For(ctx, time.Duration(200+s.rnd.IntN(1500))*time.Millisecond)
	}
	under.Wait()
	return faults
}

// draw draws one fault.
func (s *Storm) draw(ctx context.Context, disk *sync.Mutex) (do func(), what string) {
	last := time.Duration(500+s.rnd.IntN(3500)) * time.Millisecond
	proxy := func(name string, p *Proxy) (func(), string) {
		h := []Harm{Delay, Mute, OneWay}[s.rnd.IntN(3)]
		return func() { p.SetFault(h); pause.For(ctx, last); p.SetFault(Pass); p.Reset() }, fmt.Sprintf("%s: harm %d for %v", name, h, last)
	}
	f, d := s.fronts[s.rnd.IntN(len(s.fronts))], s.disks[s.rnd.IntN(len(s.disks))]
	if s.dark.IntN(darkOdds) == 0 {
		return s.alone(disk, func() { s.blackout(ctx, func() { pause.For(ctx, last) }) }), fmt.Sprintf("all processes are killed while the store is away, for %v", last)
	}
	switch s.rnd.IntN(12) {
	case 0:
		return s.again(f, syscall.SIGKILL), f.name + " is killed"
	case 1, 2:
		return s.again(f, syscall.SIGTERM), f.name + " is stopped"
	case 3:
		return func() { f.signal(syscall.SIGSTOP); pause.For(ctx, last); f.signal(syscall.SIGCONT) }, fmt.Sprintf("%s stands still for %v", f.name, last)
	case 4:
		return s.alone(disk, func() { s.again(d, syscall.SIGKILL)() }), d.name + " is killed, its last write torn"
	case 5:
		return s.alone(disk, func() { d.signal(syscall.SIGSTOP); pause.For(ctx, last); d.signal(syscall.SIGCONT) }), fmt.Sprintf("%s stands still for %v", d.name, last)
	case 6:
		return s.alone(disk, func() { s.wipe(ctx, d) }), d.name + " loses its disk"
	case 7:
		fault := []metakv.Fault{metakv.Busy, metakv.Lossy, metakv.Slow}[s.rnd.IntN(3)]
		return func() { s.metakv.SetFault(fault); pause.For(ctx, last); s.metakv.SetFault(metakv.None) }, fmt.Sprintf("store: fault %d for %v", fault, last)
	case 8:
		return proxy("store of a process", s.stores[s.rnd.IntN(len(s.stores))])
	case 9:
		return proxy("upstream", s.upProxies[s.rnd.IntN(len(s.upProxies))])
	case 10:
		return proxy("callers", s.callers[s.rnd.IntN(len(s.callers))])
	default:
		u := s.ups[s.rnd.IntN(len(s.ups))]
		return func() {
			u.BreakEvery.Store(4)
			u.LoseEvery.Store(7)
			pause.For(ctx, last)
			u.BreakEvery.Store(0)
			u.LoseEvery.Store(0)
		}, u.ID + " breaks off and loses answers"
	}
}

// alone keeps faults of VMs with a disk apart, and waits until the records are
// whole again, since no more may be lost at once.
func (s *Storm) alone(disk *sync.Mutex, do func()) func() {
	return func() {
		disk.Lock()
		defer disk.Unlock()
		do()
		for range 200 {
			if r := s.roster(); len(r.Replicas) >= min(s.Disks, roster.MaxReplicas(r.MaxFailures)) && !joins(r) {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second) // a process that is back catches up
	}
}

func (s *Storm) roster() (r roster.Roster) {
	if data, ok := s.metakv.Get(discov.RosterKey); ok {
		r, _ = roster.Decode(data) // none yet reads as empty
	}
	return r
}

func joins(r roster.Roster) bool {
	for _, p := range r.Replicas {
		if p.Joining {
			return true
		}
	}
	return false
}

func (s *Storm) again(c *child, sig syscall.Signal) func() {
	return func() {
		// Two faults may meet at one process. Both ending and starting it would
		// leave a process that nobody knows of.
		c.life.Lock()
		defer c.life.Unlock()
		c.end(sig, termGrace)
		if c.dir != "" {
			c.tear()
		}
		if err := c.start(); err != nil {
			s.seen.breach("%s did not start again: %v", c.name, err)
		}
	}
}

// blackout kills all processes and starts them while the store refuses every
// call, which it does until then has returned.
func (s *Storm) blackout(ctx context.Context, then func()) {
	s.metakv.SetFault(metakv.Busy)
	defer s.metakv.SetFault(metakv.None)
	pause.For(ctx, 300*time.Millisecond)
	var work sync.WaitGroup
	for _, c := range slices.Concat(s.fronts, s.disks) {
		work.Go(s.again(c, syscall.SIGKILL))
	}
	work.Wait()
	then()
}

func (s *Storm) wipe(ctx context.Context, c *child) {
	c.life.Lock()
	defer c.life.Unlock()
	c.end(syscall.SIGKILL, termGrace)
	if err := os.RemoveAll(c.dir); err != nil {
		s.seen.breach("%s: %v", c.name, err)
	}
	pause.For(ctx, 300*time.Millisecond)
	if err := c.start(); err != nil {
		s.seen.breach("%s did not start again: %v", c.name, err)
	}
}

// await returns once every daemon that takes callers answers a turn whole.
func (s *Storm) await(ctx context.Context, longest time.Duration) error {
	until := time.Now().Add(longest)
	for i := range s.fronts {
		for n := 0; ; n++ {
			c := &caller{s: s, rnd: rand.New(rand.NewPCG(1, 1)), front: i, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
			id := fmt.Sprintf("await-%d-%d-%d", until.UnixNano(), i, n)
			if _, _, _, whole := c.turn(ctx, keepPath, id, id, "", nil, []byte("x")); whole {
				break
			}
			if time.Now().After(until) || ctx.Err() != nil {
				return errors.Newf("%s does not serve", s.fronts[i].name)
			}
			pause.For(ctx, 100*time.Millisecond)
		}
	}
	return nil
}

func (s *Storm) endAll() {
	var work sync.WaitGroup
	for _, c := range slices.Concat(s.fronts, s.disks) {
		work.Go(func() {
			c.end(syscall.SIGKILL, time.Second)
			_ = c.log.Close()
		})
	}
	work.Wait()
}

func serve(ctx context.Context, h http.Handler, on string) (address string, err error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", on)
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

func (s *Storm) file(parts ...string) string {
	return filepath.Join(append([]string{s.Dir}, parts...)...)
}
