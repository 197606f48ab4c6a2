package daemon

import (
	"context"
	"crypto/subtle"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/apply"
	"github.com/slaterock/slaterock/internal/edge/locate"
	"github.com/slaterock/slaterock/internal/edge/relay"
	"github.com/slaterock/slaterock/internal/edge/server"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/plat/head"
	"github.com/slaterock/slaterock/internal/plat/meter"
	"github.com/slaterock/slaterock/internal/shard/owner"
)

const operatorName = "operator"

type (
	// Status is the system's state as one daemon knows it.
	Status struct {
		Daemon  string        `json:"daemon"`
		Version uint64        `json:"config_version"`
		Shards  int           `json:"shards"`
		Members []swim.Member `json:"members"`
		Store   meter.Counts  `json:"store"`
		Age     time.Duration `json:"store_age"` // time since any daemon is known to have reached the store
	}
)

func (d *Daemon) assembleEdge(context.Context) {
	d.relay = relay.Relay{
		Self:    d.self.Name,
		Local:   &d.shards,
		Members: d.gossip.Members,
		Shards:  d.shardCount,
		Peer:    d.remote,
		Unsent: func(err error) bool {
			var e *link.Error
			return errors.As(err, &e) && !e.MayHaveRun
		},
	}
	b, t := d.Settings.Bounds, d.Settings.Timeouts
	d.server = server.Server{
		Runner:  &d.relay,
		Config:  d.config.Current,
		Account: d.authenticate,
		Entries: func(program string) locate.Answer {
			return locate.Entries(d.gossip.Members(), program, d.shardCount(), rand.Uint64())
		},
		Ready:       d.isReady,
		Logs:        d.Logs,
		Trace:       d.Trace,
		Scope:       d.Metric.Scope(),
		Metrics:     d.Metric.Serve,
		MaxBody:     b.BodyBytes,
		MaxCalls:    b.Calls,
		Status:      func(context.Context) any { return d.Status() },
		Drain:       d.Drain,
		Apply:       d.apply,
		Text:        func() ([]byte, uint64) { return server.AssembleText(d.config.Answer) },
		MaxHeader:   b.HeaderBytes,
		MaxConns:    b.Connections,
		Clients:     d.clients,
		ReadTimeout: t.Read,
		SendTimeout: t.Write,
		IdleTimeout: t.Idle,
	}
}

// authenticate returns the account of a key and whether it is an operator's. The operator's key
// in the settings is valid even before a configuration is in force.
func (d *Daemon) authenticate(key string) (name string, operator, ok bool) {
	if k := d.Settings.Daemon.OperatorKey; k != "" && subtle.ConstantTimeCompare([]byte(k), []byte(key)) == 1 {
		return operatorName, true, true
	}
	name, a, ok := d.config.Current().Authenticate(key)
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

// Status returns the system's state as this daemon knows it.
func (d *Daemon) Status() Status {
	return Status{
		Daemon:  d.self.Name,
		Version: d.config.Current().Version,
		Shards:  d.shardCount(),
		Members: d.gossip.Members(),
		Store:   d.meter.Counts(),
		Age:     d.gossip.StoreAge(),
	}
}

func (d *Daemon) apply(ctx context.Context, text []byte, from uint64) server.Applied {
	out, err := d.config.Apply(ctx, apply.Request{Name: "configuration", Text: text, Base: from, By: operatorName})
	return server.NewApplied(from, out, err)
}

// recordCall is called when a call has ended at its owner. It adds the call to the recording for
// replays and updates the metrics. The log line of the request is written by the daemon that the
// caller is connected to.
func (d *Daemon) recordCall(l owner.Log) {
	c := l.Call
	d.Recorder.Call(l.Account, l.Program, c)
	scope := d.scope.Tagged(map[string]string{"kind": string(c.Kind), "code": string(c.Result.Code)})
	scope.Counter("calls_ended").Inc(1)
	scope.Timer("call_time").Record(c.End.Sub(c.Start))
	d.scope.Counter("prompt_tokens").Inc(int64(c.Result.Prompt))
	d.scope.Counter("cached_tokens").Inc(int64(c.Result.Cached))
	d.scope.Counter("output_tokens").Inc(int64(c.Result.Output))
	d.scope.Counter("attempts").Inc(int64(len(c.Tries)))
}

// recordBroken is called for a response of an upstream whose header is broken.
func (d *Daemon) recordBroken(request, upstream string, err *head.Error) {
	d.log.Warn().Str("request", request).Str("upstream", upstream).Err(err).Msg("broken response")
	d.scope.Tagged(map[string]string{"part": string(err.Part)}).Counter("responses_broken").Inc(1)
}
