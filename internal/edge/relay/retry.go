package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/slaterock/slaterock/internal/peer/swim"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 250 * time.Millisecond
	retryAfter = time.Second // suggested to callers when no owner was reached
)

type (
	// ownership identifies one daemon's ownership of a shard.
	ownership struct {
		name  string
		epoch uint64
	}

	// retryState is the state of one request over its attempts.
	retryState struct {
		timeout         time.Duration
		current         ownership // owner in the current attempt
		started         time.Time
		deadline        time.Time // set by the first wait; zero again after an attempt longer than the timeout
		backoff         time.Duration
		mayHaveRun      bool      // an attempt has an unknown outcome
		firstUnknown    ownership // owner in the first such attempt
		multipleUnknown bool      // such attempts at more than one ownership
		lastError       string    // why the last attempt failed
	}
)

func (s *retryState) startAttempt(m swim.Member, shard int) {
	s.current = ownership{name: m.Name}
	for _, own := range m.Shards {
		if own.Shard == shard {
			s.current.epoch = own.Epoch
		}
	}
	s.started = time.Now()
}

// endAttempt reports whether the attempt's result is final. If not, it records the
// error and whether the attempt may have run; after an attempt that took longer than
// the timeout, the timeout starts anew.
func (s *retryState) endAttempt(ctx context.Context, res result.Result, err error, unsent bool) bool {
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
		s.deadline = time.Time{} // the attempt itself took longer than the timeout: give the retries a new one
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

// isNotOwner reports whether the daemon was not the owner or lost ownership during
// the request. Any other result is final, a recorded unknown outcome as well.
func isNotOwner(res result.Result) bool {
	return res.Code == result.CodeNotOwner
}

// adjustRan changes Ran from No to Unknown if an earlier attempt may have run
// under another ownership. The journal may lack a model call that ran there, so this
// owner does not know whether it ran. With No the caller would believe that its
// budget is unspent.
func (s *retryState) adjustRan(res result.Result) result.Result {
	elsewhere := s.multipleUnknown || s.firstUnknown != s.current
	if s.mayHaveRun && elsewhere && res.Ran == result.No {
		res.Ran = result.Unknown
	}
	return res
}

// wait sleeps for the backoff and reports whether to make another attempt.
func (s *retryState) wait(ctx context.Context) bool {
	if s.deadline.IsZero() {
		s.deadline = time.Now().Add(s.limit())
		s.backoff = minBackoff
	}
	// Jitter keeps the retries for a moved shard from arriving all at once.
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

// failure returns the result when the request is given up.
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
