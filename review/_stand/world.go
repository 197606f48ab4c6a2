// Command stand runs one case of the review: it starts the programs of the deploy file as
// separate processes on loopback, before stand-ins of the platform, the workers and the clients.
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not
// run. TROUBLE=0 in the environment leaves the disruption out.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/slaterock/slaterock/internal/fake/metakv"
)

const (
	startTimeout = 15 * time.Second
	longest      = 116 * time.Second // of one case
	stopTimeout  = 9 * time.Second   // grace-s and a second
	beat         = 1200 * time.Millisecond
	hostName     = "shop.example"
	zones        = 3
)

// world holds all that one case has started.
type world struct {
	dir       string
	net       string // first three bytes of all addresses
	ports     [5]int // front, ready, directory, control, first of the ports between daemons
	store     metakv.Store
	storeDown atomic.Bool // the store refuses all calls
	address   string      // of the store
	trouble   bool
	began     time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*proc
	nextIP int
	ended  chan struct{}
}

// proc is one program of the deploy file.
type proc struct {
	w        *world
	name, ip string
	role     string
	settings string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
}

// cannotRun ends the case: it could not run.
type cannotRun struct{ text string }

func fail(format string, args ...any) { panic(cannotRun{fmt.Sprintf(format, args...)}) }

func must(err error) {
	if err != nil {
		fail("%v", err)
	}
}

// run executes a case. broken is what broke the rule; empty if it held.
func run(recordFile string, do func(*world) (broken []string)) (code int) {
	w := &world{began: time.Now(), trouble: os.Getenv("TROUBLE") != "0", nextIP: 10, ended: make(chan struct{})}
	go w.watch()
	defer func() {
		close(w.ended)
		w.cleanUp()
		if r := recover(); r != nil {
			c, known := r.(cannotRun)
			if !known {
				panic(r)
			}
			w.note("could not run: %s", c.text)
			fmt.Println("could not run:", c.text)
			code = 2
		}
		if w.record != nil {
			_ = w.record.Close()
		}
	}()
	var err error
	w.record, err = os.Create(recordFile)
	must(err)
	w.dir, err = os.MkdirTemp("", "review-")
	must(err)
	w.chooseAddresses()
	w.note("trouble: %v", w.trouble)
	ln, err := net.Listen("tcp", w.net+".1:0")
	must(err)
	w.address = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: &w.store, ReadHeaderTimeout: 5 * time.Second}).Serve(ln) }()
	broken := do(w)
	for _, b := range broken {
		w.note("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		fmt.Printf("rule broken, %d times; the first: %s\n", len(broken), broken[0])
		return 1
	}
	w.note("the rule held")
	fmt.Println("the rule held")
	return 0
}

// watch ends the case, as one that could not run, when it is interrupted or takes too long.
func (w *world) watch() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(longest):
	case <-w.ended:
		return
	}
	w.note("could not run: interrupted, or too slow")
	w.cleanUp()
	os.Exit(2)
}

