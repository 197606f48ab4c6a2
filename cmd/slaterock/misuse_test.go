//go:build crowd

package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/play/chaos"
	"github.com/slaterock/slaterock/internal/play/crowd"
	"github.com/slaterock/slaterock/internal/play/procs"
	"github.com/slaterock/slaterock/internal/prog/call"
)

const (
	// smallMemoryMB is the memory of the smallest VMs, and smallDescriptors are fewer descriptors than the
	// smallest have, so that small crowds suffice.
	smallMemoryMB     = 88
	smallDiskMemoryMB = 130
	smallDescriptors  = 600
	manyFronts        = 8

	// daemonMemoryMB, daemonConnections and daemonDescriptors are the bounds of a daemon.
	daemonMemoryMB    = 128
	daemonConnections = 200
	daemonDescriptors = 400

	crowdTime = 3 * time.Second // that clients stay before the first ordinary request

	longestHead = 16_000
	longestBody = 4 << 20
	shopHost    = "shop.example"
)

// Each crowd keeps to the limits of the configuration, or sends more than them to a listener that is not for
// callers, and would have the process take more than its VM has. Guards against processes that run out of
// memory or descriptors, and against ordinary callers that get no answer beside such clients.
func TestMisuse(t *testing.T) {
	shortLines := crowd.Request{Path: "/safe/x", Host: shopHost, HeadBytes: longestHead, LineBytes: 5, BodyBytes: 1000, Missing: 1}
	distinctLines := shortLines
	distinctLines.LineBytes, distinctLines.DistinctIn = 7, 4
	noEnd := shortLines
	noEnd.NoEnd = true
	unknownRoute := shortLines
	unknownRoute.Path = "/nowhere/x"
	megabyte := crowd.Request{Method: "GET", Path: "/-/resolve?name=" + shopHost, Host: shopHost, HeadBytes: 1_000_000, LineBytes: 5}
	readyHead := megabyte
	readyHead.Path = "/-/ready"
	metricsHead := megabyte
	metricsHead.Path = "/metrics"
	plain := crowd.Request{Method: "GET", Path: "/safe/x", Host: shopHost}
	long := plain
	long.Path = "/safe/x?bytes=4000000"
	ahead := plain
	ahead.HeadBytes, ahead.LineBytes = longestHead, 80
	body := func(chunk, missing int) crowd.Request {
		return crowd.Request{Path: "/safe/x", Host: shopHost, BodyBytes: longestBody, ChunkBytes: chunk, Missing: missing}
	}
	smallChunks := body(1, 1)
	smallChunks.BodyBytes = 3 << 20
	turn := []string{"Program-Id: crowd-{id}", "Token-Budget: 1000", "Token-Usage: 10,60"}
	stored := body(0, 0)
	stored.Path, stored.Header = "/stored/x?events=3", turn
	history := crowd.Request{
		Path: "/turn/x?events=3", Host: shopHost, BodyBytes: longestBody / 4,
		Header: []string{"Program-Id: crowd-{client}", "Token-Budget: 1000", "Token-Usage: 10,60", "Previous-Turn: {before}"},
	}
	extended := body(10, 1)
	extended.ChunkExtension = 2000
	trailers := crowd.Request{Path: "/safe/x", Host: shopHost, BodyBytes: 10, ChunkBytes: 10, TrailerBytes: 1 << 20}
	longIDs := crowd.Request{Method: "GET", Path: "/safe/x?{id}", Host: shopHost, Header: []string{"Program-Id: {id}-" + strings.Repeat("p", 150), "Session-Id: {id}-" + strings.Repeat("s", 14_000)}}
	stream := crowd.Request{Path: "/resume/x?events=100000", Host: shopHost, BodyBytes: 10, Header: turn}
	cases := map[string]*chaos.Misuse{
		"heads_of_short_lines":    {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 500, Request: shortLines}},
		"heads_of_distinct_lines": {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 300, Request: distinctLines}},
		"whole_short_lines":       {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 300, Request: shortLines, Before: 20}},
		"heads_without_end":       {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 1000, Request: noEnd}},
		"unknown_routes":          {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 300, Request: unknownRoute, Before: 20}},
		"bodies_short_of_end":     {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 60, Request: body(0, 1)}},
		"whole_bodies":            {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 60, Request: body(0, 0), Before: 2}},
		"chunked_bodies":          {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 60, Request: body(64<<10, 1)}},
		"whole_chunked_bodies":    {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 60, Request: body(64<<10, 0), Before: 2}},
		"bodies_in_small_chunks":  {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 60, Request: smallChunks}},
		"stored_bodies":           {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 60, Request: stored, Before: 2}},
		"long_histories":          {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 60, Request: history, Before: 5}},
		"stored_bodies_at_all":    {Listener: chaos.Callers, EachFront: true, Crowd: crowd.Crowd{Clients: 20, Request: stored, Before: 4}},
		"long_histories_at_all":   {Listener: chaos.Callers, EachFront: true, Crowd: crowd.Crowd{Clients: 20, Request: history, Before: 5}},
		"chunk_extensions":        {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 60, Request: extended}},
		"long_trailers":           {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 300, Request: trailers}},
		"long_ids":                {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 300, Request: longIDs, Before: 20}},
		"unread_streams":          {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 200, Request: stream, NoRead: true}},
		"silent_connections":      {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 900, Silent: true}},
		"idle_connections":        {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 900, Request: plain}},
		"requests_sent_ahead":     {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 200, Request: ahead, Ahead: 400, NoRead: true}},
		"unread_responses":        {Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 100, Request: long, NoRead: true}},
		"directory_heads":         {Listener: chaos.Directory, Crowd: crowd.Crowd{Clients: 40, Request: megabyte}},
		"directory_silent":        {Listener: chaos.Directory, Crowd: crowd.Crowd{Clients: 900, Silent: true}},
		"ready_heads":             {Listener: chaos.Ready, Crowd: crowd.Crowd{Clients: 40, Request: readyHead}},
		"metrics_heads":           {Listener: chaos.Metrics, Crowd: crowd.Crowd{Clients: 40, Request: metricsHead}},
		"metrics_idle":            {Listener: chaos.Metrics, Crowd: crowd.Crowd{Clients: 900, Request: crowd.Request{Method: "GET", Path: "/none", Host: shopHost}}},
		"peers_silent":            {Listener: chaos.Peers, Crowd: crowd.Crowd{Clients: 900, Silent: true}},
		"disk_peers_silent":       {Listener: chaos.DiskPeers, Crowd: crowd.Crowd{Clients: 900, Silent: true}},
		"control_silent":          {Listener: chaos.Control, Crowd: crowd.Crowd{Clients: 900, Silent: true}},
	}
	for name, m := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			t.Setenv(mainEnv, "1")
			m.Runner, m.DiskMemoryMB = smallVMs(t), smallDiskMemoryMB
			if m.EachFront {
				m.Fronts = manyFronts
			}
			sum, err := m.Run(t.Context())
			logUsage(t, sum)
			is.NoErr(err)
		})
	}
}

