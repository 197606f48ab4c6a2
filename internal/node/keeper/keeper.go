// Package keeper runs a VM that holds durable records: it serves the daemons
// that take callers, keeps the VM listed, and sees to it that the roster's places
// are filled.
package keeper

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
	"github.com/slaterock/slaterock/internal/node/listed"
	"github.com/slaterock/slaterock/internal/node/scout"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/peer/pause"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	// lookEvery is the pause between looks at the store. A place that lost its
	// VM must be filled within about four seconds of the new VM's start.
	lookEvery = 400 * time.Millisecond
	// idleEvery is the same for a VM that neither has a place nor is among the first
	// standbys that would take the next one. Of 24 VMs 16 are such; without it their
	// looks are a fifth of all that is asked of the store on a quiet day. The first
	// in line may be gone together with the place's VM, and who takes the place must
	// have seen for some time that it is empty.
	idleEvery = 2 * time.Second
	standbys  = 3
	// askEvery is the pause between looks at what the operator wants, and
	// freshEvery that of a VM without a place between reads that are not
	// stale, which cost ten times as much.
	askEvery   = 1200 * time.Millisecond
	freshEvery = 900 * time.Millisecond
	// settle is how long after the store's return no place counts as missing:
	// daemons write their keys again within about two seconds.
	settle = 2500 * time.Millisecond
	// alone is how long a VM that is to be emptied waits for another to take
	// its place before it hands its records to those that remain.
	alone = 2 * time.Second
	// newFor is how long a VM with an empty disk counts as new: longer than its
	// predecessor's key lives.
	newFor = 8 * time.Second
)

type (
	// Settings are what the keeper needs to know of its VM.
	Settings struct {
		Node     string
		Domain   string
		Address  string // for other daemons
		Control  string // a second address for them, where those find it that know nothing yet
		Dir      string
		Capacity int64 // bytes of the disk
		Losses   int   // VMs with a disk that may be lost at once
	}

	// Operator tells which VMs are to be emptied, and is told of it.
	Operator interface {
		Retiring(ctx context.Context) (map[string]bool, error)
		Retired(ctx context.Context, node string, complete bool) error
	}

	// Keeper runs the VM. Set the exported fields, then call Run.
	Keeper struct {
		Settings Settings
		Store    store.Shared
		Operator Operator
		Log      zerolog.Logger
		Scope    tally.Scope

		recsrv   recsrv.Server
		snap     snap.Snapshotter
		link     link.Link
		scout    scout.Scout
		listed   listed.Listed
		started  time.Time
		blank    bool      // the disk was empty at the start
		askedAt  time.Time // what the operator wants
		freshAt  time.Time // last read that was not stale
		away     bool      // the store doesn't answer
		returned time.Time // when it came back
		missing  map[string]time.Time
		joining  bool
		caughtUp bool // what was written while this process was away is here
		joined   chan error
		reach    recsrv.Peers // the other VMs with a disk; nil for those of the link
		retiring atomic.Bool
		since    time.Time // of retiring
		told     string    // what the operator was told last
	}
)

// Run serves until ctx ends.
func (k *Keeper) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run keeper") }()
	k.started = time.Now()
	k.joined = make(chan error, 1)
	k.recsrv.Dir, k.recsrv.Capacity = k.Settings.Dir, k.Settings.Capacity
	blank, err := k.recsrv.Open()
	if err != nil {
		return err
	}
	k.blank, k.caughtUp = blank, blank // as the first of all, or else it joins
	programs, turns, bytes := k.recsrv.Stats()
	k.Log.Info().Str("life", k.recsrv.DiskID()).Bool("blank", blank).Int("programs", programs).Int("turns", turns).
		Int64("bytes", bytes).Dur("took_ms", time.Since(k.started)).Msg("records opened")
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", k.Settings.Address)
	if err != nil {
		return err
	}
	k.link.Address, k.link.Scope = k.Settings.Address, k.Scope
	k.recsrv.Register(&k.link)
	k.snap.Dir = k.Settings.Dir
	k.snap.Register(&k.link)
	k.scout.Store = k.Store
	k.listed = listed.Listed{Store: k.Store, Key: scout.DiskPrefix + k.Settings.Node, Data: k.value, OnEnd: k.tellListed}
	k.listed.Init()
	listing := make(chan struct{})
	go func() {
		defer close(listing)
		k.listed.Run(ctx)
	}()
	go k.look(ctx)
	go k.trim(ctx)
	go k.serveControl(ctx)
	err = k.link.Serve(ctx, ln)
	<-listing
	return errors.CombineErrors(err, k.recsrv.Close())
}

