// Package diskd is the daemon of a VM with a disk, which holds durable records: it serves
// the daemons that serve callers (fronts), keeps the VM registered in the store, and takes
// part in keeping the roster complete: the VM becomes a replica, replaces a lost one, or
// resigns.
package diskd

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/slaterock/slaterock/internal/disk/recsrv"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/disk/snap"
	"github.com/slaterock/slaterock/internal/front/conns"
	"github.com/slaterock/slaterock/internal/front/memory"
	"github.com/slaterock/slaterock/internal/node/discov"
	"github.com/slaterock/slaterock/internal/node/leased"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/peer/pause"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	// rosterInterval is the pause between checks of the roster. A lost replica must be
	// replaced within about four seconds of the new VM's start.
	rosterInterval = 400 * time.Millisecond
	// idleInterval is the pause between checks of a VM that is not a replica and not among the
	// first activeStandbys VMs in line to become one. Of 24 VMs 16 are idle in this sense;
	// with rosterInterval their checks would be a fifth of the store's calls on a day at low
	// load. Several VMs in line check often, since the first may be lost together with a
	// replica's VM, and the one that replaces the replica must have tracked for some time
	// that its VM is missing.
	idleInterval   = 2 * time.Second
	activeStandbys = 3
	// operatorInterval is the shortest interval between reads of the operator's requests
	// to empty VMs. freshInterval is the shortest interval between reads that are not stale,
	// by the VM that is first in line to become a replica; if it is new, it makes one at
	// every check. Such a read costs as much as ten stale ones.
	operatorInterval = 1200 * time.Millisecond
	freshInterval    = 900 * time.Millisecond
	// returnGrace is how long after an outage of the store no VM counts as missing:
	// daemons write their keys again within about two seconds.
	returnGrace = 2500 * time.Millisecond
	// handOverDelay is how long a VM that is to be emptied waits for another to
	// replace it before it hands its records over to the remaining replicas and resigns.
	handOverDelay = 2 * time.Second
	// resignTime is how long each VM that is to be emptied is given to leave the roster before the next one.
	resignTime = 10 * time.Second
	// maxCatchUpDelay is how long after its start a replica that has its records leaves
	// copies to the replicas that are joining.
	maxCatchUpDelay = time.Minute
	// requestCopies is how often a record is held while it is written.
	requestCopies = 3
	// newVMTime is how long a VM that started with an empty disk counts as new: longer than
	// the lease of its predecessor's key lasts.
	newVMTime = 8 * time.Second
)

type (
	// Settings describe the daemon's VM.
	Settings struct {
		Node     string
		Domain   string // failure domain
		Address  string // listen address for other daemons
		Control  string // second listen address, which daemons have in their settings; empty for none
		Dir      string // data folder
		Capacity int64  // bytes of the disk
		Losses   int    // VMs with a disk that may be lost at once
	}

	// Operator is the operator's interface for VMs that are to be emptied.
	Operator interface {
		// RetiringNodes returns the nodes that are to be emptied.
		RetiringNodes(ctx context.Context) (map[string]bool, error)
		// ReportRetirement reports that the node is being emptied or, if complete, that all
		// its records are also held elsewhere.
		ReportRetirement(ctx context.Context, node string, complete bool) error
	}

	// Daemon runs the VM. Set the exported fields, then call Run.
	Daemon struct {
		Settings Settings
		Store    store.Shared
		Operator Operator
		Log      zerolog.Logger
		Scope    tally.Scope
		Clients  *memory.Budget // what clients may have this process hold; nil for what fits a small VM

		recsrv         recsrv.Server
		snap           snap.Snapshotter
		link           link.Link
		discov         discov.Reader
		leased         leased.Registration
		started        time.Time
		emptyDisk      bool                 // the disk was empty at the start
		operatorReadAt time.Time            // when the operator's requests were read last
		freshReadAt    time.Time            // last read that was not stale
		storeDown      bool                 // the last scan failed
		storeUpAt      time.Time            // when it was available again
		missing        map[string]time.Time // nodes of replicas: since when they have not been listed
		joining        bool                 // a join is in progress
		caughtUp       bool                 // the disk has what was written while this process did not run
		joinResult     chan error
		peerFunc       recsrv.Peers // connects to other VMs with a disk; nil to use the link
		retiring       atomic.Bool
		retiringSince  time.Time // when retiring changed last
		resigning      uint64    // version of the roster that this VM tried to leave, and takes no records meanwhile; 0 for none
		reported       string    // the state reported to the operator last
	}
)

