// Package scout reads what daemons have to know of each other from the
// platform's store: who takes callers, which VMs have a disk, and the roster of
// places that hold records.
//
// Reads are the cheap, stale kind; where it matters, Fresh asks again.
package discov

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/front/fleet"
	"github.com/slaterock/slaterock/internal/plat/store"
)

// The keys of the daemons in the store.
const (
	Prefix      = "slaterock/"
	RosterKey   = Prefix + "roster"
	FrontPrefix = Prefix + "front/"
	DiskPrefix  = Prefix + "disk/"
)

// freshPause is the shortest pause between reads that are not stale: each costs
// as much as ten stale ones.
const minRescanInterval = 150 * time.Millisecond

type (
	// Scout holds what was read. Set Store before use.
	Reader struct {
		Store store.Shared

		mu          sync.Mutex
		state       State
		scannedRev  store.Rev // of the newest scan
		rescannedAt time.Time
		rescanning  chan struct{}
	}

	// State is what is known.
	State struct {
		Roster   roster.Roster
		Revision store.Rev // of the roster's key
		Members  []roster.Member
		Entries  []fleet.Entry
	}

	// frontValue is the value of a daemon that takes callers.
	frontValue struct {
		Address string  `json:"address"`
		Peer    string  `json:"peer"`
		Domain  string  `json:"domain"`
		Cores   float64 `json:"cores,omitempty"`
	}
)

// FrontValue encodes a daemon that takes callers.
func FrontValue(e fleet.Entry) []byte {
	data, _ := json.Marshal(frontValue{Address: e.Address, Peer: e.Peer, Domain: e.Domain, Cores: e.Cores}) // strings always encode
	return data
}

// State returns what is known.
func (s *Reader) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Roster returns the newest roster known.
func (s *Reader) Roster() roster.Roster { return s.State().Roster }

// Learn takes a roster that another daemon told.
func (s *Reader) Learn(data []byte) {
	r, err := roster.Decode(data)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Version > s.state.Roster.Version {
		s.state.Roster = r
		s.state.Revision = 0 // not known; a change has to read it first
	}
}

// Scan reads everything.
func (s *Reader) Scan(ctx context.Context, stale bool) (err error) {
	defer func() { err = errors.Wrap(err, "scout") }()
	list, rev, err := s.Store.Scan(ctx, Prefix, stale)
	if err != nil {
		return err
	}
	return s.Apply(list, rev)
}

// Take learns all keys of the system as they were at a revision. Keys of others
// are passed over.
func (s *Reader) Apply(list []store.Entry, rev store.Rev) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev < s.scannedRev {
		return nil
	}
	s.scannedRev = rev
	next := State{Roster: s.state.Roster, Revision: s.state.Revision}
	for _, e := range list {
		if err := next.add(e); err != nil {
			return errors.Wrapf(err, "key %s", e.Key)
		}
	}
	s.state = next
	return nil
}

func (s *State) add(e store.Entry) error {
	switch {
	case e.Key == RosterKey:
		r, err := roster.Decode(e.Data)
		if err != nil {
			return err
		}
		if r.Version >= s.Roster.Version {
			s.Roster, s.Revision = r, e.Rev
		}
	case strings.HasPrefix(e.Key, DiskPrefix):
		var m roster.Member
		if err := json.Unmarshal(e.Data, &m); err != nil {
			return err
		}
		s.Members = append(s.Members, m)
	case strings.HasPrefix(e.Key, FrontPrefix):
		var v frontValue
		if err := json.Unmarshal(e.Data, &v); err != nil {
			return err
		}
		s.Entries = append(s.Entries, fleet.Entry{
			Node: strings.TrimPrefix(e.Key, FrontPrefix), Address: v.Address, Peer: v.Peer, Domain: v.Domain, Cores: v.Cores,
		})
	}
	return nil
}

// Fresh reads everything as it is now, unless that was done a moment ago.
// Callers that come while it reads share the answer.
func (s *Reader) Rescan(ctx context.Context) {
	s.mu.Lock()
	if s.rescanning != nil {
		done := s.rescanning
		s.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
		}
		return
	}
	if time.Since(s.rescannedAt) < minRescanInterval {
		s.mu.Unlock()
		return
	}
	s.rescannedAt = time.Now()
	done := make(chan struct{})
	s.rescanning = done
	s.mu.Unlock()
	go func() {
		defer close(done)
		_ = s.Scan(context.WithoutCancel(ctx), false) // the caller tries again; the daemon's own reads log an outage
		s.mu.Lock()
		s.rescanning = nil
		s.mu.Unlock()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