// cleanUp ends all processes that the case started and removes its folder.
func (w *world) cleanUp() {
	w.mu.Lock()
	procs := append([]*proc(nil), w.procs...)
	w.mu.Unlock()
	for _, p := range procs {
		p.stop(syscall.SIGKILL)
	}
	if w.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// chooseAddresses finds a loopback network and ports that nothing uses.
func (w *world) chooseAddresses() {
	for try := range 50 {
		n := os.Getpid() + try*7919
		w.net = fmt.Sprintf("127.%d.%d", 20+n%200, 1+n/200%250)
		var open []net.Listener
		ok := true
		for i := range w.ports {
			ln, err := net.Listen("tcp", w.net+".1:0")
			must(err)
			w.ports[i] = ln.Addr().(*net.TCPAddr).Port
			open = append(open, ln)
		}
		for _, port := range append(w.ports[:], 9464) {
			for last := range 40 {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", w.net, 10+last, port))
				if err != nil {
					ok = false
					continue
				}
				_ = ln.Close()
			}
		}
		for _, ln := range open {
			_ = ln.Close()
		}
		if ok {
			return
		}
	}
	fail("no free ports")
}

func (w *world) ip() string {
	w.nextIP++
	return fmt.Sprintf("%s.%d", w.net, w.nextIP)
}

// note writes a line into the record, with the time since the start in ms.
func (w *world) note(format string, args ...any) {
	if w.record == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.1f ms  %s\n", float64(time.Since(w.began).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// start starts a new machine with one process: role is front or storage, zone below zones.
func (w *world) start(role string, i, zone int) *proc {
	p := &proc{w: w, role: role, name: fmt.Sprintf("%s-z%d-%d", role, zone, i), ip: w.ip()}
	p.settings = filepath.Join(w.dir, p.name+".yaml")
	listen, dir, counts := "", "null", "false"
	limits := "{cpu-share: 0.4, cores: 1, memory-mb: 134, max-fds: 4100, link-mbps: 1000.0, disk-mb: 0}"
	if role == "front" {
		listen = fmt.Sprintf("{front: %q, ready: %q, directory: %q}", p.at(0), p.at(1), p.at(2))
	} else {
		listen = fmt.Sprintf("{control: %q}", p.at(3))
		dir, counts = fmt.Sprintf("%q", p.data()), "true"
		limits = "{cpu-share: 0.8, cores: 1, memory-mb: 144, max-fds: 8200, link-mbps: 600.0, disk-mb: 310}"
	}
	names := ""
	for z := range zones {
		names += fmt.Sprintf("  z%d: r\n", z)
	}
	text := fmt.Sprintf(`node-name: %q
role: %q
machine-class: %q
ip: %q
zone: "z%d"
region: "r"
zones:
%slisten: %s
port-range: [%d, %d]
seeds: ["%s.11:%d", "%s.12:%d", "%s.13:%d"]
bootstrap: true
loss-counts: %s
limits: %s
data-dir: %s
discovery: platform
entry: directory
heartbeat-ms: 1200
contracts: [base, drain, config, cost, recover, agent, stream, engine, platform]
fault-tolerance: {machines: 1, zones: 0, regions: 0}
bounds: {seed-lag-s: 3, reuse-after-s: 2, contact-ms: 3000, ack-ms: 4000, catch-up-s: 4.2, drain-ms: 2000, grace-s: 8, lost-ms: 200, config-ms: 2000, rollback-slack-ms: 250, outer-ms: 5000, recover-s: 12, pass-ms: 120, again-s: 0, deadline-s: 10, settle-ms: 1000, ttl_max_s: 5}
platform: {address: %q, form: kv, writes-per-s: 400, reads-per-s: 2000, history-s: 20, value-bytes: 1048576, ttl-min-ms: 1000}
`, p.name, role, role, p.ip, zone, names, listen, w.ports[4], w.ports[4]+15,
		w.net, w.ports[3], w.net, w.ports[3], w.net, w.ports[3], counts, limits, dir, w.address)
	must(os.WriteFile(p.settings, []byte(text), 0o600))
	var err error
	p.log, err = os.Create(filepath.Join(w.dir, p.name+".log"))
	must(err)
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	p.launch()
	return p
}

// data is the folder of the machine's disk.
func (p *proc) data() string { return filepath.Join(p.w.dir, "data-"+p.name) }

func (p *proc) at(port int) string { return fmt.Sprintf("%s:%d", p.ip, p.w.ports[port]) }

// launch starts the process, as the deploy file says.
func (p *proc) launch() {
	p.cmd = exec.Command("target/slaterock", p.role) //nolint:gosec // a fixed command
	p.cmd.Env = []string{"SLATEROCK_CONFIG=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	must(p.cmd.Start())
	cmd, exited := p.cmd, make(chan struct{})
	p.exited = exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	p.w.note("started %s, pid %d", p.name, p.cmd.Process.Pid)
}

// stop ends the process with a signal, and with SIGKILL after the grace time.
func (p *proc) stop(sig syscall.Signal) {
	select {
	case <-p.exited:
		return
	default:
	}
	p.w.note("%v to %s", sig, p.name)
	_ = p.cmd.Process.Signal(sig)
	select {
	case <-p.exited:
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	p.w.note("%s has ended", p.name)
}

// restart stops the process with a signal and starts it again after a short pause.
func (p *proc) restart(sig syscall.Signal) {
	p.stop(sig)
	time.Sleep(300 * time.Millisecond)
	p.launch()
}

// ready waits until the fronts are ready.
func (w *world) ready(fronts ...*proc) {
	for _, p := range fronts {
		w.await(p.name+" is ready", func() bool { return get("http://"+p.at(1)+"/-/ready") == http.StatusOK })
	}
}

func get(url string) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(url) //nolint:noctx // bounded by the client
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (w *world) await(what string, cond func() bool) {
	for until := time.Now().Add(startTimeout); !cond(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			fail("not within %v: %s", startTimeout, what)
		}
	}
	w.note("%s", what)
}

// resolve asks a directory for the addresses of fronts, as clients do.
func (w *world) resolve(p *proc) (list []string) {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + p.at(2) + "/-/resolve?name=" + hostName + "&region=r&zone=z0") //nolint:noctx // bounded by the client
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var a struct {
		Addresses []string `json:"addresses"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&a) // a failure leaves the list empty
	return a.Addresses
}

// configure writes the operator's configuration.
func (w *world) configure(routes []any, services ...any) {
	w.store.Put("op/config", map[string]any{
		"version": 3, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}