// Run serves until ctx ends.
func (d *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run disk daemon") }()
	d.started = time.Now()
	d.joinResult = make(chan error, 1)
	if d.Clients == nil {
		d.Clients = &memory.Budget{}
	}
	d.recsrv.Dir, d.recsrv.Capacity, d.recsrv.Scope = d.Settings.Dir, d.Settings.Capacity, d.Scope
	d.recsrv.Others, d.recsrv.OnDisk, d.recsrv.Room = d.peers(), d.logDisk, d.Clients
	emptyDisk, err := d.recsrv.Open()
	if err != nil {
		return err
	}
	d.emptyDisk, d.caughtUp = emptyDisk, emptyDisk // an empty disk has nothing to catch up on until it joins
	programs, turns, bytes := d.recsrv.Stats()
	d.Log.Info().Str("life", d.recsrv.DiskID()).Bool("blank", emptyDisk).Int("programs", programs).Int("turns", turns).
		Int64("bytes", bytes).Dur("took_ms", time.Since(d.started)).Msg("records opened")
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", d.Settings.Address)
	if err != nil {
		return err
	}
	d.link.Address, d.link.Scope = d.Settings.Address, d.Scope
	d.link.Proven = conns.Trust
	d.link.Take = func(ctx context.Context, n int64) error { return d.Clients.Take(ctx, d.roomOf(n)) }
	d.link.Return = func(n int64) { d.Clients.Return(d.roomOf(n)) }
	d.recsrv.Register(&d.link)
	d.snap.Dir = d.Settings.Dir
	d.snap.Register(&d.link)
	d.discov.Store = d.Store
	d.leased = leased.Registration{Store: d.Store, Key: discov.DiskPrefix + d.Settings.Node, Data: d.value, OnStatus: d.logRegistration}
	d.leased.Init()
	registrationEnded := make(chan struct{})
	go func() {
		defer close(registrationEnded)
		d.leased.Run(ctx)
	}()
	go d.checkLoop(ctx)
	go d.trim(ctx)
	go d.watchLoad(ctx)
	go d.serveControl(ctx)
	err = d.link.Serve(ctx, d.counted(ln))
	<-registrationEnded
	return errors.CombineErrors(err, d.recsrv.Close())
}

