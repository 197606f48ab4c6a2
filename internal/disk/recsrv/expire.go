package recsrv

import (
	"context"
	"sync"
	"time"

	"github.com/slaterock/slaterock/internal/disk/roster"
	"github.com/slaterock/slaterock/internal/peer/link"
)

const (
	// maxExpired is how many programs expire in one Trim at most: it bounds the question about them.
	maxExpired = 4096
	// askTimeout bounds the question whether programs are retained elsewhere. It is no caller's request.
	askTimeout = time.Second
	// holdTime is how long records are retained beyond their time after a restart while the store is away: which VMs
	// are replicas is not known then, and records are still written.
	holdTime = 2 * time.Minute
)

// expire removes programs whose retention has ended. A program's newest records may be on other replicas
// only: their choice changes with the roster and with each replica that is slow. The older ones are retained
// here as long as those are, or they would be lost with the replica that has both. So the other replicas are
// asked first, and records expire only once an absence quorum does not need them. While too few answer, nothing is
// written either, so what stays fills no disk.
func (s *Server) expire(ctx context.Context, now time.Time) {
	s.mu.Lock()
	if now.Sub(s.importedAt) < importGrace {
		s.mu.Unlock()
		return
	}
	names := s.index.Expired(now, maxExpired)
	r := s.roster
	s.mu.Unlock()
	removeAt := now
	switch _, isReplica := r.Find(s.diskID); {
	case len(names) == 0 || s.Others == nil:
	case r.Version == 0:
		removeAt = now.Add(-holdTime)
	case isReplica && !s.askOthers(ctx, r, names):
		names = nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range names {
		s.index.Remove(name, removeAt)
	}
	s.index.ExpireAwaited(now)
}

// askOthers asks the other replicas until when they retain the programs, and retains them as long. It
// reports whether an absence quorum has answered: if a record that needs the programs was acknowledged, one of these
// has it.
func (s *Server) askOthers(ctx context.Context, r roster.Roster, names []string) bool {
	ctx, stop := context.WithTimeout(ctx, askTimeout)
	defer stop()
	answered := make([]bool, len(r.Replicas))
	var work sync.WaitGroup
	for i, p := range r.Replicas {
		if p.DiskID == s.diskID {
			answered[i] = true
			continue
		}
		work.Go(func() {
			var reply RetainedReply
			req := RetainedRequest{Target: Target{Version: r.Version, DiskID: p.DiskID}, Programs: names}
			err := link.InvokeTyped(ctx, s.Others(p.Address), MethodRetained, req, &reply)
			answered[i] = err == nil && reply.Refusal.Code == "" && len(reply.Until) == len(names)
			if answered[i] {
				s.retain(names, reply.Until)
			}
		})
	}
	work.Wait()
	complete := 0
	for i, p := range r.Replicas {
		if answered[i] && !p.Joining {
			complete++
		}
	}
	return complete >= r.AbsenceQuorum()
}

func (s *Server) retain(names []string, until []int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, name := range names {
		if until[i] > 0 {
			s.index.Retain(name, time.UnixMilli(until[i]))
		}
	}
}

// Retained returns until when this replica retains programs.
func (s *Server) Retained(_ context.Context, req RetainedRequest) (reply RetainedReply, err error) {
	if r := s.checkTarget(req.Target); r.Code != "" {
		return RetainedReply{Refusal: r}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply.Until = make([]int64, len(req.Programs))
	for i, name := range req.Programs {
		if until := s.index.RetainedUntil(name); !until.IsZero() {
			reply.Until[i] = until.UnixMilli()
		}
	}
	return reply, nil
}
