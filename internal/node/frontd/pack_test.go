package frontd

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/front/fleet"
)

// Hundreds of fronts fetch the whole state from a few at a start. It must be short enough for the link of a small VM, and arrive as it was.
func TestPackedState(t *testing.T) {
	is := is.New(t)
	var s fleet.Snapshot
	s.Revision = 3
	for i := range 10000 {
		s.Upstreams = append(s.Upstreams, fleet.Upstream{
			ID: fmt.Sprintf("i-%08x", uint32(i)*2654435761), Service: "engines", Address: fmt.Sprintf("10.%d.%d.%d:7381", i%6, i/256, i%256),
			Domain: fmt.Sprint("domain-", i%6), Version: "v1", Batch: 8, Born: 1774000000000 + int64(i*37%9999),
		})
	}
	for i := range 1000 {
		s.Entries = append(s.Entries, fleet.Entry{Node: fmt.Sprint("front-domain-", i), Address: fmt.Sprintf("10.0.%d.%d:8149", i/200, i%200), Domain: fmt.Sprint("domain-", i%6)})
	}
	var f fleet.Fleet
	f.Update(time.Unix(1000, 0), s)
	var p packs
	data, err := p.pack(f.View())
	is.NoErr(err)
	t.Logf("%d bytes", len(data))
	is.True(len(data) <= 500_000) // 0.13 s on a link of 30 Mbit/s
	again, err := p.pack(f.View())
	is.NoErr(err)
	is.True(&again[0] == &data[0]) // made once for all that ask
	got := snapshot{Packed: data}
	is.NoErr(got.unpack())
	is.Equal(got.Upstreams, f.View().Listed.List())
	is.Equal(got.Entries, f.View().Entries)
	torn := snapshot{Packed: data[:len(data)/2]}
	is.True(torn.unpack() != nil)
}
