// Package scout reads what daemons have to know of each other from the
// platform's store: who takes callers, which VMs have a disk, and the roster of
// places that hold records.
//
// Reads are the cheap, stale kind; where it matters, Fresh asks again.
package scout

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
const freshPause = 150 * time.Millisecond

type (
	// Scout holds what was read. Set Store before use.
	Scout struct {
		Store store.Shared

		mu       sync.Mutex
		state    State
		read     store.Rev // of the newest scan
		freshAt  time.Time
		fetching chan struct{}
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
func (s *Scout) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Roster returns the newest roster known.
func (s *Scout) Roster() roster.Roster { return s.State().Roster }

// Learn takes a roster that another daemon told.
func (s *Scout) Learn(data []byte) {
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
func (s *Scout) Scan(ctx context.Context, stale bool) (err error) {
	defer func() { err = errors.Wrap(err, "scout") }()
	list, rev, err := s.Store.Scan(ctx, Prefix, stale)
	if err != nil {
		return err
	}
	return s.Take(list, rev)
}

// Take learns all keys of the system as they were at a revision. Keys of others
// are passed over.
func (s *Scout) Take(list []store.Entry, rev store.Rev) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev < s.read {
		return nil
	}
	s.read = rev
	next := State{Roster: s.state.Roster, Revision: s.state.Revision}
	for _, e := range list {
		if err := next.take(e); err != nil {
			return errors.Wrapf(err, "key %s", e.Key)
		}
	}
	s.state = next
	return nil
}

func (s *State) take(e store.Entry) error {
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
func (s *Scout) Fresh(ctx context.Context) {
	s.mu.Lock()
	if s.fetching != nil {
		done := s.fetching
		s.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
		}
		return
	}
	if time.Since(s.freshAt) < freshPause {
		s.mu.Unlock()
		return
	}
	s.freshAt = time.Now()
	done := make(chan struct{})
	s.fetching = done
	s.mu.Unlock()
	go func() {
		defer close(done)
		_ = s.Scan(context.WithoutCancel(ctx), false) // the caller tries again; the daemon's own reads log an outage
		s.mu.Lock()
		s.fetching = nil
		s.mu.Unlock()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
