// Package procs measures what a process of this machine holds: its memory, what the kernel has received for
// it, and its descriptors.
package procs

import (
	"context"
	"net"
	"time"

	"github.com/prometheus/procfs"

	"github.com/slaterock/slaterock/internal/peer/pause"
)

// interval is the pause between two looks at a process.
const interval = 20 * time.Millisecond

// Usage is the most that a process has held at a time. Set PID and IP, then call Watch.
type Usage struct {
	PID         int
	IP          net.IP // of its listeners
	Memory      int64  // bytes, with those that the kernel has received for it and that it has not read
	Unread      int64  // of these, bytes that it has not read
	Descriptors int
	Err         error // of the first look that failed
}

// Watch looks at the process until ctx ends.
func (u *Usage) Watch(ctx context.Context) {
	for {
		if err := u.look(); err != nil && u.Err == nil {
			u.Err = err
		}
		if !pause.For(ctx, interval) {
			return
		}
	}
}

func (u *Usage) look() error {
	p, err := procfs.NewProc(u.PID)
	if err != nil {
		return err
	}
	status, err := p.NewStatus()
	if err != nil {
		return err
	}
	n, err := p.FileDescriptorsLen()
	if err != nil {
		return err
	}
	unread, err := u.unread()
	if err != nil {
		return err
	}
	u.Descriptors, u.Unread = max(u.Descriptors, n), max(u.Unread, unread)
	// the peak is exact, also between two looks
	u.Memory = max(u.Memory, int64(status.VmHWM), int64(status.VmRSS)+unread)
	return nil
}

// unread returns the bytes that the kernel has received for the address and that nobody has read.
func (u *Usage) unread() (n int64, err error) {
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, err
	}
	conns, err := fs.NetTCP() //nolint:staticcheck // the netlink library is a lot for one number
	if err != nil {
		return 0, err
	}
	const listening = 10 // the state in which the queue counts connections
	for _, c := range conns {
		if c.LocalAddr.Equal(u.IP) && c.St != listening {
			n += int64(c.RxQueue)
		}
	}
	return n, nil
}
