// Package discov is service discovery through the platform's store: it reads which daemons
// serve callers (fronts), which VMs have a disk, and the roster, which lists the replicas of
// the records.
//
// Scan reads the keys; a stale read is cheap and may be seconds old. Rescan reads the roster
// alone, not stale. Apply and ApplyChanges take keys that were read elsewhere.
package discov

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
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
	// HubsKey holds the largest of many fronts, for fronts that start.
	HubsKey = Prefix + "hubs"
)

// maxTogether is the number of keys up to which Scan reads all in one call, which then is the
// cheapest way. Of more, it leaves out those of fronts: there are several times as many of them,
// and hundreds of VMs with a disk, which don't need them, would fill the store's link.
const maxTogether = 400

// minRescanInterval is the shortest interval between rescans. They are not stale, so each
// costs as much as ten stale reads.
const minRescanInterval = 150 * time.Millisecond

type (
	// Reader reads the keys and holds the newest state. Set Store before use.
	Reader struct {
		Store store.Shared

		mu          sync.Mutex
		state       State
		scannedRev  store.Rev // of the newest scan
		many        bool      // the last scan of all keys found more than maxTogether
		rescannedAt time.Time
		rescanning  chan struct{}
	}

	// State is what the keys hold. Its slices must not be changed.
	State struct {
		Roster   roster.Roster
		Revision store.Rev       // of the roster's key; 0 while unknown
		Stored   uint64          // version of the roster in that key, as last read
		Hubs     []byte          // value of HubsKey, as last read; nil if there is none
		Members  []roster.Member // VMs with a disk
		Entries  []fleet.Entry   // fronts
	}

	// frontValue is the value of a front's key.
	frontValue struct {
		Address string  `json:"address"`
		Peer    string  `json:"peer"`
		Domain  string  `json:"domain"`
		Cores   float64 `json:"cores,omitempty"`
	}
)

// FrontValue encodes the value of a front's key.
func FrontValue(e fleet.Entry) []byte {
	// strings and finite numbers always encode
	data, _ := json.Marshal(frontValue{Address: e.Address, Peer: e.Peer, Domain: e.Domain, Cores: e.Cores})
	return data
}

// HubsValue encodes the value of HubsKey.
func HubsValue(list []fleet.Entry) []byte {
	values := make(map[string]frontValue, len(list))
	for _, e := range list {
		values[e.Node] = frontValue{Address: e.Address, Peer: e.Peer, Domain: e.Domain, Cores: e.Cores}
	}
	data, _ := json.Marshal(values) // strings and finite numbers always encode
	return data
}

// Hubs decodes the value of HubsKey.
func Hubs(data []byte) (list []fleet.Entry, err error) {
	var values map[string]frontValue
	if err = json.Unmarshal(data, &values); err != nil {
		return nil, errors.Wrap(err, "decode hubs")
	}
	for _, node := range slices.Sorted(maps.Keys(values)) {
		v := values[node]
		list = append(list, fleet.Entry{Node: node, Address: v.Address, Peer: v.Peer, Domain: v.Domain, Cores: v.Cores})
	}
	return list, nil
}

// State returns the newest state.
func (s *Reader) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Roster returns the newest roster known.
func (s *Reader) Roster() roster.Roster { return s.State().Roster }

// Learn adopts a roster received from another daemon if it is newer. An invalid one is ignored.
func (s *Reader) Learn(data []byte) {
	r, err := roster.Decode(data)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Version > s.state.Roster.Version {
		s.state.Roster = r
		s.state.Revision = 0 // unknown; a writer has to scan first
	}
}

// Scan reads the roster and the VMs with a disk, and the fronts unless there are many keys.
func (s *Reader) Scan(ctx context.Context, stale bool) (err error) {
	defer func() { err = errors.Wrap(err, "scout") }()
	s.mu.Lock()
	many := s.many
	s.mu.Unlock()
	if !many {
		list, rev, err := s.Store.Scan(ctx, Prefix, stale)
		if err != nil {
			return err
		}
		s.mu.Lock()
		s.many = len(list) > maxTogether
		s.mu.Unlock()
		return s.Apply(list, rev)
	}
	list, rev, err := s.Store.Scan(ctx, DiskPrefix, stale)
	if err != nil {
		return err
	}
	rosterKey, rosterRev, err := s.Store.Scan(ctx, RosterKey, stale)
	if err != nil {
		return err
	}
	return s.Apply(slices.Concat(list, rosterKey), min(rev, rosterRev))
}

