package vmhttp_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/memnet"
	"github.com/slaterock/slaterock/internal/fake/vmset"
	"github.com/slaterock/slaterock/internal/plat/httpc"
	"github.com/slaterock/slaterock/internal/plat/vmhttp"
	"github.com/slaterock/slaterock/internal/plat/vmlist"
)

const address = "vms"

var ctx = context.Background()

func TestList(t *testing.T) {
	a := vmlist.VM{Name: "a", Address: "127.0.0.1:1", FailureDomain: "temeke", State: vmlist.Live}
	b := vmlist.VM{Name: "a", Address: "127.0.0.1:1", FailureDomain: "temeke", State: vmlist.Leaving}
	tests := map[string]func(is *is.I, l vmlist.List, s *vmset.Set){
		"empty": func(is *is.I, l vmlist.List, _ *vmset.Set) {
			vms, err := l.VMs(ctx)
			is.NoErr(err)
			is.Equal(len(vms), 0)
		},
		// The list lags: a leaving VM is listed as live for a while, and readers
		// keep sending work to it.
		"lags": func(is *is.I, l vmlist.List, s *vmset.Set) {
			s.Put(a)
			s.Lag = 5 * time.Second
			s.Put(b)
			vms, err := l.VMs(ctx)
			is.NoErr(err)
			is.Equal(vms, []vmlist.VM{a})
			<-time.After(5 * time.Second)
			vms, err = l.VMs(ctx)
			is.NoErr(err)
			is.Equal(vms, []vmlist.VM{b})
		},
		// The list can't be read. That is an error and never an empty list, from
		// which a reader would conclude that all VMs are gone.
		"down": func(is *is.I, l vmlist.List, s *vmset.Set) {
			s.Put(a)
			s.SetUnavailable(true)
			_, err := l.VMs(ctx)
			is.True(err != nil)
			s.SetUnavailable(false)
			vms, err := l.VMs(ctx)
			is.NoErr(err)
			is.Equal(len(vms), 1)
		},
	}
	for name, tt := range tests {
		t.Run("in memory/"+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &vmset.Set{}
				tt(is.New(t), s, s)
			})
		})
		t.Run("network/"+name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &vmset.Set{}
				var n memnet.Net
				h := vmset.Serve(n.Listen(address), s)
				defer h.Close()
				tt(is.New(t), &vmhttp.Client{Endpoint: httpc.Endpoint{Address: address, Connect: n.Connect}}, s)
			})
		})
	}
}

// No process listens at the list's address.
func TestRefused(t *testing.T) {
	is := is.New(t)
	var n memnet.Net
	_, err := (&vmhttp.Client{Endpoint: httpc.Endpoint{Address: address, Connect: n.Connect}}).VMs(ctx)
	is.True(err != nil)
}
