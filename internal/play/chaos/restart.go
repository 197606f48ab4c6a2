package chaos

import (
	"context"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/slaterock/slaterock/internal/fake/metakv"
	"github.com/slaterock/slaterock/internal/peer/pause"
)

// restart returns a function that stops the process with the signal and starts it
// again, with a torn write if it has a disk.
func (s *Runner) restart(c *process, sig syscall.Signal) func() {
	return func() {
		// Two faults may affect the same process at once. If both stopped and
		// started it, one of the two started processes would never be stopped.
		c.restartMu.Lock()
		defer c.restartMu.Unlock()
		c.stop(sig, termGrace)
		if c.dir != "" {
			c.appendTornWrite()
		}
		if err := c.start(); err != nil {
			s.observed.addViolation("%s did not start again: %v", c.name, err)
		}
	}
}

// restartAllDuringOutage kills and restarts all processes while the store refuses
// every call. It calls then before the outage ends.
func (s *Runner) restartAllDuringOutage(ctx context.Context, then func()) {
	s.metakv.SetFault(metakv.Busy)
	defer s.metakv.SetFault(metakv.None)
	pause.For(ctx, 300*time.Millisecond)
	var work sync.WaitGroup
	for _, c := range slices.Concat(s.fronts, s.disks) {
		work.Go(s.restart(c, syscall.SIGKILL))
	}
	work.Wait()
	then()
}

// replaceDisk kills the process, deletes its data folder and starts it again.
func (s *Runner) replaceDisk(ctx context.Context, c *process) {
	c.restartMu.Lock()
	defer c.restartMu.Unlock()
	c.stop(syscall.SIGKILL, termGrace)
	if err := os.RemoveAll(c.dir); err != nil {
		s.observed.addViolation("%s: %v", c.name, err)
	}
	pause.For(ctx, 300*time.Millisecond)
	if err := c.start(); err != nil {
		s.observed.addViolation("%s did not start again: %v", c.name, err)
	}
}
