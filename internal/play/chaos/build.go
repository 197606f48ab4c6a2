package chaos

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/fake/upstrm"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

// Defaults of Runner.
const (
	defaultMemoryMB    = 200
	defaultDescriptors = 4096
)

// versions are those of the upstreams' software.
var versions = []string{"v1", "v2"}

// startAll starts the fakes, the proxies and the processes.
func (s *Runner) startAll(ctx context.Context) error {
	s.metakv.Put("op/config", operatorConfig())
	if err := s.startUpstreams(ctx); err != nil {
		return err
	}
	return s.startProcesses(ctx)
}

// begin starts everything for a run without callers and faults of its own, and waits until all fronts serve. End stops it.
func (s *Runner) begin(ctx context.Context) (end func(), err error) {
	unlock, err := s.lock(ctx)
	if err != nil {
		return nil, err
	}
	s.rnd = rand.New(rand.NewPCG(s.Seed, 1))
	s.observed.attempts = map[string]observed{}
	if err = s.startAll(ctx); err != nil {
		unlock()
		return nil, err
	}
	end = func() {
		s.stopAll()
		unlock()
	}
	if err = s.awaitService(ctx, startTimeout); err != nil {
		end()
		return nil, errors.Wrap(err, "start")
	}
	return end, nil
}

// startProcesses starts the store and the processes.
func (s *Runner) startProcesses(ctx context.Context) error {
	store, err := serve(ctx, &s.metakv, anyPort)
	if err != nil {
		return err
	}
	for i := range s.Fronts {
		ip := s.ip(1, i)
		c, err := s.process(ctx, store, "front", i, ip)
		if err != nil {
			return err
		}
		p := &Proxy{Target: fmt.Sprintf("%s:%d", ip, basePort)}
		if err = p.Start(ctx, "127.0.0.1"); err != nil {
			return err
		}
		s.frontProxies = append(s.frontProxies, p)
		s.directories = append(s.directories, fmt.Sprintf("%s:%d", ip, basePort+2))
		s.fronts = append(s.fronts, c)
	}
	for i := range s.Disks {
		c, err := s.process(ctx, store, "storage", i, s.ip(2, i))
		if err != nil {
			return err
		}
		s.disks = append(s.disks, c)
	}
	for _, c := range slices.Concat(s.disks, s.fronts) {
		if err = c.start(); err != nil {
			return err
		}
	}
	return nil
}

// startUpstreams starts the upstreams, each behind a proxy. It writes their store
// entries every entryInterval, which real upstreams do themselves.
func (s *Runner) startUpstreams(ctx context.Context) error {
	s.entries = map[string]map[string]any{}
	for i := range s.Upstreams {
		service := []string{"model", "plain"}[i%2]
		u := &upstrm.Upstream{ID: fmt.Sprintf("i-%d", i), RunLog: &s.runLog, MaxInFlight: 16, Delay: 8 * time.Millisecond}
		u.Version.Store(versions[i/2%len(versions)])
		address, err := serve(ctx, u, anyPort)
		if err != nil {
			return err
		}
		p := &Proxy{Target: address}
		if err = p.Start(ctx, "127.0.0.1"); err != nil {
			return err
		}
		s.upstreams, s.upstreamProxies = append(s.upstreams, u), append(s.upstreamProxies, p)
		address = p.Address // of all its starts
		register := func() {
			s.entriesMu.Lock()
			defer s.entriesMu.Unlock()
			s.entries[u.ID] = map[string]any{
				"service": service, "address": address, "zone": fmt.Sprintf("z%d", i%3), "version": u.Version.Load(), "max-batch": u.MaxInFlight,
				"state": "ready", "cold-remaining-ms": 0, "born": time.Now().UnixMilli(),
			}
			s.metakv.Put("servers/"+u.ID, s.entries[u.ID])
		}
		register()
		var down atomic.Bool
		u.Restart = func() bool {
			ended := down.CompareAndSwap(false, true)
			if ended {
				s.restartUpstream(ctx, u, p, register, &down)
			}
			return ended
		}
	}
	go s.writeEntries(ctx)
	return nil
}

// writeEntries writes the upstreams' store entries until ctx ends.
func (s *Runner) writeEntries(ctx context.Context) {
	for ctx.Err() == nil {
		s.entriesMu.Lock()
		for id, entry := range s.entries {
			s.metakv.Put("servers/"+id, entry)
		}
		s.entriesMu.Unlock()
		pause.For(ctx, entryInterval)
	}
}

