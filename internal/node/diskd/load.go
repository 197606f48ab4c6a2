package diskd

import (
	"context"
	"time"

	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	// loadInterval is the shortest time between two lines on the load.
	loadInterval = time.Second
	// slowRequest is the time of a request for records from which on a line is logged: a
	// tenth of a second is ten syncs of the slowest disks without a fault.
	slowRequest = 100 * time.Millisecond
)

// watchLoad logs a line for each interval in which requests for records were refused for
// overload, or were slow. Without it, a front that gets no answer from this VM can't be told
// from one that asks for more than the VM can do.
func (d *Daemon) watchLoad(ctx context.Context) {
	rejected := d.link.Rejected()
	for pause.For(ctx, loadInterval) {
		load, total := d.recsrv.TakeLoad(), d.link.Rejected()
		d.Scope.Gauge("records_writes").Update(float64(load.UnderWay))
		if load.Refused > 0 || total > rejected || max(load.Slowest, load.SlowestSync) >= slowRequest {
			d.Log.Warn().Int("served", load.Served).Int("refused", load.Refused).Int64("rejected", total-rejected).
				Int64("slowest_ms", load.Slowest.Milliseconds()).Int64("slowest_sync_ms", load.SlowestSync.Milliseconds()).Int("writes_under_way", load.UnderWay).Msg("requests for records refused or slow")
		}
		rejected = total
	}
}
