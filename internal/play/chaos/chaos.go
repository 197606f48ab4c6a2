// Package chaos runs the daemons as separate processes on loopback, with fakes of
// the store and the upstreams, and injects faults while callers send requests:
// signals, connection faults at proxies, faults of the store, torn writes and lost
// disks. It verifies the responses that callers receive against the executions at
// the upstreams.
package chaos

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
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
	host     = "shop.example"
	lockPort = 7399 // of the first front's address, occupied during a run to prevent a concurrent one
	anyPort  = "127.0.0.1:0"
	// basePort is the port of fronts for callers; their ready and directory ports
	// and the control port of VMs with a disk follow.
	basePort     = 7300
	peerPort     = 7380 // first of 16 ports for connections between daemons
	startTimeout = 20 * time.Second
	// recoverTimeout is the time after the last fault within which all fronts
	// must serve again.
	recoverTimeout = 15 * time.Second
	// outageTimeout is the time after a restart of all processes within which
	// all fronts must serve while the store is unavailable.
	outageTimeout = 5 * time.Second
	outageOdds    = 13 // one fault in outageOdds is a restart during an outage
	termGrace     = 9 * time.Second
	entryInterval = 700 * time.Millisecond
)

type (
	// Runner executes one run. Set the exported fields, then call Run.
	Runner struct {
		Command     []string // command line of the program, without its role
		Other       []string // of another release, which every second process and every second start of each runs; nil for none
		Seed        uint64
		Net         int           // second byte of the processes' loopback addresses; runs with different ones may overlap
		For         time.Duration // time with faults; with StoreOutage, the time before the outage
		Fronts      int
		Disks       int
		Upstreams   int
		Callers     int
		MemoryMB    int  // of each VM; 0 for 200
		Descriptors int  // that a process on a VM may have; 0 for 4096
		NoFaults    bool // inject no faults
		StoreOutage bool // one fault only: all processes are restarted while the store is unavailable
		Dir         string
		Out         io.Writer

		diskMemoryMB    int // see Misuse
		rnd             *rand.Rand
		outageRnd       *rand.Rand // separate source, so that outageOdds does not change the faults of a seed before its first outage
		outMu           sync.Mutex
		comebackMu      sync.Mutex
		comebackRnd     *rand.Rand
		metakv          metakv.Store
		runLog          upstrm.RunLog
		upstreams       []*upstrm.Upstream
		entriesMu       sync.Mutex
		entries         map[string]map[string]any // of upstreams in the store, by id
		upstreamProxies []*Proxy
		storeProxies    []*Proxy // one for each process
		frontProxies    []*Proxy
		directories     []string
		fronts          []*process
		disks           []*process
		observed        tally
	}

	// Summary is the result of a run, in numbers of attempts and faults.
	Summary struct {
		Whole   int // answered completely
		Refused int // refused with status 503 or 402
		Other   int // failed in another way
		Faults  int // injected
		TakenUp int // streams that a caller took up again at another front
		WentOn  int // of these, those that went on
		Ended   int // most upstreams that ended with one request
	}
)

// Run executes the run. The error lists violations.
func (s *Runner) Run(ctx context.Context) (sum Summary, err error) {
	defer func() { err = errors.Wrapf(err, "seed %d", s.Seed) }()
	s.rnd, s.outageRnd = rand.New(rand.NewPCG(s.Seed, 1)), rand.New(rand.NewPCG(s.Seed, 2))
	s.comebackRnd = rand.New(rand.NewPCG(s.Seed, 3))
	s.observed.attempts = map[string]observed{}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	unlock, err := s.lock(ctx)
	if err != nil {
		return sum, err
	}
	defer unlock()
	if err = s.startAll(ctx); err != nil {
		return sum, err
	}
	defer s.stopAll()
	if err = s.awaitService(ctx, startTimeout); err != nil {
		return sum, errors.Wrap(err, "start")
	}
	s.observed.reset()
	var work sync.WaitGroup
	callCtx, stopCalls := context.WithCancel(ctx)
	for i := range s.Callers {
		c := &caller{s: s, rnd: rand.New(rand.NewPCG(s.Seed, uint64(100+i))), id: i, front: -1, client: &http.Client{Transport: &http.Transport{}}}
		work.Go(func() { c.run(callCtx) })
	}
	finishChains := s.startChains(callCtx)
	sum.Faults = s.injectFaults(ctx)
	if err = s.awaitService(ctx, recoverTimeout); err != nil {
		s.observed.addViolation("no service after the last fault: %v", err)
	}
	stopCalls()
	work.Wait()
	finishChains(ctx)
	s.verify()
	sum.Ended = s.verifyCrashes()
	sum.TakenUp, sum.WentOn = s.observed.takenUp, s.observed.wentOn
	_, _ = fmt.Fprintf(s.Out, "neither whole nor refused: %s\n", strings.Join(s.observed.otherSamples, "\n"))
	sum.Whole, sum.Refused, sum.Other = s.observed.complete, s.observed.refused, s.observed.other
	if sum.Whole == 0 {
		s.observed.addViolation("nothing was answered whole")
	}
	if len(s.observed.violations) > 0 {
		return sum, errors.Newf("%d violations: %s", len(s.observed.violations), strings.Join(s.observed.violations[:min(len(s.observed.violations), 10)], "; "))
	}
	return sum, nil
}

