// Package keeper runs a VM that holds durable records: it serves the daemons
// that take callers, keeps the VM listed, and sees to it that the roster's places
// are filled.
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

	"github.com/slaterock/slaterock/internal/disk/holder"
	"github.com/slaterock/slaterock/internal/disk/memo"
	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/node/discov"
	"github.com/slaterock/slaterock/internal/node/leased"
	"github.com/slaterock/slaterock/internal/peer/link"
	"github.com/slaterock/slaterock/internal/peer/pause"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	// lookEvery is the pause between looks at the store. A place that lost its
	// VM must be filled within about four seconds of the new VM's start.
	rosterInterval = 400 * time.Millisecond
	// idleEvery is the same for a VM that neither has a place nor is among the first
	// standbys that would take the next one. Of 24 VMs 16 are such; without it their
	// looks are a fifth of all that is asked of the store on a quiet day. The first
	// in line may be gone together with the place's VM, and who takes the place must
	// have seen for some time that it is empty.
	idleInterval = 2 * time.Second
	standbys     = 3
	// askEvery is the pause between looks at what the operator wants, and
	// freshEvery that of a VM without a place between reads that are not
	// stale, which cost ten times as much.
	operatorInterval = 1200 * time.Millisecond
	freshInterval    = 900 * time.Millisecond
	// settle is how long after the store's return no place counts as missing:
	// daemons write their keys again within about two seconds.
	returnGrace = 2500 * time.Millisecond
	// alone is how long a VM that is to be emptied waits for another to take
	// its place before it hands its records to those that remain.
	handOverDelay = 2 * time.Second
	// newFor is how long a VM with an empty disk counts as new: longer than its
	// predecessor's key lives.
	newVMTime = 8 * time.Second
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
		RetiringNodes(ctx context.Context) (map[string]bool, error)
		ReportRetirement(ctx context.Context, node string, complete bool) error
	}

	// Keeper runs the VM. Set the exported fields, then call Run.
	Daemon struct {
		Settings Settings
		Store    store.Shared
		Operator Operator
		Log      zerolog.Logger
		Scope    tally.Scope

		holder         holder.Holder
		memo           memo.Memo
		link           link.Link
		discov         discov.Reader
		leased         leased.Registration
		started        time.Time
		emptyDisk      bool      // the disk was empty at the start
		operatorReadAt time.Time // what the operator wants
		freshReadAt    time.Time // last read that was not stale
		storeDown      bool      // the store doesn't answer
		storeUpAt      time.Time // when it came back
		missing        map[string]time.Time
		joining        bool
		caughtUp       bool // what was written while this process was away is here
		joinResult     chan error
		peerFunc       holder.Peers // the other VMs with a disk; nil for those of the link
		retiring       atomic.Bool
		retiringSince  time.Time // of retiring
		reported       string    // what the operator was told last
	}
)

// Run serves until ctx ends.
func (k *Daemon) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "run keeper") }()
	k.started = time.Now()
	k.joinResult = make(chan error, 1)
	k.holder.Dir, k.holder.Capacity = k.Settings.Dir, k.Settings.Capacity
	emptyDisk, err := k.holder.Open()
	if err != nil {
		return err
	}
	k.emptyDisk, k.caughtUp = emptyDisk, emptyDisk // as the first of all, or else it joins
	programs, turns, bytes := k.holder.Stats()
	k.Log.Info().Str("life", k.holder.Life()).Bool("blank", emptyDisk).Int("programs", programs).Int("turns", turns).
		Int64("bytes", bytes).Dur("took_ms", time.Since(k.started)).Msg("records opened")
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", k.Settings.Address)
	if err != nil {
		return err
	}
	k.link.Address, k.link.Scope = k.Settings.Address, k.Scope
	k.holder.Register(&k.link)
	k.memo.Dir = k.Settings.Dir
	k.memo.Register(&k.link)
	k.discov.Store = k.Store
	k.leased = leased.Registration{Store: k.Store, Key: discov.DiskPrefix + k.Settings.Node, Data: k.value, OnStatus: k.logRegistration}
	k.leased.Init()
	listing := make(chan struct{})
	go func() {
		defer close(listing)
		k.leased.Run(ctx)
	}()
	go k.checkLoop(ctx)
	go k.trim(ctx)
	go k.serveControl(ctx)
	err = k.link.Serve(ctx, ln)
	<-listing
	return errors.CombineErrors(err, k.holder.Close())
}

