package daemon

import (
	"context"
	"crypto/subtle"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/apply"
	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/edge/relay"
	"github.com/slaterock/slaterock/internal/edge/server"
	"github.com/slaterock/slaterock/internal/peer/beat"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/plat/meter"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

const operatorName = "operator"

type (
	// Status is what a daemon knows of the system.
	Status struct {
		Daemon  string        `json:"daemon"`
		Version uint64        `json:"config_version"`
		Shards  int           `json:"shards"`
		Members []beat.Member `json:"members"`
		Store   meter.Counts  `json:"store"`
		Age     time.Duration `json:"store_age"` // since anybody reached the store
	}
)

func (d *Daemon) assembleEdge(context.Context) {
	d.relay = relay.Relay{
		Self:    d.self.Name,
		Local:   &d.shards,
		Members: d.gossip.Members,
		Shards:  d.shardCount,
		Peer:    d.peer,
		Unsent: func(err error) bool {
			var e *link.Error
			return errors.As(err, &e) && !e.Sent
		},
	}
	b, t := d.Settings.Bounds, d.Settings.Timeouts
	d.server = server.Server{
		Runner:  &d.relay,
		Config:  d.keeper.Current,
		Account: d.account,
		Entries: func(program string) locate.Answer {
			return locate.Entries(d.gossip.Members(), program, d.shardCount())
		},
		Ready:       d.isReady,
		Status:      func(context.Context) any { return d.Status() },
		Drain:       d.Drain,
		Apply:       d.apply,
		MaxHeader:   b.HeaderBytes,
		MaxConns:    b.Connections,
		ReadTimeout: t.Read,
		SendTimeout: t.Write,
		IdleTimeout: t.Idle,
	}
}

// account finds who a key belongs to. The operator's key of the settings works
// before any configuration is in force.
func (d *Daemon) account(key string) (name string, operator, ok bool) {
	if k := d.Settings.Daemon.OperatorKey; k != "" && subtle.ConstantTimeCompare([]byte(k), []byte(key)) == 1 {
		return operatorName, true, true
	}
	name, a, ok := d.keeper.Current().Authenticate(key)
	return name, a.Operator, ok
}

func (d *Daemon) isReady() error {
	select {
	case <-d.drain:
		return errDraining
	case <-d.ready:
		return nil
	default:
		return errNotReady
	}
}

// Status tells what this daemon knows of the system.
func (d *Daemon) Status() Status {
	return Status{
		Daemon:  d.self.Name,
		Version: d.keeper.Current().Version,
		Shards:  d.shardCount(),
		Members: d.gossip.Members(),
		Store:   d.meter.Counts(),
		Age:     d.gossip.StoreAge(),
	}
}

func (d *Daemon) apply(ctx context.Context, text []byte, from uint64) server.Applied {
	out, err := d.keeper.Apply(ctx, apply.Request{Name: "configuration", Text: text, Base: from, By: operatorName})
	if err == nil {
		return server.Applied{Version: out.Head.Version}
	}
	var c *apply.ConflictError
	if errors.As(err, &c) {
		return server.Applied{Conflict: true, Version: c.Found, Base: c.Base, Message: err.Error()}
	}
	return server.Applied{Message: err.Error()}
}

// ended writes the one line that each request leaves in the log.
func (d *Daemon) ended(l owner.Log) {
	c := l.Call
	e := d.Log.Info()
	if !c.Result.OK() {
		e = d.Log.Warn()
	}
	upstream := ""
	if n := len(c.Tries); n > 0 {
		upstream = c.Tries[n-1].Upstream
	}
	e.Str("request", c.Request).Str("account", l.Account).Str("program", l.Program).Int("call", c.Number).
		Str("kind", string(c.Kind)).Str("target", c.Target).Str("code", string(c.Result.Code)).
		Str("ran", string(c.Result.Ran)).Int("attempts", len(c.Tries)).Str("upstream", upstream).
		Int("prompt_tokens", c.Result.Prompt).Int("cached_tokens", c.Result.Cached).
		Int("output_tokens", c.Result.Output).Dur("took", c.End.Sub(c.Start)).Msg("request ended")
}