// lock prevents concurrent runs, which would use the same addresses and connect to each
// other's processes.
func (s *Runner) lock(ctx context.Context) (unlock func(), err error) {
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", fmt.Sprintf("%s:%d", s.ip(1, 0), lockPort))
	if err != nil {
		return nil, errors.Wrap(err, "another run is in progress")
	}
	return func() { _ = ln.Close() }, nil
}

// verify compares the responses that callers received with the executions at the
// upstreams: a request that isn't idempotent must not run twice, or run although
// it was refused.
func (s *Runner) verify() {
	for id, a := range s.observed.attempts {
		runs := s.runLog.Runs(id)
		if runs > 1 && !a.idempotent {
			s.observed.addViolation("%s ran %d times", id, runs)
		}
		if runs > 0 && !a.idempotent && meansNotRun(a.status) {
			s.observed.addViolation("%s was refused with %d and ran", id, a.status)
		}
		if runs > 0 && a.complete && s.runLog.Spoiled(id) >= runs {
			s.observed.addViolation("%s was answered whole, and each response of its upstreams was broken", id)
		}
	}
	for _, text := range s.runLog.Violations() {
		s.observed.addViolation("%s", text)
	}
}

// meansNotRun reports whether the status tells a caller that its request has not run and never will.
func meansNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusPaymentRequired, http.StatusNotFound:
		return true
	default:
		return false
	}
}

// injectFaults injects faults for the time For, some of them overlapping, waits
// until all have ended, and returns their number.
func (s *Runner) injectFaults(ctx context.Context) (faults int) {
	if s.NoFaults {
		pause.For(ctx, s.For)
		return 0
	}
	if s.StoreOutage {
		pause.For(ctx, s.For)
		s.restartAllDuringOutage(ctx, func() {
			if err := s.awaitService(ctx, outageTimeout); err != nil {
				s.observed.addViolation("no service while the store was away: %v", err)
			}
		})
		return 1
	}
	until := time.Now().Add(s.For)
	var running sync.WaitGroup
	repeatCtx, stopRepeats := context.WithDeadline(ctx, until)
	defer stopRepeats()
	running.Go(func() { s.repeatRefusals(repeatCtx) })
	running.Go(func() { s.spoilResponses(repeatCtx) })
	running.Go(func() { s.cutUploads(repeatCtx) })
	running.Go(func() { s.loseFronts(repeatCtx) })
	running.Go(func() { s.hideRecords(repeatCtx) })
	running.Go(func() { s.misbehave(repeatCtx) })
	var diskMu sync.Mutex // held during faults of VMs with a disk, see exclusive
	for time.Now().Before(until) && ctx.Err() == nil {
		faults++
		do, description := s.randomFault(ctx, &diskMu)
		s.note(description)
		running.Go(do)
		pause.For(ctx, time.Duration(200+s.rnd.IntN(1500))*time.Millisecond)
	}
	running.Wait()
	return faults
}

// note writes the description of a fault that begins.
func (s *Runner) note(fault string) {
	s.outMu.Lock()
	defer s.outMu.Unlock()
	_, _ = fmt.Fprintf(s.Out, "%s %s\n", time.Now().Format("15:04:05.000"), fault)
}