// scanRoster reads the roster alone.
func (s *Reader) scanRoster(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "scan roster") }()
	list, _, err := s.Store.Scan(ctx, RosterKey, false)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range list {
		if err := s.state.add(e); err != nil {
			return errors.Wrapf(err, "key %s", e.Key)
		}
	}
	return nil
}

// Apply replaces the state by the keys in list, which were read at revision rev. It ignores a
// list older than the last one, keys that are not of this system, and a roster older than the
// known one. On an invalid value the state stays as it was and the error names the key.
func (s *Reader) Apply(list []store.Entry, rev store.Rev) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev < s.scannedRev {
		return nil
	}
	s.scannedRev = rev
	next := State{Roster: s.state.Roster, Revision: s.state.Revision, Stored: s.state.Stored}
	for _, e := range list {
		if err := next.add(e); err != nil {
			return errors.Wrapf(err, "key %s", e.Key)
		}
	}
	s.state = next
	return nil
}

// ApplyChanges applies changes of keys in their order. It returns those of fronts, which State
// does not take over, the version of the roster if it is among them, and an error that names the
// keys with invalid values; these keep the state that they had.
func (s *Reader) ApplyChanges(list []store.Change) (d fleet.Delta, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fronts := map[string]*fleet.Entry{} // by node; nil if gone
	for _, c := range list {
		node, isFront := strings.CutPrefix(c.Key, FrontPrefix)
		switch {
		case isFront && c.Gone:
			fronts[node] = nil
		case isFront:
			e, invalid := decodeFront(c.Entry)
			if invalid != nil {
				err = errors.CombineErrors(err, errors.Wrapf(invalid, "key %s", c.Key))
				continue
			}
			fronts[node] = &e
		case c.Key == RosterKey && !c.Gone:
			if invalid := s.state.add(c.Entry); invalid != nil {
				err = errors.CombineErrors(err, errors.Wrapf(invalid, "key %s", c.Key))
				continue
			}
			d.Roster = s.state.Stored
		case c.Key == HubsKey:
			s.state.Hubs = c.Data
		}
	}
	for node, e := range fronts {
		if e == nil {
			d.GoneEntries = append(d.GoneEntries, node)
			continue
		}
		d.Entries = append(d.Entries, *e)
	}
	return d, err
}

// Fronts decodes the keys of fronts. The error names those with invalid values, which are left
// out.
func Fronts(list []store.Entry) (fronts []fleet.Entry, err error) {
	for _, e := range list {
		f, invalid := decodeFront(e)
		if invalid != nil {
			err = errors.CombineErrors(err, errors.Wrapf(invalid, "key %s", e.Key))
			continue
		}
		fronts = append(fronts, f)
	}
	return fronts, err
}

func decodeFront(e store.Entry) (f fleet.Entry, err error) {
	var v frontValue
	if err = json.Unmarshal(e.Data, &v); err != nil {
		return f, err
	}
	return fleet.Entry{
		Node: strings.TrimPrefix(e.Key, FrontPrefix), Address: v.Address, Peer: v.Peer, Domain: v.Domain, Cores: v.Cores,
	}, nil
}

func (s *State) add(e store.Entry) error {
	switch {
	case e.Key == RosterKey:
		r, err := roster.Decode(e.Data)
		if err != nil {
			return err
		}
		s.Stored = r.Version
		if r.Version >= s.Roster.Version {
			s.Roster, s.Revision = r, e.Rev
		}
	case e.Key == HubsKey:
		s.Hubs = e.Data
	case strings.HasPrefix(e.Key, DiskPrefix):
		var m roster.Member
		if err := json.Unmarshal(e.Data, &m); err != nil {
			return err
		}
		s.Members = append(s.Members, m)
	case strings.HasPrefix(e.Key, FrontPrefix):
		f, err := decodeFront(e)
		if err != nil {
			return err
		}
		s.Entries = append(s.Entries, f)
	}
	return nil
}

// Rescan reads the roster, not from a stale replica, unless the last one began less than
// minRescanInterval ago. Calls during a read wait for its result. After an error the state is
// unchanged.
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
		_ = s.scanRoster(context.WithoutCancel(ctx)) // the caller retries; the daemon's periodic reads log outages
		s.mu.Lock()
		s.rescanning = nil
		s.mu.Unlock()
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