// Upstreams answer a crowd of requests with bytes that have no end. Guards against a front that keeps them all and ends, with
// the requests of other callers, and against a success that is none.
func TestMisuseByUpstreams(t *testing.T) {
	turn := []string{"Program-Id: crowd-{id}", "Token-Budget: 1000", "Token-Usage: 10,60"}
	plain := func(how string) crowd.Request {
		return crowd.Request{Method: "GET", Path: "/safe/x?endless=" + how, Host: shopHost}
	}
	stream := func(path, how string) crowd.Request {
		return crowd.Request{Path: path + "x?endless=" + how, Host: shopHost, BodyBytes: 10, Header: turn}
	}
	cases := map[string]crowd.Request{
		"status_line": plain("status"), "one_header": plain("header"), "many_headers": plain("headers"), "no_answer": plain("noise"),
		"informational": plain("informational"), "chunks": plain("chunks"), "stated_length": plain("length"), "to_the_close": plain("close"),
		"unsafe_chunks":        {Path: "/unsafe/x?endless=chunks", Host: shopHost, BodyBytes: 10},
		"head_of_a_stream":     stream("/resume/", "headers"),
		"one_event":            stream("/resume/", "event"),
		"event_of_a_turn":      stream("/turn/", "event"),
		"events_of_a_turn":     stream("/turn/", "events"),
		"events_taken_up":      stream("/stored/", "events"),
		"events_not_stored":    stream("/resume/", "events"),
		"plain_body_of_a_turn": stream("/turn/", "length"),
	}
	for name, r := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			t.Setenv(mainEnv, "1")
			m := &chaos.Misuse{Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 60, Request: r, Before: 2}}
			m.Runner, m.DiskMemoryMB = smallVMs(t), smallDiskMemoryMB
			sum, err := m.Run(t.Context())
			logUsage(t, sum)
			is.NoErr(err)
			isStream := strings.HasPrefix(name, "event") || name == "plain_body_of_a_turn" // its status comes before what shows
			for _, result := range m.Results() {
				is.True(isStream || name == "one_event" || result.Status != 200)
			}
		})
	}
}