// serveControl takes daemons that know nothing but the addresses in their
// settings.
func (k *Keeper) serveControl(ctx context.Context) {
	if k.Settings.Control == "" {
		return
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", k.Settings.Control)
	if err == nil {
		err = k.link.Serve(ctx, ln)
	}
	if err != nil && ctx.Err() == nil {
		k.Log.Error().Err(err).Str("address", k.Settings.Control).Msg("not served any more")
	}
}

func (k *Keeper) self() roster.Member {
	return roster.Member{
		Node: k.Settings.Node, Address: k.Settings.Address, Domain: k.Settings.Domain, DiskID: k.recsrv.DiskID(), Retiring: k.retiring.Load(),
	}
}

func (k *Keeper) value() []byte {
	data, _ := json.Marshal(k.self()) // strings always encode
	return data
}

func (k *Keeper) tellListed(err error) {
	if err != nil {
		k.Log.Warn().Err(err).Str("dependency", "store").Msg("lost: the daemon's key may lapse")
		return
	}
	k.Log.Info().Str("dependency", "store").Msg("regained: the daemon's key stands")
}

func (k *Keeper) trim(ctx context.Context) {
	for pause.For(ctx, recsrv.TrimInterval) {
		if err := k.recsrv.Trim(ctx); err != nil && ctx.Err() == nil {
			k.Log.Warn().Err(err).Msg("old records were not dropped")
		}
		programs, turns, bytes := k.recsrv.Stats()
		k.Scope.Gauge("records_programs").Update(float64(programs))
		k.Scope.Gauge("records_turns").Update(float64(turns))
		k.Scope.Gauge("records_bytes").Update(float64(bytes))
	}
}

// look keeps the roster's places filled.
func (k *Keeper) look(ctx context.Context) {
	for {
		k.step(ctx)
		if !pause.For(ctx, k.lookPause()) {
			return
		}
	}
}

// lookPause is the time until the next look. One that may have to act soon looks
// often, and so does one that doesn't know yet.
func (k *Keeper) lookPause() time.Duration {
	s := k.scout.State()
	_, placed := s.Roster.Find(k.recsrv.DiskID())
	if placed || k.away || s.Roster.Version == 0 || k.isNew() || k.retiring.Load() || s.Roster.ClaimPosition(k.self(), s.Members) < standbys {
		return lookEvery
	}
	return idleEvery
}

func (k *Keeper) step(ctx context.Context) {
	// The VM that would take the next place looks for one that is free, and stale
	// reads may be seconds behind; the others have time.
	known := k.scout.State()
	_, placed := known.Roster.Find(k.recsrv.DiskID())
	stale := placed || !k.isNew() && time.Since(k.freshAt) < freshEvery || !known.Roster.IsNextClaimant(k.self(), known.Members)
	if !stale {
		k.freshAt = time.Now()
	}
	if err := k.scout.Scan(ctx, stale); err != nil {
		if !k.away {
			k.away = true
			k.Log.Warn().Err(err).Str("dependency", "store").Msg("lost")
		}
		return
	}
	if k.away {
		k.away = false
		k.returned = time.Now()
		k.Log.Info().Str("dependency", "store").Msg("regained")
	}
	s := k.scout.State()
	k.noteMissing(s)
	if s.Roster.Version > 0 {
		k.recsrv.Learn(s.Roster)
	}
	k.askOperator(ctx, s)
	select {
	case err := <-k.joined:
		k.joining = false
		k.endJoin(ctx, err)
		s = k.scout.State()
	default:
	}
	place, in := s.Roster.Find(k.recsrv.DiskID())
	switch {
	case s.Roster.Version == 0:
		k.found(ctx)
	case in && place.Joining:
		k.startJoin(ctx, s.Roster)
	case in && !k.caughtUp:
		k.startJoin(ctx, s.Roster)
	case in && place.Address != k.Settings.Address:
		k.change(ctx, func(s scout.State) (roster.Roster, bool) { return s.Roster.WithAddress(k.self()), true }, "moved")
	case !in && k.claim(ctx, s):
		k.startJoin(ctx, k.scout.Roster())
	}
}

// found writes the first roster once all VMs with a disk are there, or have had
// time to come.
func (k *Keeper) found(ctx context.Context) {
	s := k.scout.State()
	waited := time.Since(k.started) >= roster.BootstrapWait
	if len(s.Members) < roster.MaxReplicas(k.Settings.Losses) && !waited {
		return
	}
	k.change(ctx, func(s scout.State) (roster.Roster, bool) {
		if s.Roster.Version != 0 {
			return roster.Roster{}, false
		}
		return roster.Initial(s.Members, k.Settings.Losses)
	}, "founded")
}

// change writes the next roster if the store still has the one that it follows.
// What was read may be old, so it reads again before it decides.
func (k *Keeper) change(ctx context.Context, next func(scout.State) (roster.Roster, bool), what string) bool {
	if err := k.scout.Scan(ctx, false); err != nil {
		return false // the next look tells
	}
	s := k.scout.State()
	r, ok := next(s)
	if !ok {
		return false
	}
	data, err := r.Encode()
	if err != nil {
		k.Log.Error().Err(err).Msg("roster not written")
		return false
	}
	_, err = k.Store.Put(ctx, scout.RosterKey, data, s.Revision, 0)
	k.Log.Info().Err(err).Uint64("from", s.Roster.Version).Uint64("to", r.Version).RawJSON("roster", data).Msg("roster: " + what)
	if err == nil {
		k.scout.Learn(data)
		k.recsrv.Learn(r)
	}
	return err == nil
}

func (k *Keeper) startJoin(ctx context.Context, r roster.Roster) {
	if k.joining {
		return
	}
	k.joining = true
	k.Log.Info().Uint64("roster", r.Version).Msg("copying records from the other places")
	go func() { k.joined <- k.recsrv.CatchUp(ctx, r, k.peers()) }()
}

func (k *Keeper) peers() recsrv.Peers {
	if k.reach != nil {
		return k.reach
	}
	return func(address string) link.Invoker { return k.link.Peer(address) }
}

func (k *Keeper) endJoin(ctx context.Context, err error) {
	programs, turns, bytes := k.recsrv.Stats()
	k.Log.Info().Err(err).Int("programs", programs).Int("turns", turns).Int64("bytes", bytes).Msg("records copied")
	if err != nil {
		return
	}
	k.caughtUp = true
	life := k.recsrv.DiskID()
	if p, in := k.scout.Roster().Find(life); !in || !p.Joining {
		return
	}
	k.change(ctx, func(s scout.State) (roster.Roster, bool) {
		p, in := s.Roster.Find(life)
		return s.Roster.WithJoined(life), in && p.Joining
	}, "joined")
}
