package frontd

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/front/mesh"
)

// directoryTTL is how long callers keep an answer. Some keep it three times as
// long; with this they leave a VM within three seconds after it began to stop.
const directoryTTL = time.Second

// resolve tells a caller where to connect.
func (d *Daemon) resolve(w http.ResponseWriter, _ *http.Request) {
	list := d.named()
	if len(list) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	text, err := json.Marshal(d.Names.Directory(list, min(directoryTTL, positive(d.Settings.AnswerTTL, directoryTTL))))
	if err != nil {
		d.Log.Error().Err(err).Msg("directory's answer not encoded")
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = w.Write(text) // a caller that left asks another daemon
}

// named returns the daemons that callers are sent to: those that are not leaving
// and can serve, or all that are not leaving if none can.
func (d *Daemon) named() (well []fleet.Entry) {
	now := time.Now()
	p := d.rumor.Picture(now)
	self := fleet.Entry{
		Node: d.Settings.Node, Address: d.Settings.Callers, Domain: d.Settings.Domain, Cores: d.Settings.Cores,
	}
	var all []fleet.Entry
	if d.ready() {
		all = append(all, self)
	}
	others := d.others(p)
	// A daemon that hears few of the others is itself cut off, and can't tell
	// which of them are gone.
	trusted := 2*(p.Fronts-1) >= len(others)
	for _, e := range others {
		_, alive := p.Alive[mesh.IDOf(e.Node)]
		if !e.Leaving && (alive || !trusted) {
			all = append(all, e)
		}
	}
	for _, e := range all {
		unwell := p.Alive[mesh.IDOf(e.Node)]&mesh.Unwell != 0
		if e.Node == self.Node {
			unwell = d.pulse.Down(now)
		}
		if !unwell {
			well = append(well, e)
		}
	}
	if len(well) == 0 {
		return all
	}
	return well
}
