// Package vmset is a stand-in for the platform's list of VMs. What a reader
// sees lags behind what was set.
package vmset

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/plat/vmlist"
)

type (
	// Set implements vmlist.List. The zero value is an empty list without lag.
	Set struct {
		Lag time.Duration // from a change to its being seen
		Now func() time.Time

		mu          sync.Mutex
		changes     []change
		unavailable bool
	}

	change struct {
		at  time.Time
		vms []vmlist.VM
	}
)

var errUnavailable = errors.New("vm list: unavailable")

// Put replaces the list; readers see it after the lag.
func (s *Set) Put(vms ...vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, change{at: s.now().Add(s.Lag), vms: slices.Clone(vms)})
}

// Down makes reads fail until it is called with false.
func (s *Set) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

// VMs implements vmlist.List.
func (s *Set) VMs(context.Context) ([]vmlist.VM, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return nil, errUnavailable
	}
	for len(s.changes) > 1 && !s.now().Before(s.changes[1].at) {
		s.changes = s.changes[1:]
	}
	if len(s.changes) == 0 || s.now().Before(s.changes[0].at) {
		return nil, nil
	}
	return slices.Clone(s.changes[0].vms), nil
}

func (s *Set) now() time.Time {
	if s.Now == nil {
		return time.Now()
	}
	return s.Now()
}
