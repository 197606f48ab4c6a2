package quorum

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/disk/recsrv"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/peer/link"
)

// cluster has record servers in temporary folders, which are called without a
// network. Tests inject faults: a server is down, hangs, loses its replies, or loses
// its disk.
type cluster struct {
	t *testing.T

	mu          sync.Mutex
	servers     map[string]*recsrv.Server // by address
	down        map[string]bool
	dropReplies map[string]bool // the request is executed, but its reply is lost
	hangs       map[string]bool // never replies, as behind a network partition
	roster      roster.Roster   // as in the store
	next        int
	bytesPulled int // by servers from each other
	firstPulls  int // copies that were begun at a source that answered
}

func newCluster(t *testing.T, n, losses int) *cluster {
	cl := &cluster{t: t, servers: map[string]*recsrv.Server{}, down: map[string]bool{}, dropReplies: map[string]bool{}, hangs: map[string]bool{}}
	var members []roster.Member
	for range n {
		members = append(members, cl.add())
	}
	var ok bool
	cl.roster, ok = roster.Initial(members, losses)
	is.New(t).True(ok)
	return cl
}

// add starts a server with an empty disk.
func (cl *cluster) add() roster.Member {
	cl.next++
	name := fmt.Sprintf("n%d", cl.next)
	srv := &recsrv.Server{Dir: cl.t.TempDir(), Others: cl.peer}
	_, err := srv.Open()
	is.New(cl.t).NoErr(err)
	cl.t.Cleanup(func() { _ = srv.Close() })
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.servers[name] = srv
	return roster.Member{Node: name, Address: name, Domain: name, DiskID: srv.DiskID()}
}

// restart restarts a server's process, on the same disk.
func (cl *cluster) restart(name string) {
	cl.mu.Lock()
	old := cl.servers[name]
	cl.mu.Unlock()
	is := is.New(cl.t)
	is.NoErr(old.Close())
	srv := &recsrv.Server{Dir: old.Dir, Others: cl.peer}
	_, err := srv.Open()
	is.NoErr(err)
	cl.t.Cleanup(func() { _ = srv.Close() })
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.servers[name] = srv
}

func (cl *cluster) peer(address string) link.Invoker { return conn{cl, address} }

func (cl *cluster) set(m map[string]bool, name string, on bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	m[name] = on
}

func (cl *cluster) current() roster.Roster {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.roster
}

// replace makes the member replica i and copies the records to it, as a daemon
// with a disk does.
func (cl *cluster) replace(i int, m roster.Member) error {
	r := cl.current()
	r.Version++
	r.Replicas = append([]roster.Replica(nil), r.Replicas...)
	r.Replicas[i] = roster.Replica{Node: m.Node, Address: m.Address, Domain: m.Domain, DiskID: m.DiskID, Joining: true}
	cl.mu.Lock()
	cl.roster = r
	srv := cl.servers[m.Address]
	cl.mu.Unlock()
	if err := srv.CatchUp(context.Background(), r, cl.peer); err != nil {
		return err
	}
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.roster = cl.roster.WithJoined(m.DiskID)
	return nil
}

var errDown = errors.New("down")

// conn calls a server in the same process.
type conn struct {
	cl      *cluster
	address string
}

func (c conn) Invoke(ctx context.Context, method string, params, out any) error {
	c.cl.mu.Lock()
	srv, down, dropReplies, hangs := c.cl.servers[c.address], c.cl.down[c.address], c.cl.dropReplies[c.address], c.cl.hangs[c.address]
	c.cl.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	if srv == nil || down {
		return errDown
	}
	reply, err := srv.Serve(ctx, method, json.RawMessage(params.(link.Raw)))
	if err != nil || dropReplies {
		return errors.Join(err, errDown)
	}
	*out.(*link.Raw) = reply.(link.Raw)
	if method == recsrv.MethodPull {
		c.cl.mu.Lock()
		c.cl.bytesPulled += len(reply.(link.Raw))
		var req recsrv.PullRequest
		if err := cbor.Unmarshal(params.(link.Raw), &req); err == nil && req.First {
			c.cl.firstPulls++
		}
		c.cl.mu.Unlock()
	}
	return nil
}

// client returns a daemon's client, which starts with the current roster.
func (cl *cluster) client() *Client {
	var mu sync.Mutex
	known := cl.current()
	return &Client{
		Peer:   cl.peer,
		Roster: func() roster.Roster { mu.Lock(); defer mu.Unlock(); return known },
		Learn: func(data []byte) {
			r, err := roster.Decode(data)
			is.New(cl.t).NoErr(err)
			mu.Lock()
			defer mu.Unlock()
			if r.Version > known.Version {
				known = r
			}
		},
		Refresh: func(context.Context) {
			mu.Lock()
			defer mu.Unlock()
			known = cl.current()
		},
	}
}

func reserve(program, attempt string, maxTokens int) index.Record {
	return index.Record{Program: program, Attempt: attempt, Reserved: true, MaxTokens: maxTokens, TTL: 60_000}
}

func turn(attempt, previous string) index.Record {
	return index.Record{Attempt: attempt, TTL: 60_000, Turn: &index.Turn{Previous: previous, Input: []byte(attempt)}}
}

func attempt(t *testing.T, data []byte) string {
	t.Helper()
	r, err := index.Decode(data)
	is.New(t).NoErr(err)
	return r.Attempt
}
