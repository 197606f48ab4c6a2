package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/fake/metakv"
	"github.com/slaterock/slaterock/internal/node/discov"
)

const (
	host         = "shop.example"
	frontPort    = 7300 // the ports of ready, directory and control follow
	peerPort     = 7380
	beat         = 1200 * time.Millisecond
	startTimeout = 20 * time.Second
)

// world is a small deployment: the platform's store and workers in this process, and the
// project's programs as processes, each on a loopback address of its own.
type world struct {
	dir, program string
	second       int // second byte of the addresses
	config       map[string]any
	bounds       string
	store        metakv.Store
	storeAt      string
	fronts       []*process
	disks        []*process
	workers      []*worker

	mu     sync.Mutex
	record *os.File
	began  time.Time
	up     time.Time // when the first process was started
}

// process is one process of the system.
type process struct {
	w        *world
	name, ip string
	role     string
	dir      string // empty without a disk
	settings string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func newWorld(dir, program string) (*world, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{dir: temp, program: program, record: record, began: time.Now(), bounds: "drain-ms: 2000, grace-s: 8, config-ms: 2000, contact-ms: 3000, recover-s: 12, ttl_max_s: 5"}
	w.second, err = freeNet()
	return w, err
}

// freeNet returns a second byte under which no program listens on the first front's address.
func freeNet() (int, error) {
	for n := 90 + os.Getpid()%60; n < 250; n++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.1:%d", n, frontPort))
		if err == nil {
			return n, ln.Close()
		}
	}
	return 0, fmt.Errorf("no free address")
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the store, the workers and the processes, and waits until all serve.
func (w *world) start(ctx context.Context, fronts, disks int) error {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.9.1:0", w.second))
	if err != nil {
		return err
	}
	w.storeAt = ln.Addr().String()
	go func() { _ = http.Serve(ln, &w.store) }()
	w.store.Put("op/config", w.config)
	for _, k := range w.workers {
		if err := k.start(w); err != nil {
			return err
		}
	}
	go w.beat(ctx)
	for i := range disks {
		w.disks = append(w.disks, w.process("storage", i, fmt.Sprintf("127.%d.2.%d", w.second, i+1)))
	}
	for i := range fronts {
		w.fronts = append(w.fronts, w.process("front", i, fmt.Sprintf("127.%d.1.%d", w.second, i+1)))
	}
	w.up = time.Now()
	for _, p := range append(append([]*process{}, w.disks...), w.fronts...) {
		if err := p.start(true); err != nil {
			return err
		}
	}
	for until := time.Now().Add(startTimeout); ; time.Sleep(50 * time.Millisecond) {
		if w.ready(disks) {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("the system was not ready after %v", startTimeout)
		}
	}
}

func (w *world) ready(disks int) bool {
	r := w.roster()
	if len(r.Replicas) < min(disks, 3) || r.Joining() > 0 {
		return false
	}
	for _, p := range w.fronts {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/-/ready", p.ip, frontPort+1))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}

func (w *world) roster() (r roster.Roster) {
	if data, ok := w.store.Get(discov.RosterKey); ok {
		r, _ = roster.Decode(data)
	}
	return r
}

// beat writes the workers' entries until ctx ends, as workers do.
func (w *world) beat(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(beat)
		for _, k := range w.workers {
			k.register(w)
		}
	}
}

func (w *world) process(role string, i int, ip string) *process {
	p := &process{w: w, role: role, ip: ip, name: fmt.Sprintf("%s-%d", role, i+1)}
	p.settings = filepath.Join(w.dir, p.name+".yaml")
	if role == "storage" {
		p.dir = filepath.Join(w.dir, p.name)
	}
	return p
}

func (p *process) writeSettings(bootstrap bool) error {
	listen, data, serves := fmt.Sprintf("{control: \"%s:%d\"}", p.ip, frontPort+3), fmt.Sprintf("%q", p.dir), "[storage, control]"
	memory, disk := 144, 310
	if p.dir == "" {
		listen = fmt.Sprintf("{front: \"%s:%d\", ready: \"%s:%d\", directory: \"%s:%d\"}", p.ip, frontPort, p.ip, frontPort+1, p.ip, frontPort+2)
		data, serves, memory, disk = "null", "[front, directory]", 134, 0
	}
	seeds := ""
	for i, d := range p.w.disks {
		if i < 3 {
			seeds += fmt.Sprintf("  - \"%s:%d\"\n", d.ip, frontPort+3)
		}
	}
	text := fmt.Sprintf(`node-name: %q
role: %q
machine-class: %q
serves: %s
ip: %q
zone: "z%s"
region: "r"
listen: %s
port-range: [%d, %d]
seeds:
%sbootstrap: %v
loss-counts: %v
limits: {cpu-share: 0.8, cores: 1, memory-mb: %d, max-fds: 8200, link-mbps: 600.0, disk-mb: %d}
data-dir: %s
discovery: "platform"
entry: "directory"
heartbeat-ms: 1200
fault-tolerance: {machines: 1, zones: 0, regions: 0}
bounds: {%s}
platform: {address: %q, form: "kv", writes-per-s: 400, reads-per-s: 2000, history-s: 20, value-bytes: 1048576, ttl-min-ms: 1000}
`, p.name, p.role, p.role, serves, p.ip, p.name[len(p.name)-1:], listen, peerPort, peerPort+15, seeds, bootstrap, p.dir != "", memory, disk, data, p.w.bounds, p.w.storeAt)
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

func (p *process) start(bootstrap bool) error {
	if err := p.writeSettings(bootstrap); err != nil {
		return err
	}
	if p.dir != "" {
		if err := os.MkdirAll(p.dir, 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(p.w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.w.program, p.role)
	cmd.Env = append(os.Environ(), "SLATEROCK_CONFIG="+p.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		p.w.note("%s ended: %v", p.name, err)
		_ = log.Close()
		close(done)
	}()
	p.w.note("%s started", p.name)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// stop sends the signal and waits for the end of the process.
func (p *process) stop(s syscall.Signal) {
	p.signal(s)
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (w *world) stopAll() {
	for _, p := range append(append([]*process{}, w.fronts...), w.disks...) {
		p.signal(syscall.SIGCONT)
		p.stop(syscall.SIGKILL)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
	_ = w.record.Close()
}

// worker is a sound worker of a service: it runs what names its instance, and answers each
// request on a streaming route by events.
type worker struct {
	id, service string
	zone        int
	address     string
	delay       time.Duration // before each event and before a plain answer
	slots       int
	seq         int
	onRun       func(r *http.Request, body []byte)
	draining    bool

	mu      sync.Mutex
	running int
	runs    []run
}

type run struct {
	id, method, target string
	body               []byte
	at                 time.Time
}

func (k *worker) start(w *world) error {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.8.%d:0", w.second, k.zone+1))
	if err != nil {
		return err
	}
	k.address = ln.Addr().String()
	srv := &http.Server{Handler: k, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	k.register(w)
	return nil
}

func (k *worker) register(w *world) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.seq++
	state := "ready"
	if k.draining {
		state = "draining"
	}
	w.store.Put("servers/"+k.id, map[string]any{
		"service": k.service, "address": k.address, "zone": fmt.Sprintf("z%d", k.zone), "version": "v1", "max-batch": k.slots,
		"state": state, "cold-remaining-ms": 0, "seq": k.seq,
	})
}

func (k *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	h.Set("Keep-Alive", "timeout=10")
	if r.Header.Get("Expect-Instance") != k.id {
		h.Set("Instance-Id", k.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	k.mu.Lock()
	full := k.running >= k.slots
	if !full {
		k.running++
		k.runs = append(k.runs, run{id, r.Method, r.RequestURI, body, time.Now()})
	}
	k.mu.Unlock()
	if full {
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		k.mu.Lock()
		k.running--
		k.mu.Unlock()
	}()
	if k.onRun != nil {
		k.onRun(r, body)
	}
	h.Set("Server-Signature", "s."+k.id+"."+id)
	if events := r.Header.Get("Token-Usage"); events == "" {
		time.Sleep(k.delay)
		h.Set("Content-Type", "text/plain")
		_, _ = io.WriteString(rw, "answer to "+id)
		return
	}
	h.Set("Content-Type", "text/event-stream")
	events, gap := eventsOfTurn, k.delay
	if n, err := strconv.Atoi(r.URL.Query().Get("events")); err == nil {
		events = n
	}
	if ms, err := strconv.Atoi(r.URL.Query().Get("gap")); err == nil {
		gap = time.Duration(ms) * time.Millisecond
	}
	for i := 1; i <= events; i++ {
		time.Sleep(gap)
		if r.Context().Err() != nil {
			return
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", i, eventData(id, i))
		_ = http.NewResponseController(rw).Flush()
	}
}

const (
	eventsOfTurn   = 4
	tokensPerEvent = 3
)

func eventData(id string, i int) string { return fmt.Sprintf("%s/%d", id, i) }

// outputOf is what a turn adds to its chain after its input.
func outputOf(id string) (text string) {
	for i := 1; i <= eventsOfTurn; i++ {
		text += eventData(id, i) + "\n"
	}
	return text
}

// ran returns the runs of a request at all workers.
func (w *world) ran(id string) (list []run) {
	for _, k := range w.workers {
		k.mu.Lock()
		for _, r := range k.runs {
			if r.id == id {
				list = append(list, r)
			}
		}
		k.mu.Unlock()
	}
	return list
}

// resolve asks a front's directory for addresses, as clients do.
func (w *world) resolve(i int) (addresses []string) {
	c := http.Client{Timeout: time.Second}
	for n := range w.fronts {
		p := w.fronts[(i+n)%len(w.fronts)]
		resp, err := c.Get(fmt.Sprintf("http://%s:%d/-/resolve?name=%s&region=r&zone=z1", p.ip, frontPort+2, host))
		if err != nil {
			continue
		}
		var a struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(resp.Body).Decode(&a)
		_ = resp.Body.Close()
		if err == nil && len(a.Addresses) > 0 {
			return a.Addresses
		}
	}
	return nil
}
