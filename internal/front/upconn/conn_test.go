package upconn

import (
	"context"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// connPair returns a connection to an upstream and its far end.
func connPair(t *testing.T) (c *Conn, far net.Conn, p *Pool) {
	t.Helper()
	is := is.New(t)
	var lc net.ListenConfig
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	accepted := make(chan net.Conn)
	go func() {
		conn, _ := ln.Accept()
		accepted <- conn
	}()
	p = &Pool{}
	c, err = p.Get(t.Context(), "u", ln.Addr().String())
	is.NoErr(err)
	far = <-accepted
	t.Cleanup(c.Close)
	t.Cleanup(func() { _ = far.Close() })
	return c, far, p
}

// Guards against an upstream that ended while a front was frozen, and is taken for one whose run was interrupted here.
func TestClosedByPeer(t *testing.T) {
	cases := map[string]struct {
		sent   int // bytes that the upstream sent before
		closes bool
	}{
		"open":                {0, false},
		"open, sent":          {5000, false},
		"closed":              {0, true},
		"closed, sent before": {5000, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, far, _ := connPair(t)
			_, err := far.Write(make([]byte, c.sent))
			is.NoErr(err)
			if c.closes {
				is.NoErr(far.Close())
			}
			conn.Interrupt()
			for c.closes && !conn.ClosedByPeer() {
				runtime.Gosched() // its end takes a moment
			}
			is.Equal(conn.ClosedByPeer(), c.closes)
		})
	}
}

// Guards against a stream that can't go on since a newer connection is used, while an older one would tell the start of the upstream.
func TestOlderConnectionIsPreferred(t *testing.T) {
	cases := map[string]struct {
		by   time.Duration // from the first on; they are a second apart
		want int           // number of the connection that is used, from 0
	}{
		"any time":           {0, 2},
		"before the last":    {1500 * time.Millisecond, 1},
		"before the second":  {time.Second - 1, 0},
		"before all of them": {-time.Second, 2},
		"after all of them":  {time.Minute, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := &Pool{}
			var list []*Conn
			start := time.Now()
			for i := range 3 {
				near, far := net.Pipe()
				defer func() { _ = far.Close() }()
				conn := newConn(near, "u", "a")
				defer conn.Close()
				conn.Opened = start.Add(time.Duration(i) * time.Second)
				p.Put(conn, time.Minute)
				list = append(list, conn)
			}
			by := start.Add(c.by)
			if c.by == 0 {
				by = time.Time{}
			}
			got, err := p.GetWanted(t.Context(), "u", "a", Wanted{By: by})
			is.NoErr(err)
			is.Equal(got, list[c.want])
			is.Equal(len(p.idle["a"]), 2)
		})
	}
}

// Guards against an upstream that ended and is taken for one that goes on, and the reverse.
func TestProbe(t *testing.T) {
	is := is.New(t)
	conn, _, p := connPair(t)
	is.NoErr(p.Probe(t.Context(), "u", conn.address))
	is.True(p.Idle(conn.address)) // kept for the next request

	var lc net.ListenConfig
	ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := ln.Addr().String()
	is.NoErr(ln.Close())
	is.True(p.Probe(context.Background(), "v", address) != nil)
}

// Guards against a process that has ended, or goes on, and of which the connections tell the opposite.
func TestIsOpen(t *testing.T) {
	cases := map[string]struct {
		sends, closes bool
		open          bool
	}{
		"silent":           {false, false, true},
		"sent something":   {true, false, true},
		"closed":           {false, true, false},
		"closed behind it": {true, true, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, far, _ := connPair(t)
			if c.sends {
				_, err := far.Write([]byte("x"))
				is.NoErr(err)
			}
			if c.closes {
				is.NoErr(far.Close())
			}
			for c.sends || c.closes {
				if ok, _ := conn.reusable(); !ok {
					break // what was sent takes a moment
				}
				runtime.Gosched()
			}
			for c.sends && c.closes && !conn.ClosedByPeer() {
				runtime.Gosched()
			}
			is.Equal(conn.IsOpen(), c.open)
		})
	}
}

// Guards against an idle connection over which bytes came that would be read as the response to the next request,
// and that nobody learns of.
func TestUnsolicitedBytesAreCounted(t *testing.T) {
	cases := map[string]struct {
		sent   int  // bytes that the upstream sends while the connection is idle
		closes bool // it then closes it
		count  int64
	}{
		"none":             {0, false, 0},
		"closed":           {0, true, 0},
		"a response":       {200, false, 1},
		"one, then closed": {200, true, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, far, p := connPair(t)
			_, err := far.Write(make([]byte, c.sent))
			is.NoErr(err)
			if c.closes {
				is.NoErr(far.Close())
			}
			p.Put(conn, time.Minute)
			for c.sent > 0 || c.closes {
				if ok, _ := conn.reusable(); !ok {
					break
				}
				runtime.Gosched() // the bytes take a moment
			}
			again, err := p.Get(t.Context(), conn.upstreamID, conn.address)
			is.NoErr(err)
			defer again.Close()
			is.Equal(again == conn, c.sent == 0 && !c.closes)
			is.Equal(p.Unsolicited(), c.count)
		})
	}
}

// Guards against a connection that is used beyond the idle time of its upstream, which closes it meanwhile.
func TestIdleTimeOfUnusedConnection(t *testing.T) {
	const idle = time.Second // of the upstream
	cases := map[string]struct {
		unused []time.Duration // when the connection is taken and put back without a request, after its last one
		at     time.Duration   // when it is taken for the next request
		reused bool
	}{
		"at once":                  {nil, 0, true},
		"in time":                  {nil, idle - idleMargin - 1, true},
		"late":                     {nil, idle - idleMargin, false},
		"unused, in time":          {[]time.Duration{400 * time.Millisecond}, idle - idleMargin - 1, true},
		"unused, late":             {[]time.Duration{650 * time.Millisecond}, idle + 40*time.Millisecond, false},
		"unused twice, late":       {[]time.Duration{300 * time.Millisecond, 650 * time.Millisecond}, idle, false},
		"unused long before, late": {[]time.Duration{0}, idle - idleMargin, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				p := &Pool{Dial: func(context.Context, string) (net.Conn, error) {
					near, _ := net.Pipe()
					return near, nil
				}}
				get := func() *Conn {
					conn, err := p.Get(t.Context(), "u", "a")
					is.NoErr(err)
					return conn
				}
				p.Put(get(), idle)
				began := time.Now()
				for _, at := range c.unused {
					time.Sleep(time.Until(began.Add(at)))
					p.PutBack(get())
				}
				time.Sleep(time.Until(began.Add(c.at)))
				is.Equal(get().Reused, c.reused)
			})
		})
	}
}