// The same for a daemon that serve runs. Guards against clients without a key that have it hold whole bodies.
func TestMisuseOfDaemon(t *testing.T) {
	key := []string{"Authorization: Bearer " + testKey, "Slaterock-Program: crowd", "Slaterock-Call: 0"}
	body := func(chunk, missing int, header []string) crowd.Request {
		return crowd.Request{Path: "/v1/services/receipts/issue", Host: "d0", Header: header, BodyBytes: longestBody, ChunkBytes: chunk, Missing: missing}
	}
	smallChunks := body(1, 1, nil)
	smallChunks.BodyBytes = 3 << 20
	noEnd := crowd.Request{Path: "/v1/programs", Host: "d0", HeadBytes: 7000, LineBytes: 5, NoEnd: true}
	cases := map[string]struct {
		peers bool // at the listener for other daemons
		crowd *crowd.Crowd
	}{
		"bodies_without_key":       {crowd: &crowd.Crowd{Clients: 60, Request: body(0, 1, nil)}},
		"small_chunks_without_key": {crowd: &crowd.Crowd{Clients: 60, Request: smallChunks}},
		"bodies_with_key":          {crowd: &crowd.Crowd{Clients: 60, Request: body(0, 1, key)}},
		"whole_bodies_with_key":    {crowd: &crowd.Crowd{Clients: 60, Request: body(0, 0, key), Before: 2}},
		"chunked_bodies_with_key":  {crowd: &crowd.Crowd{Clients: 60, Request: body(64<<10, 1, key)}},
		"heads_without_end":        {crowd: &crowd.Crowd{Clients: 900, Request: noEnd}},
		"silent_connections":       {crowd: &crowd.Crowd{Clients: 900, Silent: true}},
		"peers_silent":             {peers: true, crowd: &crowd.Crowd{Clients: 900, Silent: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := (&system{t: t, bounds: fmt.Sprintf("[bounds]\nconnections = %d\nmemory_mb = %d\ndescriptors = %d\n", daemonConnections, daemonMemoryMB, daemonDescriptors)}).run()
			c.crowd.Address = s.callerAddresses[0]
			if c.peers {
				c.crowd.Address = s.peerAddresses[0]
			}
			u := s.playCrowd(c.crowd)
			t.Logf("%d MB, %d descriptors, %s", u.Memory>>20, u.Descriptors, c.crowd.Summary())
			is.NoErr(u.Err)
			is.True(u.Memory <= daemonMemoryMB<<20)
			is.True(u.Descriptors <= daemonDescriptors)
			is.NoErr(s.procs[0].Process.Signal(syscall.Signal(0))) // it lives
		})
	}
}

