// Package vmset is a fake of the platform's VM list. A change becomes visible to
// readers after a configurable lag.
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
	// Set exported fields before the first call.
	Set struct {
		Lag time.Duration    // time from a change until readers see it
		Now func() time.Time // clock; nil means time.Now

		mu          sync.Mutex
		changes     []change
		unavailable bool
	}

	change struct {
		at  time.Time // when readers see it
		vms []vmlist.VM
	}
)

var errUnavailable = errors.New("vm list: unavailable")

// Put replaces the list. Readers see the new one after Lag.
func (s *Set) Put(vms ...vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, change{at: s.now().Add(s.Lag), vms: slices.Clone(vms)})
}

// SetUnavailable makes reads fail until it is called with false.
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