// randomFault returns a random fault, as a function that injects and ends it, and
// its description.
func (s *Runner) randomFault(ctx context.Context, diskMu *sync.Mutex) (do func(), description string) {
	duration := time.Duration(500+s.rnd.IntN(3500)) * time.Millisecond
	proxy := func(name string, p *Proxy) (func(), string) {
		h := []ProxyFault{Delay, Blackhole, OneWay}[s.rnd.IntN(3)]
		return func() { p.SetFault(h); pause.For(ctx, duration); p.SetFault(Forward); p.Reset() }, fmt.Sprintf("%s: harm %d for %v", name, h, duration)
	}
	f, d := s.fronts[s.rnd.IntN(len(s.fronts))], s.disks[s.rnd.IntN(len(s.disks))]
	if s.outageRnd.IntN(outageOdds) == 0 {
		return s.exclusive(diskMu, func() { s.restartAllDuringOutage(ctx, func() { pause.For(ctx, duration) }) }), fmt.Sprintf("all processes are killed while the store is away, for %v", duration)
	}
	switch s.rnd.IntN(12) {
	case 0:
		return s.restart(f, syscall.SIGKILL), f.name + " is killed"
	case 1, 2:
		return s.restart(f, syscall.SIGTERM), f.name + " is stopped"
	case 3:
		return func() { f.signal(syscall.SIGSTOP); pause.For(ctx, duration); f.signal(syscall.SIGCONT) }, fmt.Sprintf("%s stands still for %v", f.name, duration)
	case 4:
		return s.exclusive(diskMu, func() { s.restart(d, syscall.SIGKILL)() }), d.name + " is killed, its last write torn"
	case 5:
		return s.exclusive(diskMu, func() { d.signal(syscall.SIGSTOP); pause.For(ctx, duration); d.signal(syscall.SIGCONT) }), fmt.Sprintf("%s stands still for %v", d.name, duration)
	case 6:
		return s.exclusive(diskMu, func() { s.replaceDisk(ctx, d) }), d.name + " loses its disk"
	case 7:
		fault := []metakv.Fault{metakv.Busy, metakv.Lossy, metakv.Slow}[s.rnd.IntN(3)]
		return func() { s.metakv.SetFault(fault); pause.For(ctx, duration); s.metakv.SetFault(metakv.None) }, fmt.Sprintf("store: fault %d for %v", fault, duration)
	case 8:
		return proxy("store of a process", s.storeProxies[s.rnd.IntN(len(s.storeProxies))])
	case 9:
		return proxy("upstream", s.upstreamProxies[s.rnd.IntN(len(s.upstreamProxies))])
	case 10:
		return proxy("callers", s.frontProxies[s.rnd.IntN(len(s.frontProxies))])
	default:
		u := s.upstreams[s.rnd.IntN(len(s.upstreams))]
		return func() {
			u.BreakEvery.Store(4)
			u.LoseEvery.Store(7)
			pause.For(ctx, duration)
			u.BreakEvery.Store(0)
			u.LoseEvery.Store(0)
		}, u.ID + " breaks off and loses answers"
	}
}

// exclusive returns a function that runs do without overlap with other faults of
// VMs with a disk, since records survive the loss of one VM at a time. Before the
// next such fault it waits, for 20 s at most, until the roster has all replicas
// again and none is joining, and then for 2 s.
func (s *Runner) exclusive(diskMu *sync.Mutex, do func()) func() {
	return func() {
		diskMu.Lock()
		defer diskMu.Unlock()
		do()
		for range 200 {
			if r := s.roster(); len(r.Replicas) >= min(s.Disks, roster.MaxReplicas(r.MaxFailures)) && !hasJoining(r) {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(2 * time.Second) // for a restarted process to catch up
	}
}

func (s *Runner) roster() (r roster.Roster) {
	if data, ok := s.metakv.Get(discov.RosterKey); ok {
		r, _ = roster.Decode(data) // an absent or invalid roster counts as empty
	}
	return r
}

func hasJoining(r roster.Roster) bool {
	for _, p := range r.Replicas {
		if p.Joining {
			return true
		}
	}
	return false
}

// awaitService waits until every front has answered a turn completely.
func (s *Runner) awaitService(ctx context.Context, timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for i := range s.fronts {
		for n := 0; ; n++ {
			c := &caller{s: s, rnd: rand.New(rand.NewPCG(1, 1)), front: i, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
			id := fmt.Sprintf("await-%d-%d-%d", until.UnixNano(), i, n)
			if _, _, _, complete := c.turn(ctx, turnPath, id, id, "", nil, []byte("x")); complete {
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

func (s *Runner) stopAll() {
	var work sync.WaitGroup
	for _, c := range slices.Concat(s.fronts, s.disks) {
		work.Go(func() {
			c.stop(syscall.SIGKILL, time.Second)
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
	if u, ok := h.(*upstrm.Upstream); ok {
		ln = u.Listener(ln)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

func (s *Runner) path(parts ...string) string {
	return filepath.Join(append([]string{s.Dir}, parts...)...)
}
