package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/slaterock/slaterock/internal/peer/beat"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
	retryAfter = time.Second // told to callers when no owner was found
)

type (
	// tenure is one daemon's ownership of a shard.
	ownership struct {
		name  string
		epoch uint64
	}

	// search is the state of one request on its way to an owner.
	retryState struct {
		timeout         time.Duration
		current         ownership // asked by the attempt under way
		started         time.Time
		deadline        time.Time // zero before the first failure
		backoff         time.Duration
		mayHaveRun      bool      // an attempt may have run
		firstUnknown    ownership // where that was first
		multipleUnknown bool      // it may have run elsewhere too
		lastError       string    // why the last attempt failed
	}
)

func (s *retryState) startAttempt(m beat.Member, shard int) {
	s.current = ownership{name: m.Name}
	for _, own := range m.Shards {
		if own.Shard == shard {
			s.current.epoch = own.Epoch
		}
	}
	s.started = time.Now()
}

// settles reports whether the attempt ended the request, and remembers what is
// unknown about one that did not.
func (s *retryState) isFinal(ctx context.Context, res result.Result, err error, unsent bool) bool {
	if err == nil && !isNotOwner(res) {
		return true
	}
	s.lastError = res.Message
	if err != nil {
		s.lastError = err.Error()
	}
	if !unsent && (err != nil || res.Ran != result.No) {
		s.recordUnknown()
	}
	if ctx.Err() == nil && time.Since(s.started) > s.limit() {
		s.deadline = time.Time{} // it was with an owner for long: a new failure
	}
	return false
}

func (s *retryState) recordUnknown() {
	if !s.mayHaveRun {
		s.firstUnknown = s.current
	}
	s.multipleUnknown = s.multipleUnknown || s.firstUnknown != s.current
	s.mayHaveRun = true
}

// lost tells a result that says nothing final: the daemon asked was not the
// owner, or stopped being it. An outcome that is recorded as unknown is final.
func isNotOwner(res result.Result) bool {
	return res.Code == result.CodeNotOwner
}

// honest takes back the word "no" of an owner that can't know. An earlier
// attempt may have run under another owner, and a model call that ran there
// need not be in the journal; its caller, told that nothing ran, would count on
// budget that is spent.
func (s *retryState) adjustRan(res result.Result) result.Result {
	elsewhere := s.multipleUnknown || s.firstUnknown != s.current
	if s.mayHaveRun && elsewhere && res.Ran == result.No {
		res.Ran = result.Unknown
	}
	return res
}

// wait pauses before the next look, and reports whether there is one.
func (s *retryState) wait(ctx context.Context) bool {
	if s.deadline.IsZero() {
		s.deadline = time.Now().Add(s.limit())
		s.backoff = minBackoff
	}
	// Jitter keeps the requests of a shard that moved from coming back at once.
	backoff := s.backoff/2 + rand.N(s.backoff)
	s.backoff = min(2*s.backoff, maxBackoff)
	if time.Now().Add(backoff).After(s.deadline) {
		return false
	}
	t := time.NewTimer(backoff)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// give is the answer when no owner could be reached.
func (s *retryState) failure(ctx context.Context) result.Result {
	ran := result.No
	if s.mayHaveRun {
		ran = result.Unknown
	}
	if ctx.Err() != nil {
		return result.Failed(result.CodeCancelled, ran, "the caller is gone")
	}
	why := s.lastError
	if why == "" {
		why = "no daemon is known to own the program"
	}
	return result.Failed(result.CodeNotOwner, ran, "%s", why).WithRetryAfter(retryAfter)
}

func (s *retryState) limit() time.Duration {
	if s.timeout <= 0 {
		return DefaultRetryTimeout
	}
	return s.timeout
}
