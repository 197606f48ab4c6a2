package chaos

import (
	"cmp"
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
		DiskMemoryMB int         // of a VM with a disk, if it has another size than the others
		Crowd        crowd.Crowd // without its address
		EachFront    bool        // such a crowd comes to each front

		crowds []*crowd.Crowd
	}

	// MisuseSummary is the most that a front and a VM with a disk had at a time.
	MisuseSummary struct {
		Front, Disk procs.Usage
		Crowd       string // see crowd.Crowd.Summary
	}
)

// Run executes the run. The error lists violations.
func (m *Misuse) Run(ctx context.Context) (sum MisuseSummary, err error) {
	defer func() { err = errors.Wrapf(err, "%d clients at %s", m.Crowd.Clients, m.Listener) }()
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	m.diskMemoryMB = m.DiskMemoryMB
	end, err := m.begin(ctx)
	if err != nil {
		return sum, err
	}
	defer end()
	m.gather()
	watchCtx, stopWatch := context.WithCancel(ctx)
	var work sync.WaitGroup
	front, disk := m.watch(watchCtx, &work, m.fronts[0], m.ip(1, 0)), m.watch(watchCtx, &work, m.disks[0], m.ip(2, 0))
	m.play(ctx)
	stopWatch()
	work.Wait()
	m.judge(m.fronts[0], front, m.MemoryMB)
	m.judge(m.disks[0], disk, cmp.Or(m.DiskMemoryMB, m.MemoryMB))
	m.verifyCrowds()
	sum = MisuseSummary{Front: *front, Disk: *disk, Crowd: m.Crowd.Summary()}
	if list := m.observed.violations; len(list) > 0 {
		return sum, errors.Newf("%d violations: %s", len(list), strings.Join(list, "; "))
	}
	return sum, nil
}

// gather makes the crowds, at the first front or at each.
func (m *Misuse) gather() {
	m.crowds = []*crowd.Crowd{&m.Crowd}
	m.Crowd.Address = m.target(0)
	for i := 1; m.EachFront && i < m.Fronts; i++ {
		m.crowds = append(m.crowds, &crowd.Crowd{
			Address: m.target(i), Clients: m.Crowd.Clients, First: i * m.Crowd.Clients, Request: m.Crowd.Request,
			Before: m.Crowd.Before, Ahead: m.Crowd.Ahead, Silent: m.Crowd.Silent, NoRead: m.Crowd.NoRead,
		})
	}
}

// Results returns the requests of the crowds that got a response.
func (m *Misuse) Results() (list []crowd.Result) {
	for _, c := range m.crowds {
		list = append(list, c.Results()...)
	}
	return list
}

// target returns the address of the listener, of a front or of the first VM with a disk.
func (m *Misuse) target(front int) string {
	port := map[Listener]int{
		Callers: basePort, Ready: basePort + 1, Directory: basePort + 2, Metrics: metricsPort, Peers: peerPort, DiskPeers: peerPort, Control: basePort + 3,
	}[m.Listener]
	ip := m.ip(1, front)
	if m.Listener == DiskPeers || m.Listener == Control {
		ip = m.ip(2, 0)
	}
	return fmt.Sprintf("%s:%d", ip, port)
}

// watch measures the process until ctx ends.
func (m *Misuse) watch(ctx context.Context, work *sync.WaitGroup, c *process, ip string) *procs.Usage {
	u := &procs.Usage{PID: c.cmd.Process.Pid, IP: net.ParseIP(ip)}
	work.Go(func() { u.Watch(ctx) })
	return u
}

// play has the crowd come, and sends an ordinary request beside it and another one after it.
func (m *Misuse) play(ctx context.Context) {
	crowdCtx, stopCrowd := context.WithCancel(ctx)
	var work sync.WaitGroup
	for _, c := range m.crowds {
		work.Go(func() { c.Play(crowdCtx) })
	}
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
		_, _ = fmt.Fprintf(m.Out, "%s: status %d, %v: %.200s\n", id, status, err, body)
		pause.For(ctx, answerPause)
	}
	m.observed.addViolation("no ordinary request answered %s: %v", when, seen)
}

// judge notes what the process took beyond its VM.
func (m *Misuse) judge(c *process, u *procs.Usage, memoryMB int) {
	select {
	case <-c.done:
		m.observed.addViolation("%s has ended", c.name)
	default:
	}
	if u.Err != nil {
		m.observed.addViolation("%s not measured: %v", c.name, u.Err)
	}
	if u.Memory > int64(memoryMB)<<20 {
		m.observed.addViolation("%s took %d MB of memory, the VM has %d", c.name, u.Memory>>20, memoryMB)
	}
	if u.Descriptors > m.Descriptors {
		m.observed.addViolation("%s had %d descriptors, the VM has %d", c.name, u.Descriptors, m.Descriptors)
	}
}

// verifyCrowds notes requests of the crowds that were told they have not run, and have, and what upstreams have seen.
func (m *Misuse) verifyCrowds() {
	for _, c := range m.crowds {
		m.verifyCrowd(c)
	}
	for _, text := range m.runLog.Violations() {
		m.observed.addViolation("%s", text)
	}
}