// process creates the settings file, log file and store proxy of process i of a
// role. It does not start the process.
func (s *Runner) process(ctx context.Context, store, role string, i int, ip string) (*process, error) {
	p := &Proxy{Target: store}
	if err := p.Start(ctx, "127.0.0.1"); err != nil {
		return nil, err
	}
	s.storeProxies = append(s.storeProxies, p)
	name := fmt.Sprintf("%s-%d", role, i)
	c := &process{name: name, role: role, command: s.Command, other: s.Other, starts: i, settings: s.path(name + ".yaml")}
	listen, dir := "", "null"
	if role == "front" {
		listen = fmt.Sprintf("{front: %q, ready: %q, directory: %q}", fmt.Sprintf("%s:%d", ip, basePort), fmt.Sprintf("%s:%d", ip, basePort+1), fmt.Sprintf("%s:%d", ip, basePort+2))
	} else {
		c.dir = s.path(name)
		dir = fmt.Sprintf("%q", c.dir)
		listen = fmt.Sprintf("{control: %q}", fmt.Sprintf("%s:%d", ip, basePort+3))
	}
	text := fmt.Sprintf(`node-name: %q
machine-class: %q
ip: %q
zone: "z%d"
region: "r"
listen: %s
port-range: [%d, %d]
seeds: ["%s:%d", "%s:%d", "%s:%d"]
bootstrap: true
loss-counts: %v
limits: {cpu-share: 1, cores: 1, memory-mb: %d, max-fds: %d, disk-mb: 300}
data-dir: %s
heartbeat-ms: 1000
fault-tolerance: {machines: 1, zones: 0, regions: 0}
bounds: {drain-ms: 2000, grace-s: 8, ttl_max_s: 5}
platform: {address: %q, writes-per-s: 400, reads-per-s: 2000, value-bytes: 1048576, ttl-min-ms: 1000}
`, name, role, ip, i%3, listen, peerPort, peerPort+15, s.ip(2, 0), basePort+3, s.ip(2, 1), basePort+3, s.ip(2, 2), basePort+3, role == "storage", s.memoryMB(role), cmp.Or(s.Descriptors, defaultDescriptors), dir, p.Address)
	if err := os.WriteFile(c.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	c.log, err = os.Create(s.path(name + ".log"))
	return c, err
}

// memoryMB returns the memory of a VM with the role.
func (s *Runner) memoryMB(role string) int {
	if role == "storage" && s.diskMemoryMB > 0 {
		return s.diskMemoryMB
	}
	return cmp.Or(s.MemoryMB, defaultMemoryMB)
}

// ip returns the address of process i: group 1 are the fronts, group 2 those with a disk.
func (s *Runner) ip(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", s.Net, group, i+1) }

// operatorConfig returns the operator's configuration: four routes to the services
// model and plain.
func operatorConfig() map[string]any {
	route := func(path, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": path, "host": host, "path-prefix": "/" + path + "/", "kind": kind, "service": service,
			"timeout-ms": attemptTimeout.Milliseconds(), "target-latency-ms": 250, "max-attempts": 2,
		}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	routes := []any{
		route("turn", "streaming", "model", map[string]any{"max-attempts": 1, "retain": true, "retention-s": 60.0}),
		route("resume", "streaming", "model", map[string]any{"max-attempts": 1, "can-resume": true, "retain": false, "retention-s": 60.0}),
		route("stored", "streaming", "model", map[string]any{"max-attempts": 1, "can-resume": true, "retain": true, "retention-s": 60.0}),
		route("safe", "safe", "plain", nil),
		route("unsafe", "unsafe", "plain", nil),
	}
	routes = append(routes, route("chain", "streaming", "model", map[string]any{
		"timeout-ms": chainTimeout.Milliseconds(), "max-attempts": 1, "retain": true, "retention-s": chainRetention.Seconds(), "gap-aim-ms": 2 * longestEvent.Milliseconds(),
	}))
	for i := range slowRoutes {
		routes = append(routes, route(fmt.Sprint("slow", i), "unsafe", "plain", map[string]any{"timeout-ms": slowTimeout.Milliseconds()}),
			route(fmt.Sprint("slow-turn", i), "streaming", "model", map[string]any{
				"timeout-ms": slowTimeout.Milliseconds(), "max-attempts": 1, "retain": true, "retention-s": 60.0, "gap-aim-ms": slowTimeout.Milliseconds(),
			}))
	}
	return map[string]any{
		"version": 3,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "model", "health-path": "/health", "max-conns": 200, "runtime": map[string]any{"max-batch": 16, "tokens-per-event": tokensPerEvent}},
			map[string]any{"name": "plain", "health-path": "/health", "max-conns": 200},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
