package recap

import (
	"encoding/json"
	"slices"
)

// The parts of a program's time, in the order in which a request goes through them.
const (
	partRecords = iota // reserving tokens and reading the history
	partLimit          // waiting for the account's limit
	partQueue          // waiting for engines
	partFirst          // from there to the first event of a turn
	partEvents         // from the first event of a turn to its end
	partCalls          // plain calls, at the service
	partBetween        // no request in progress: the caller and the network
	partOther          // the rest, such as sends that were refused and the retries after them
	partCount
)

// maxSpans is how many attempts of one program are kept. Programs have about 10; of longer
// ones the earlier half is merged into one span.
const maxSpans = 32

// partNames are the names of the parts in reports.
var partNames = [partCount]string{"records", "limit", "queue", "first", "events", "calls", "between", "other"}

type (
	// Parts is time by part, in milliseconds.
	Parts [partCount]int64

	// span is an attempt, or several merged ones. Its parts add up to end - begin.
	span struct {
		begin, end int64
		parts      Parts
	}
)

// MarshalJSON writes an object with the names of the parts.
func (p Parts) MarshalJSON() ([]byte, error) {
	named := make(map[string]int64, partCount)
	for i, ms := range p {
		named[partNames[i]] = ms
	}
	return json.Marshal(named)
}

// Sum returns the whole time.
func (p Parts) Sum() (sum int64) {
	for _, ms := range p {
		sum += ms
	}
	return sum
}

func (p *Parts) add(q Parts) {
	for i, ms := range q {
		p[i] += ms
	}
}

// largest returns the name of the largest part.
func (p Parts) largest() string {
	if p.Sum() == 0 {
		return partNames[partOther]
	}
	return partNames[slices.Index(p[:], slices.Max(p[:]))]
}

// head returns the parts of the first ms of a span.
func (p Parts) head(ms int64) (h Parts) {
	for i, part := range p {
		h[i] = min(part, ms)
		ms -= h[i]
	}
	return h
}

// spanOf divides an attempt's time. Each part is at most what the ones before it left of
// the time, so that the parts add up whatever the line says.
func spanOf(l *Line) span {
	s := span{begin: l.begin(), end: l.End}
	left := l.Took
	take := func(part int, ms int64) {
		ms = min(max(ms, 0), left)
		s.parts[part] += ms
		left -= ms
	}
	events := int64(0)
	if l.Kind == kindStream && l.First > 0 {
		events = max(l.Took-l.First, 0)
	}
	take(partEvents, events)
	take(partRecords, l.Recorded)
	take(partLimit, l.LimitWait)
	take(partQueue, l.Queued)
	switch {
	case l.First == 0 && !l.mayHaveRun():
		take(partOther, left)
	case l.Kind == kindStream:
		take(partFirst, left)
	default:
		take(partCalls, left)
	}
	return s
}

// divide returns the time from the first begin to the last end of the spans by part. Where
// several are in progress, the time is that of the one that ended last, which the program
// waited for. It sorts the spans.
func divide(spans []span) (whole span) {
	if len(spans) == 0 {
		return whole
	}
	slices.SortStableFunc(spans, func(a, b span) int { return int(b.end - a.end) })
	whole = span{begin: spans[0].end, end: spans[0].end}
	for _, s := range spans {
		if s.end < whole.begin {
			whole.parts[partBetween] += whole.begin - s.end
			whole.begin = s.end
		}
		if s.begin < whole.begin {
			whole.parts.add(s.parts.head(whole.begin - s.begin))
			whole.begin = s.begin
		}
	}
	return whole
}

// compact merges the earlier half of the spans into one.
func compact(spans []span) []span {
	slices.SortStableFunc(spans, func(a, b span) int { return int(b.end - a.end) })
	half := len(spans) / 2
	return append(spans[:half], divide(spans[half:]))
}