// playCrowd has the crowd come to the first daemon, sends an ordinary request beside it and another one after
// it, and returns what the daemon held at most.
func (s *system) playCrowd(c *crowd.Crowd) *procs.Usage {
	u := &procs.Usage{PID: s.procs[0].Process.Pid, IP: net.ParseIP(strings.Split(c.Address, ":")[0])}
	ctx, stop := context.WithCancel(s.ctx)
	crowdCtx, stopCrowd := context.WithCancel(s.ctx)
	var watch, work sync.WaitGroup
	watch.Go(func() { u.Watch(ctx) })
	work.Go(func() { c.Play(crowdCtx) })
	time.Sleep(crowdTime)
	s.awaitReceipt("beside")
	stopCrowd()
	work.Wait()
	s.awaitReceipt("after")
	stop()
	watch.Wait()
	return u
}

// awaitReceipt calls a service through the first daemon until it is answered.
func (s *system) awaitReceipt(program string) {
	s.waitUntil("an ordinary request is answered "+program+" the crowd", func() bool {
		c := s.client(0)
		if err := c.Open(s.ctx, call.Open{Program: program}); err != nil {
			return false
		}
		_, err := c.Service(s.ctx, program, 0, "receipts/issue", []byte(`{"kg":5}`))
		return err == nil
	})
}

// The largest single requests inside the limits, one after another in calm on the smallest VM. Guards against bounds that
// refuse them.
func TestMisuseBoundsServeTheLargest(t *testing.T) {
	head := crowd.Request{Path: "/safe/x", Host: shopHost, HeadBytes: longestHead, LineBytes: 5}
	request := func(path string, chunk int) crowd.Request {
		return crowd.Request{Path: path, Host: shopHost, BodyBytes: longestBody, ChunkBytes: chunk}
	}
	stored := request("/stored/x?events=3", 0)
	stored.Header = []string{"Program-Id: largest-{id}", "Token-Budget: 1000", "Token-Usage: 10,60"}
	cases := map[string]crowd.Request{
		"head":               head,
		"body":               request("/unsafe/x", 0),
		"body in chunks":     request("/unsafe/x", 64<<10),
		"body in bytes":      request("/safe/x", 1),
		"response":           {Method: "GET", Path: "/safe/x?bytes=4000000", Host: shopHost},
		"stored turn's body": stored,
	}
	for name, r := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			t.Setenv(mainEnv, "1")
			m := &chaos.Misuse{Listener: chaos.Callers, Crowd: crowd.Crowd{Clients: 1, Request: r, Before: 2}}
			m.Runner, m.DiskMemoryMB = smallVMs(t), smallDiskMemoryMB
			sum, err := m.Run(t.Context())
			logUsage(t, sum)
			is.NoErr(err)
			for _, result := range m.Results() {
				is.Equal(result.Status, 200)
			}
			is.Equal(len(m.Results()), 3)
		})
	}
}

// smallVMs returns a front and three VMs with a disk.
func smallVMs(t *testing.T) *chaos.Runner {
	return &chaos.Runner{
		Seed: 1, Fronts: 1, Disks: 3, Upstreams: 2, MemoryMB: smallMemoryMB, Descriptors: smallDescriptors,
		Command: []string{os.Args[0]}, Dir: t.TempDir(), Out: t.Output(),
	}
}

func logUsage(t *testing.T, sum chaos.MisuseSummary) {
	for name, u := range map[string]procs.Usage{"front": sum.Front, "disk": sum.Disk} {
		t.Logf("%s: %d MB (%d unread), %d descriptors", name, u.Memory>>20, u.Unread>>20, u.Descriptors)
	}
	t.Log(sum.Crowd)
}