// serveControl takes daemons that know nothing but the addresses in their
// settings.
func (k *Daemon) serveControl(ctx context.Context) {
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

func (k *Daemon) self() roster.Member {
	return roster.Member{
		Node: k.Settings.Node, Address: k.Settings.Address, Domain: k.Settings.Domain, Life: k.holder.Life(), Retiring: k.retiring.Load(),
	}
}

func (k *Daemon) value() []byte {
	data, _ := json.Marshal(k.self()) // strings always encode
	return data
}

func (k *Daemon) logRegistration(err error) {
	if err != nil {
		k.Log.Warn().Err(err).Str("dependency", "store").Msg("lost: the daemon's key may lapse")
		return
	}
	k.Log.Info().Str("dependency", "store").Msg("regained: the daemon's key stands")
}

func (k *Daemon) trim(ctx context.Context) {
	for pause.For(ctx, holder.TrimEvery) {
		if err := k.holder.Trim(ctx); err != nil && ctx.Err() == nil {
			k.Log.Warn().Err(err).Msg("old records were not dropped")
		}
		programs, turns, bytes := k.holder.Stats()
		k.Scope.Gauge("records_programs").Update(float64(programs))
		k.Scope.Gauge("records_turns").Update(float64(turns))
		k.Scope.Gauge("records_bytes").Update(float64(bytes))
	}
}

// look keeps the roster's places filled.
func (k *Daemon) checkLoop(ctx context.Context) {
	for {
		k.check(ctx)
		if !pause.For(ctx, k.nextInterval()) {
			return
		}
	}
}

// lookPause is the time until the next look. One that may have to act soon looks
// often, and so does one that doesn't know yet.
func (k *Daemon) nextInterval() time.Duration {
	s := k.discov.State()
	_, placed := s.Roster.Find(k.holder.Life())
	if placed || k.storeDown || s.Roster.Version == 0 || k.isNew() || k.retiring.Load() || s.Roster.Line(k.self(), s.Members) < standbys {
		return rosterInterval
	}
	return idleInterval
}

func (k *Daemon) check(ctx context.Context) {
	// The VM that would take the next place looks for one that is free, and stale
	// reads may be seconds behind; the others have time.
	known := k.discov.State()
	_, placed := known.Roster.Find(k.holder.Life())
	stale := placed || !k.isNew() && time.Since(k.freshReadAt) < freshInterval || !known.Roster.Next(k.self(), known.Members)
	if !stale {
		k.freshReadAt = time.Now()
	}
	if err := k.discov.Scan(ctx, stale); err != nil {
		if !k.storeDown {
			k.storeDown = true
			k.Log.Warn().Err(err).Str("dependency", "store").Msg("lost")
		}
		return
	}
	if k.storeDown {
		k.storeDown = false
		k.storeUpAt = time.Now()
		k.Log.Info().Str("dependency", "store").Msg("regained")
	}
	s := k.discov.State()
	k.trackMissing(s)
	if s.Roster.Version > 0 {
		k.holder.Learn(s.Roster)
	}
	k.checkRetirement(ctx, s)
	select {
	case err := <-k.joinResult:
		k.joining = false
		k.endJoin(ctx, err)
		s = k.discov.State()
	default:
	}
	place, in := s.Roster.Find(k.holder.Life())
	switch {
	case s.Roster.Version == 0:
		k.createRoster(ctx)
	case in && place.Joining:
		k.startJoin(ctx, s.Roster)
	case in && !k.caughtUp:
		k.startJoin(ctx, s.Roster)
	case in && place.Address != k.Settings.Address:
		k.updateRoster(ctx, func(s discov.State) (roster.Roster, bool) { return s.Roster.WithAddress(k.self()), true }, "moved")
	case !in && k.claim(ctx, s):
		k.startJoin(ctx, k.discov.Roster())
	}
}

// found writes the first roster once all VMs with a disk are there, or have had
// time to come.
func (k *Daemon) createRoster(ctx context.Context) {
	s := k.discov.State()
	waited := time.Since(k.started) >= roster.Gather
	if len(s.Members) < roster.Full(k.Settings.Losses) && !waited {
		return
	}
	k.updateRoster(ctx, func(s discov.State) (roster.Roster, bool) {
		if s.Roster.Version != 0 {
			return roster.Roster{}, false
		}
		return roster.First(s.Members, k.Settings.Losses)
	}, "founded")
}

// change writes the next roster if the store still has the one that it follows.
// What was read may be old, so it reads again before it decides.
func (k *Daemon) updateRoster(ctx context.Context, next func(discov.State) (roster.Roster, bool), what string) bool {
	if err := k.discov.Scan(ctx, false); err != nil {
		return false // the next look tells
	}
	s := k.discov.State()
	r, ok := next(s)
	if !ok {
		return false
	}
	data, err := r.Encode()
	if err != nil {
		k.Log.Error().Err(err).Msg("roster not written")
		return false
	}
	_, err = k.Store.Put(ctx, discov.RosterKey, data, s.Revision, 0)
	k.Log.Info().Err(err).Uint64("from", s.Roster.Version).Uint64("to", r.Version).RawJSON("roster", data).Msg("roster: " + what)
	if err == nil {
		k.discov.Learn(data)
		k.holder.Learn(r)
	}
	return err == nil
}

func (k *Daemon) startJoin(ctx context.Context, r roster.Roster) {
	if k.joining {
		return
	}
	k.joining = true
	k.Log.Info().Uint64("roster", r.Version).Msg("copying records from the other places")
	go func() { k.joinResult <- k.holder.Join(ctx, r, k.peers()) }()
}

func (k *Daemon) peers() holder.Peers {
	if k.peerFunc != nil {
		return k.peerFunc
	}
	return func(address string) link.Invoker { return k.link.Peer(address) }
}

func (k *Daemon) endJoin(ctx context.Context, err error) {
	programs, turns, bytes := k.holder.Stats()
	k.Log.Info().Err(err).Int("programs", programs).Int("turns", turns).Int64("bytes", bytes).Msg("records copied")
	if err != nil {
		return
	}
	k.caughtUp = true
	life := k.holder.Life()
	if p, in := k.discov.Roster().Find(life); !in || !p.Joining {
		return
	}
	k.updateRoster(ctx, func(s discov.State) (roster.Roster, bool) {
		p, in := s.Roster.Find(life)
		return s.Roster.WithJoined(life), in && p.Joining
	}, "joined")
}
