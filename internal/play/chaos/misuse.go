package chaos

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/peer/pause"
	"github.com/slaterock/slaterock/internal/play/crowd"
	"github.com/slaterock/slaterock/internal/play/procs"
)

// The listeners of a front, and of a VM with a disk.
const (
	Callers   Listener = "callers"
	Ready     Listener = "ready"
	Directory Listener = "directory"
	Metrics   Listener = "metrics"
	Peers     Listener = "peers"
	DiskPeers Listener = "peers of a disk"
	Control   Listener = "control of a disk"
)

const (
	metricsPort = 9464
	// holdTime is how long the clients of a crowd stay before the first ordinary request.
	holdTime = 3 * time.Second
	// answerTimeout is the time in which an ordinary request is tried again until it is answered.
	answerTimeout = 30 * time.Second
	// answerPause is the pause between the tries of an ordinary request.
	answerPause = 200 * time.Millisecond
)

type (
	// Listener names a listener of the daemons.
	Listener string

	// Misuse runs the daemons beside one crowd of clients that misbehave. A process must not end, nor take more
	// memory or descriptors than its VM has, and an ordinary caller must get an answer beside the crowd
	// and after it. Set the exported fields, then call Run.
	Misuse struct {
		*Runner // its callers and faults are not used
		Listener
		Crowd crowd.Crowd // without its address
	}

	// MisuseSummary is the most that the process with the listener had at a time.
	MisuseSummary struct {
		Memory      int64 // bytes, with those that the kernel has received for it and that it has not read
		Unread      int64 // of these, bytes that it has not read
		Descriptors int
		Crowd       string // see crowd.Crowd.Summary
	}
)

// Run executes the run. The error lists violations.
func (m *Misuse) Run(ctx context.Context) (sum MisuseSummary, err error) {
	defer func() { err = errors.Wrapf(err, "%d clients at %s", m.Crowd.Clients, m.Listener) }()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	unlock, err := m.lock(ctx)
	if err != nil {
		return sum, err
	}
	defer unlock()
	m.rnd = rand.New(rand.NewPCG(m.Seed, 1))
	m.observed.attempts = map[string]observed{}
	if err = m.startAll(ctx); err != nil {
		return sum, err
	}
	defer m.stopAll()
	if err = m.awaitService(ctx, startTimeout); err != nil {
		return sum, errors.Wrap(err, "start")
	}
	c, ip, port := m.target()
	m.Crowd.Address = net.JoinHostPort(ip.String(), fmt.Sprint(port))
	u := &procs.Usage{PID: c.cmd.Process.Pid, IP: ip}
	watchCtx, stopWatch := context.WithCancel(ctx)
	var work sync.WaitGroup
	work.Go(func() { u.Watch(watchCtx) })
	m.play(ctx)
	stopWatch()
	work.Wait()
	sum = MisuseSummary{Memory: u.Memory, Unread: u.Unread, Descriptors: u.Descriptors, Crowd: m.Crowd.Summary()}
	m.judge(c, sum, u.Err)
	m.verifyCrowd()
	if list := m.observed.violations; len(list) > 0 {
		return sum, errors.Newf("%d violations: %s", len(list), strings.Join(list, "; "))
	}
	return sum, nil
}

// target returns the process with the listener, and the listener's address.
func (m *Misuse) target() (c *process, ip net.IP, port int) {
	port = map[Listener]int{
		Callers: basePort, Ready: basePort + 1, Directory: basePort + 2, Metrics: metricsPort, Peers: peerPort, DiskPeers: peerPort, Control: basePort + 3,
	}[m.Listener]
	if m.Listener == DiskPeers || m.Listener == Control {
		return m.disks[0], net.ParseIP(m.ip(2, 0)), port
	}
	return m.fronts[0], net.ParseIP(m.ip(1, 0)), port
}

// play has the crowd come, and sends an ordinary request beside it and another one after it.
func (m *Misuse) play(ctx context.Context) {
	crowdCtx, stopCrowd := context.WithCancel(ctx)
	var work sync.WaitGroup
	work.Go(func() { m.Crowd.Play(crowdCtx) })
	pause.For(ctx, holdTime)
	m.awaitAnswer(ctx, "beside the crowd")
	stopCrowd()
	work.Wait()
	m.awaitAnswer(ctx, "after the crowd")
}

// awaitAnswer sends an ordinary request again, each time on a new connection, until it is answered.
func (m *Misuse) awaitAnswer(ctx context.Context, when string) {
	ctx, stop := context.WithTimeout(ctx, answerTimeout)
	defer stop()
	seen := map[string]int{}
	for n := 0; ctx.Err() == nil; n++ {
		c := &caller{s: m.Runner, rnd: rand.New(rand.NewPCG(1, 1)), front: 0, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
		id := fmt.Sprintf("ordinary %s %d", when, n)
		status, body, err := c.send(ctx, "/safe/x", strings.ReplaceAll(id, " ", "-"), http.Header{}, []byte("call"))
		if status == http.StatusOK && err == nil && string(body) == "answer to "+strings.ReplaceAll(id, " ", "-") {
			return
		}
		seen[fmt.Sprint(status, err)]++
		pause.For(ctx, answerPause)
	}
	m.observed.addViolation("no ordinary request answered %s: %v", when, seen)
}

// judge notes what the process took beyond its VM.
func (m *Misuse) judge(c *process, sum MisuseSummary, err error) {
	select {
	case <-c.done:
		m.observed.addViolation("%s has ended", c.name)
	default:
	}
	if err != nil {
		m.observed.addViolation("%s not measured: %v", c.name, err)
	}
	if sum.Memory > int64(m.MemoryMB)<<20 {
		m.observed.addViolation("%d MB of memory, the VM has %d", sum.Memory>>20, m.MemoryMB)
	}
	if sum.Descriptors > m.Descriptors {
		m.observed.addViolation("%d descriptors, the VM has %d", sum.Descriptors, m.Descriptors)
	}
}

// verifyCrowd notes requests of the crowd that were told they have not run, and have.
func (m *Misuse) verifyCrowd() {
	for _, r := range m.Crowd.Results() {
		if meansNotRun(r.Status) && m.runLog.Runs(r.ID) > 0 {
			m.observed.addViolation("%s was refused with %d and ran", r.ID, r.Status)
		}
	}
	for _, text := range m.runLog.Violations() {
		m.observed.addViolation("%s", text)
	}
}
