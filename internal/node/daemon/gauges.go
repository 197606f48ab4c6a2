package daemon

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/peer/swim"
)

const gaugeInterval = time.Second

// reportGauges updates the metrics of this daemon and of the system every gaugeInterval.
func (d *Daemon) reportGauges(ctx context.Context) {
	t := time.NewTicker(gaugeInterval)
	defer t.Stop()
	scope := d.Metric.Scope().SubScope("node")
	last := d.meter.Counts()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		states := map[swim.State]int{}
		for _, m := range d.gossip.Members() {
			states[m.State]++
		}
		for _, s := range []swim.State{swim.Alive, swim.Draining, swim.Suspect, swim.Down} {
			scope.Tagged(map[string]string{"state": string(s)}).Gauge("daemons").Update(float64(states[s]))
		}
		scope.Gauge("shards_owned").Update(float64(len(d.shards.List())))
		scope.Gauge("config_version").Update(float64(d.config.Current().Version))
		scope.Gauge("store_age_seconds").Update(d.gossip.StoreAge().Seconds())
		d.sheds.Report(d.clients)
		now := d.meter.Counts()
		scope.Counter("store_reads").Inc(int64(now.Reads - last.Reads))
		scope.Counter("store_writes").Inc(int64(now.Writes - last.Writes))
		scope.Counter("store_watches").Inc(int64(now.Watches - last.Watches))
		scope.Counter("store_failures").Inc(int64(now.Failed - last.Failed))
		scope.Counter("store_responses_broken").Inc(int64(now.Broken - last.Broken))
		last = now
	}
}
