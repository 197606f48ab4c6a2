// Package memory bounds what clients have this VM hold at a time: connections, and the bytes of heads, of
// bodies and of responses.
//
// Whatever is held on behalf of a client is taken from a Budget before it is allocated, and returned once.
// There is a bound for each kind, so that none takes the room of another: requests whose bodies and responses
// are short never wait for long ones, and a request that holds its body waits for room for its response, but
// never the other way round.
//
// When a kind is full, the client that holds most and has moved least for longest has to give way: its
// connection is closed, or it is told that its request has not run. A request that waits for its upstream is never
// ended; one whose client does not read the response is.
package memory

import (
	"cmp"
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

const (
	// Short is the length up to which a body, a response, or an event of a stream counts as short, in bytes.
	Short = 64 << 10
	// Longest is the most that may be taken at once for a response, in bytes.
	Longest = 16 << 20
	// requestShare, bodyShare and responseShare are the parts of the VM's memory that short requests, long bodies and
	// long responses may take. Garbage that is not collected yet takes as much again.
	requestShare  = 6
	bodyShare     = 8
	responseShare = 8
	// copyShare is the part of the VM's memory that copies of long records may take which are sent to replicas.
	copyShare = 16
	// mostBodyShare is the part of the VM's memory that one body or history may take alone.
	mostBodyShare = 4
	// callerShare, peerShare and checkShare are the parts of the VM's descriptors that connections of callers, of other daemons,
	// and for checks, the directory and metrics may take. The others are for upstreams, the store and files.
	callerShare = 3
	peerShare   = 3
	checkShare  = 8
	// otherMemory, in bytes, or the part otherShare of the VM's memory if that is more, is left for the program itself and
	// for what the kernel holds for it; the Go runtime gets the rest, at least the part leastRuntimeShare.
	otherMemory       = 36 << 20
	otherShare        = 4
	leastRuntimeShare = 2
	// defaultVM and defaultDescriptors are the size of a VM that is not known.
	defaultVM          = 128 << 20
	defaultDescriptors = 4096
)

// The kinds of what clients have the VM hold.
const (
	Callers   Kind = iota // connections of callers, each counts as 1
	Peers                 // connections of other daemons
	Checks                // connections for checks, the directory and metrics
	Requests              // connections, heads, short bodies and short responses, in bytes
	Bodies                // long bodies, in bytes
	Responses             // long responses, in bytes
	kinds
)

var (
	// ErrNone reports that no memory was free for a long response or body in time.
	ErrNone = errors.New("no memory is free")
	// ErrShed reports that a client had to give way to others.
	ErrShed = errors.New("the client holds much and moves little, and others need the room")

	kindNames = [kinds]string{"callers", "peers", "checks", "requests", "bodies", "responses"}
)

type (
	// Kind is a kind of what clients have the VM hold.
	Kind int

	// Budget is the room that the VM has for clients. The zero value has room for one of the longest responses.
	Budget struct {
		VM          int64 // memory of the VM, in bytes; 0 if not known; set before use
		MostCallers int64 // connections of callers, if the descriptors allow more; 0 for no bound of its own
		Descriptors int64 // that a process of the VM may have; 0 if not known; set before use
		// OnShed is called for each client that had to give way, or that was not let in; nil for nothing. It
		// must not block or call the Budget.
		OnShed func(Loss)

		once sync.Once
		free *semaphore.Weighted // for long responses

		buffers sync.Pool // of *[]byte, see Buffer

		onceCopies sync.Once
		freeCopies *semaphore.Weighted // for copies of records that are sent

		mu      sync.Mutex
		used    [kinds]int64
		leaving [kinds]int64 // of used, what clients hold that had to give way and have not ended yet
		clients map[*Client]struct{}
		changed chan struct{} // closed when something is returned, if somebody waits
	}

	// Loss is a client that had to give way.
	Loss struct {
		Name  string
		In    bool // it was let in before
		Kind  Kind // of which there was too little room
		Held  int64
		Stage Stage
		Still time.Duration // for which the client has moved nothing to speak of
	}
)

// BoundRuntime has the Go runtime of this process collect garbage before the VM has no memory left.
func (b *Budget) BoundRuntime() {
	if b.VM > 0 {
		debug.SetMemoryLimit(max(b.VM-max(b.VM/otherShare, otherMemory), b.VM/leastRuntimeShare))
	}
}

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Callers, Peers, Checks, Requests, Bodies, Responses} }

func (k Kind) String() string { return kindNames[k] }

// Limit returns the bytes of long responses that may be taken at a time.
func (b *Budget) Limit() int64 { return max(b.VM/responseShare, Longest) }

// Take takes n bytes for a long response, at most Longest, once they are free. It fails with ErrNone if ctx
// ends before.
func (b *Budget) Take(ctx context.Context, n int64) error {
	return errors.Mark(b.semaphore().Acquire(ctx, n), ErrNone)
}

// Return returns n bytes that Take took.
func (b *Budget) Return(n int64) { b.semaphore().Release(n) }

func (b *Budget) semaphore() *semaphore.Weighted {
	b.once.Do(func() { b.free = semaphore.NewWeighted(b.Limit()) })
	return b.free
}

// TakeCopy takes n bytes for a copy of a record that is sent, once they are free; a record that is larger than the bound
// takes all of it. It fails with ErrNone if ctx ends before.
func (b *Budget) TakeCopy(ctx context.Context, n int64) error {
	return errors.Mark(b.copies().Acquire(ctx, min(n, b.copyLimit())), ErrNone)
}

// ReturnCopy returns what TakeCopy took for n bytes.
func (b *Budget) ReturnCopy(n int64) { b.copies().Release(min(n, b.copyLimit())) }

func (b *Budget) copyLimit() int64 { return cmp.Or(b.VM, defaultVM) / copyShare }

func (b *Budget) copies() *semaphore.Weighted {
	b.onceCopies.Do(func() { b.freeCopies = semaphore.NewWeighted(b.copyLimit()) })
	return b.freeCopies
}

// Used returns how much of a kind is held now, and how much may be.
func (b *Budget) Used(k Kind) (used, limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[k], b.limit(k)
}

func (b *Budget) limit(k Kind) int64 {
	vm, descriptors := cmp.Or(b.VM, defaultVM), cmp.Or(b.Descriptors, defaultDescriptors)
	switch k {
	case Callers:
		return min(descriptors/callerShare, cmp.Or(b.MostCallers, descriptors))
	case Peers:
		return descriptors / peerShare
	case Checks:
		return descriptors / checkShare
	case Responses:
		return b.Limit()
	case Bodies:
		return vm / bodyShare
	default:
		return vm / requestShare
	}
}

// MostBody returns the most that may be taken at once for a long body or a history, in bytes.
func (b *Budget) MostBody() int64 { return cmp.Or(b.VM, defaultVM) / mostBodyShare }

// fits reports whether there is room for n more of a kind. What one takes alone always fits. The caller holds b.mu.
func (b *Budget) fits(k Kind, n int64) bool {
	used := b.used[k] - b.leaving[k]
	return used == 0 || used+n <= b.limit(k)
}

// notify wakes those that wait. The caller holds b.mu.
func (b *Budget) notify() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// wait returns a channel that is closed when something is returned. The caller holds b.mu.
func (b *Budget) wait() <-chan struct{} {
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}
