package frontd

import (
	"io"
	"log"
	"strconv"
	"time"

	"github.com/slaterock/slaterock/internal/disk/index"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

// maxUpstreamLines is how many changed upstreams of one event get a line of their own. At a
// start all of them change, thousands in a large fleet.
const maxUpstreamLines = 64

// transition is a change of an upstream's state.
type transition struct{ from, to string }

// apply applies an update to the fleet's state and logs the changes.
func (d *Daemon) apply(n fleet.Event, cause error) { d.applyAt(time.Now(), n, cause) }

func (d *Daemon) applyAt(now time.Time, n fleet.Event, cause error) {
	upstreams := 0
	more := map[transition]int{}
	for _, c := range d.fleet.Update(now, n) {
		if c.Kind == "upstream" {
			if upstreams++; upstreams > maxUpstreamLines {
				more[transition{c.From, c.To}]++
				continue
			}
		}
		line := d.Log.Info()
		switch c.Kind {
		case "outage":
			line = d.Log.Warn().Err(cause).Str("dependency", "store")
		case "regained":
			line = line.Str("dependency", "store")
		case "return":
			d.Scope.Counter("store_returns").Inc(1)
			line = line.Str("dependency", "store").Str("away", c.From)
		case "config":
			t := d.fleet.View().Table
			line = line.Int64("version", t.Version).Uint64("config_revision", t.Revision).Int("routes", t.Len()).
				Dur("state_age_ms", now.Sub(d.fleet.View().Confirmed))
		default:
			line = line.Str("upstream", c.ID).Str("from", c.From).Str("to", c.To)
		}
		line.Str("by", source(n)).Uint64("revision", d.fleet.View().Revision).Msg("state changed: " + c.Kind)
	}
	if upstreams > 0 {
		d.reportLeft(now)
	}
	for t, count := range more {
		d.Log.Info().Int("more", count).Str("from", t.from).Str("to", t.to).Str("by", source(n)).
			Uint64("revision", d.fleet.View().Revision).Msg("state changed: upstreams")
	}
}

// reportLeft logs the upstreams that left soon after they ran a request without a whole good answer:
// the request may be what ended them.
func (d *Daemon) reportLeft(now time.Time) {
	v := d.fleet.View()
	listed := func(s index.Start) bool {
		u, found := v.Find(s.ID)
		return found && u.Born == s.Born
	}
	for _, r := range d.proxy.Failed.TakeLeft(now, listed) {
		d.Scope.Tagged(map[string]string{"end": r.End}).Counter("runs_upstream_left").Inc(1)
		d.Log.Info().Str("request", r.Request).Str("request_key", strconv.FormatUint(r.Key, 16)).Str("upstream", r.Upstream.ID).
			Int64("born", r.Upstream.Born).Str("end", r.End).Dur("after_ms", now.Sub(r.At)).Msg("upstream left after a run")
	}
}

func source(n fleet.Event) string {
	switch n.(type) {
	case fleet.Snapshot, fleet.Changes:
		return "store"
	case fleet.PeerSnapshot, fleet.PeerDelta, fleet.Confirmed, fleet.PeerAvailability:
		return "peer"
	default:
		return ""
	}
}

// discardLog returns a logger for HTTP servers that drops their lines: a caller that
// disconnects is not worth a line in the daemon's log.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// reportState updates gauges of the present state, which stay available after the log lines
// about its changes have been rotated away.
func (d *Daemon) reportState(now time.Time) {
	v := d.fleet.View()
	if v.Confirmed.IsZero() {
		return
	}
	d.Scope.Gauge("news_age_seconds").Update(now.Sub(v.Confirmed).Seconds())
	d.Scope.Gauge("upstreams_listed").Update(float64(v.Listed.Len()))
	d.Scope.Gauge("upstreams_leaving").Update(float64(v.Listed.Leaving()))
	if v.Table != nil {
		d.Scope.Gauge("config_version").Update(float64(v.Table.Version))
	}
	d.Scope.Gauge("upstreams_missing").Update(float64(v.Retained.Len()))
}
