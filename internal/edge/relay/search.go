package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	firstPause = 20 * time.Millisecond
	maxPause   = 250 * time.Millisecond
	retryAfter = time.Second // told to callers when no owner was found
)

type (
	// tenure is one daemon's ownership of a shard.
	tenure struct {
		name  string
		epoch uint64
	}

	// search is the state of one request on its way to an owner.
	search struct {
		patience time.Duration
		now      tenure // asked by the attempt under way
		began    time.Time
		until    time.Time // zero before the first failure
		pause    time.Duration
		unknown  bool   // an attempt may have run
		lost     tenure // where that was first
		several  bool   // it may have run elsewhere too
		last     string // why the last attempt failed
	}
)

func (s *search) begin(m swim.Member, shard int) {
	s.now = tenure{name: m.Name}
	for _, own := range m.Shards {
		if own.Shard == shard {
			s.now.epoch = own.Epoch
		}
	}
	s.began = time.Now()
}

// settles reports whether the attempt ended the request, and remembers what is
// unknown about one that did not.
func (s *search) settles(ctx context.Context, res result.Result, err error, unsent bool) bool {
	if err == nil && !lost(res) {
		return true
	}
	s.last = res.Message
	if err != nil {
		s.last = err.Error()
	}
	if !unsent && (err != nil || res.Ran != result.No) {
		s.mayHaveRun()
	}
	if ctx.Err() == nil && time.Since(s.began) > s.limit() {
		s.until = time.Time{} // it was with an owner for long: a new failure
	}
	return false
}

func (s *search) mayHaveRun() {
	if !s.unknown {
		s.lost = s.now
	}
	s.several = s.several || s.lost != s.now
	s.unknown = true
}

// lost tells a result that says nothing final: the daemon asked was not the
// owner, or stopped being it. An outcome that is recorded as unknown is final.
func lost(res result.Result) bool {
	return res.Code == result.CodeNotOwner
}

// honest takes back the word "no" of an owner that can't know. An earlier
// attempt may have run under another owner, and a model call that ran there
// need not be in the journal; its caller, told that nothing ran, would count on
// budget that is spent.
func (s *search) honest(res result.Result) result.Result {
	elsewhere := s.several || s.lost != s.now
	if s.unknown && elsewhere && res.Ran == result.No {
		res.Ran = result.Unknown
	}
	return res
}

// wait pauses before the next look, and reports whether there is one.
func (s *search) wait(ctx context.Context) bool {
	if s.until.IsZero() {
		s.until = time.Now().Add(s.limit())
		s.pause = firstPause
	}
	// Jitter keeps the requests of a shard that moved from coming back at once.
	pause := s.pause/2 + rand.N(s.pause)
	s.pause = min(2*s.pause, maxPause)
	if time.Now().Add(pause).After(s.until) {
		return false
	}
	t := time.NewTimer(pause)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// give is the answer when no owner could be reached.
func (s *search) give(ctx context.Context) result.Result {
	ran := result.No
	if s.unknown {
		ran = result.Unknown
	}
	if ctx.Err() != nil {
		return result.Failed(result.CodeCancelled, ran, "the caller is gone")
	}
	why := s.last
	if why == "" {
		why = "no daemon is known to own the program"
	}
	return result.Failed(result.CodeNotOwner, ran, "%s", why).WithRetryAfter(retryAfter)
}

func (s *search) limit() time.Duration {
	if s.patience <= 0 {
		return DefaultPatience
	}
	return s.patience
}
