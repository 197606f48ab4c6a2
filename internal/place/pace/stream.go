package pace

import "time"

// partTime is the least time of a part of a stream that is a sample. A change is then seen
// after an event or two, while samples of usual engines still have several events.
const partTime = 60 * time.Millisecond

// Stream divides the events of a stream into samples. Set Last to the time of the first event.
type Stream struct {
	Last     time.Time // of the last event
	took     time.Duration
	expected time.Duration
	long     bool // the last sample was longer than chance explains
}

// Event adds an event that is usually that long after the one before, and calls observe with the
// samples that are complete: measured and expected time in seconds, and whether a long one is
// confirmed by the one before. A prompt that another request has prefilled delays all streams at
// its engine once, so a single long sample says nothing. Observe returns whether the sample was
// long.
func (s *Stream) Event(now time.Time, expected time.Duration, observe func(measured, expected float64, confirmed bool) (long bool)) {
	took := now.Sub(s.Last)
	s.Last = now
	if took >= partTime {
		s.End(observe)
	}
	s.took += took
	s.expected += expected
	if s.took >= partTime {
		s.End(observe)
	}
}

// End calls observe with what is left, if there is any.
func (s *Stream) End(observe func(measured, expected float64, confirmed bool) (long bool)) {
	if s.expected > 0 {
		s.long = observe(s.took.Seconds(), s.expected.Seconds(), s.long)
	}
	s.took, s.expected = 0, 0
}