// serveControl serves daemons at the second address, which they know from their settings
// before they have read the store.
func (d *Daemon) serveControl(ctx context.Context) {
	if d.Settings.Control == "" {
		return
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", d.Settings.Control)
	if err == nil {
		err = d.link.Serve(ctx, d.counted(ln))
	}
	if err != nil && ctx.Err() == nil {
		d.Log.Error().Err(err).Str("address", d.Settings.Control).Msg("second listen address not served")
	}
}

// roomOf returns what a request with n bytes takes: as it came, decoded, and encoded for the log.
func (d *Daemon) roomOf(n int64) int64 { return min(requestCopies*n, d.Clients.Limit()) }

// counted returns the listener for other daemons with connections that are counted.
func (d *Daemon) counted(ln net.Listener) net.Listener {
	return (&conns.Server{Budget: d.Clients, Kind: memory.Peers}).Listen(ln)
}

// self returns this VM's entry for the store. The disk ID identifies the contents of the disk:
// a disk that is empty at the start gets a new one.
func (d *Daemon) self() roster.Member {
	return roster.Member{
		Node: d.Settings.Node, Address: d.Settings.Address, Domain: d.Settings.Domain, DiskID: d.recsrv.DiskID(), Retiring: d.retiring.Load(),
	}
}

func (d *Daemon) value() []byte {
	data, _ := json.Marshal(d.self()) // strings and booleans always encode
	return data
}

func (d *Daemon) logRegistration(err error) {
	if err != nil {
		d.Log.Warn().Err(err).Str("dependency", "store").Msg("renewal of this VM's key fails: it may lapse")
		return
	}
	d.Log.Info().Str("dependency", "store").Msg("this VM's key is written")
}

func (d *Daemon) logDisk(err error) {
	if err != nil {
		d.Log.Error().Err(err).Msg("the disk takes no records")
		return
	}
	d.Log.Info().Msg("the disk takes records again")
}

func (d *Daemon) trim(ctx context.Context) {
	for pause.For(ctx, recsrv.TrimInterval) {
		if err := d.recsrv.Trim(ctx); err != nil && ctx.Err() == nil {
			d.Log.Warn().Err(err).Msg("expired records not removed")
		}
		programs, turns, bytes := d.recsrv.Stats()
		d.Scope.Gauge("records_programs").Update(float64(programs))
		d.Scope.Gauge("records_turns").Update(float64(turns))
		d.Scope.Gauge("records_bytes").Update(float64(bytes))
		r := d.discov.Roster()
		d.Scope.Gauge("records_replicas").Update(float64(len(r.Replicas)))
		d.Scope.Gauge("records_replicas_joining").Update(float64(r.Joining()))
	}
}

// checkLoop checks the roster and does this VM's part in keeping it complete, until ctx ends.
func (d *Daemon) checkLoop(ctx context.Context) {
	for {
		d.check(ctx)
		if !pause.For(ctx, d.nextInterval()) {
			return
		}
	}
}

// nextInterval returns the time until the next check: short for a VM that may have to act
// soon, or does not know the roster yet.
func (d *Daemon) nextInterval() time.Duration {
	s := d.discov.State()
	_, isReplica := s.Roster.Find(d.recsrv.DiskID())
	if isReplica || d.storeDown || s.Roster.Version == 0 || d.isNew() || d.retiring.Load() || s.Roster.ClaimPosition(d.self(), s.Members) < activeStandbys {
		return rosterInterval
	}
	return idleInterval
}

func (d *Daemon) check(ctx context.Context) {
	// A stale read may be seconds old, which matters only to the VM that is first in line
	// to become a replica.
	known := d.discov.State()
	_, isReplica := known.Roster.Find(d.recsrv.DiskID())
	stale := isReplica || !d.isNew() && time.Since(d.freshReadAt) < freshInterval || !known.Roster.IsNextClaimant(d.self(), known.Members)
	if !stale {
		d.freshReadAt = time.Now()
	}
	if err := d.discov.Scan(ctx, stale); err != nil {
		if !d.storeDown {
			d.storeDown = true
			d.Log.Warn().Err(err).Str("dependency", "store").Msg("lost")
		}
		return
	}
	if d.storeDown {
		d.storeDown = false
		d.storeUpAt = time.Now()
		d.Log.Info().Str("dependency", "store").Msg("regained")
	}
	s := d.discov.State()
	d.trackMissing(s)
	if s.Roster.Version > 0 {
		d.recsrv.Learn(s.Roster)
	}
	d.thaw(s.Roster)
	d.checkRetirement(ctx, s)
	select {
	case err := <-d.joinResult:
		d.joining = false
		d.endJoin(ctx, err)
		s = d.discov.State()
	default:
	}
	replica, in := s.Roster.Find(d.recsrv.DiskID())
	switch {
	case s.Roster.Version == 0:
		d.createRoster(ctx)
	case in && replica.Joining:
		d.startJoin(ctx, s.Roster)
	case in && !d.caughtUp && d.mayCatchUp(s.Roster):
		d.startJoin(ctx, s.Roster)
	case in && replica.Address != d.Settings.Address:
		d.updateRoster(ctx, func(s discov.State) (roster.Roster, bool) { return s.Roster.WithAddress(d.self()), true }, "moved")
	case !in && d.claim(ctx, s):
		d.startJoin(ctx, d.discov.Roster())
	}
}

// createRoster writes the first roster once as many VMs are listed as it may have replicas, or
// once this daemon has run for roster.BootstrapWait.
func (d *Daemon) createRoster(ctx context.Context) {
	s := d.discov.State()
	waited := time.Since(d.started) >= roster.BootstrapWait
	if len(s.Members) < roster.MaxReplicas(d.Settings.Losses) && !waited {
		return
	}
	d.updateRoster(ctx, func(s discov.State) (roster.Roster, bool) {
		if s.Roster.Version != 0 {
			return roster.Roster{}, false
		}
		return roster.Initial(s.Members, d.Settings.Losses)
	}, "founded")
}

// updateRoster writes the next roster unless the store's has changed meanwhile, and reports
// whether it was written. The state that led to the call may be stale, so it scans again and
// lets next decide on that.
func (d *Daemon) updateRoster(ctx context.Context, next func(discov.State) (roster.Roster, bool), what string) bool {
	if err := d.discov.Scan(ctx, false); err != nil {
		return false // the next check logs the outage
	}
	s := d.discov.State()
	r, ok := next(s)
	if !ok {
		return false
	}
	data, err := r.Encode()
	if err != nil {
		d.Log.Error().Err(err).Msg("roster not encoded")
		return false
	}
	_, err = d.Store.Put(ctx, discov.RosterKey, data, s.Revision, 0)
	d.Log.Info().Err(err).Uint64("from", s.Roster.Version).Uint64("to", r.Version).RawJSON("roster", data).Msg("roster write: " + what)
	if err == nil {
		d.discov.Learn(data)
		d.recsrv.Learn(r)
	}
	return err == nil
}

// mayCatchUp reports whether this VM, a replica with its records, may copy those that it missed
// while it did not run. They are additional copies. While a replica is joining, its copies come
// first: after a loss of power the few complete replicas serve all callers as well.
func (d *Daemon) mayCatchUp(r roster.Roster) bool {
	return r.Joining() == 0 || time.Since(d.started) > maxCatchUpDelay
}

func (d *Daemon) startJoin(ctx context.Context, r roster.Roster) {
	if d.joining {
		return
	}
	d.joining = true
	d.Log.Info().Uint64("roster", r.Version).Msg("copying records from the other replicas")
	go func() { d.joinResult <- d.recsrv.CatchUp(ctx, r, d.peers()) }()
}

func (d *Daemon) peers() recsrv.Peers {
	if d.peerFunc != nil {
		return d.peerFunc
	}
	return func(address string) link.Invoker { return d.link.Peer(address) }
}

func (d *Daemon) endJoin(ctx context.Context, err error) {
	programs, turns, bytes := d.recsrv.Stats()
	d.Log.Info().Err(err).Int("programs", programs).Int("turns", turns).Int64("bytes", bytes).Msg("copying of records ended")
	if err != nil {
		return
	}
	d.caughtUp = true
	diskID := d.recsrv.DiskID()
	if p, in := d.discov.Roster().Find(diskID); !in || !p.Joining {
		return
	}
	d.updateRoster(ctx, func(s discov.State) (roster.Roster, bool) {
		p, in := s.Roster.Find(diskID)
		return s.Roster.WithJoined(diskID), in && p.Joining
	}, "joined")
}
