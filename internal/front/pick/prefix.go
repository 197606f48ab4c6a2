package pick

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/slaterock/slaterock/internal/front/cached"
	"github.com/slaterock/slaterock/internal/front/fleet"
)

const (
	// maxHolders is the number of upstreams with the shared parts that are compared if not all
	// candidates are, in place of as many of those selected last: a prefill costs more than a new
	// connection.
	maxHolders = recentSize
	// laterTurns is the number of later turns for which a new program is charged the load of the
	// engine where it begins: of the 2 to 8 that it has, some move.
	laterTurns = 2
	// busyShare is the share of its batch size from which an upstream gets no programs for the sake
	// of what it has cached: the rest is for those that are there and return for their next turns.
	busyShare = 0.75
)

type (
	// Holder is an upstream that is known to have a part cached.
	Holder struct {
		ID       string
		Upstream cached.Upstream // its incarnation
	}

	// sharing is what is known about the shared parts of the request for which an upstream is
	// being selected. It keeps its memory from request to request.
	sharing struct {
		total int                     // tokens of the shared parts
		whole bool                    // an upstream has all of them
		held  map[cached.Upstream]int // tokens of the longest beginning that an upstream has
		list  []Holder                // of the longest beginning that any upstream has
		spare []Holder
		// holders is the number of upstreams with the longest beginning, of which list may be a sample.
		holders int
	}
)

// findHolders prepares the selection for a request with shared parts. The id of a part stands for
// all parts before it too, so an upstream that has a part has those, and the last one counts.
func (p *Picker) findHolders(now time.Time, r *Request) {
	s := &p.sharing
	s.total, s.whole, s.list, s.holders = 0, false, s.list[:0], 0
	clear(s.held)
	for _, part := range r.Shared {
		s.total += part.Tokens
	}
	if p.Holders == nil {
		return
	}
	tokens := s.total
	for i := len(r.Shared) - 1; i >= 0 && len(s.list) < maxHolders; i-- {
		s.spare = p.Holders(now, r.Shared[i].ID, s.spare[:0])
		n := len(s.spare)
		if r.Candidates.Len() > maxWalk {
			s.spare = sample(s.spare)
		}
		s.hold(s.spare, tokens)
		s.whole = s.whole || tokens == s.total && len(s.spare) > 0
		if len(s.list) == 0 {
			s.list, s.spare, s.holders = s.spare, s.list, n
		}
		tokens -= r.Shared[i].Tokens
	}
}

// hold adds upstreams that have so many tokens, if they are not known to have more.
func (s *sharing) hold(list []Holder, tokens int) {
	if s.held == nil {
		s.held = map[cached.Upstream]int{}
	}
	for _, h := range list {
		if _, known := s.held[h.Upstream]; !known {
			s.held[h.Upstream] = tokens
		}
	}
}

// heldTokens returns the tokens of the shared parts that the upstream has cached.
func (p *Picker) heldTokens(u *fleet.Upstream) int {
	if len(p.sharing.held) == 0 {
		return 0
	}
	return p.sharing.held[cached.UpstreamOf(u.ID, u.Born)]
}

// prefillCost returns the time in which the upstream prefills what others have cached: for a new
// program the shared parts, for a later turn the prompt. Shared parts that most upstreams have are
// used by so many programs that the others will have to prefill them too. They cost less, by the
// share of upstreams that have them; otherwise upstreams without such parts would stay idle. The
// shared parts make no difference to a later turn: programs that move more easily slow others down.
func (p *Picker) prefillCost(u *fleet.Upstream, r *Request) float64 {
	switch {
	case r.Prefer == "" && len(r.Shared) > 0:
		return p.missingShared(u, r) / prefillPerMs
	case r.Prefer != "" && u.ID != r.Prefer:
		return float64(r.Tokens) / prefillPerMs
	}
	return 0
}

// missingShared returns the tokens of the shared parts that the upstream lacks, less the share of
// upstreams that have them. A busy upstream counts as if it lacked them all: the programs that it
// would get besides wait for a place there for longer than the prefill takes elsewhere.
func (p *Picker) missingShared(u *fleet.Upstream, r *Request) float64 {
	held := p.heldTokens(u)
	if float64(p.inFlight(u.ID)) >= busyShare*float64(u.Batch) {
		held = 0
	}
	spread := float64(p.sharing.holders) / float64(r.Candidates.Len())
	return float64(p.sharing.total-held) * (1 - min(spread, 1))
}

// laterCost returns what the requests in flight at the upstream cost the later turns of a new
// program with shared parts, which stay there. Without it an engine with a popular prefix gets
// programs until their turns are slower by more than the prefill that is saved once.
func laterCost(r *Request, inFlight int) float64 {
	if r.Prefer != "" || len(r.Shared) == 0 {
		return 0
	}
	return laterTurns * contentionCost * float64(inFlight)
}

// order returns the cost by which the order of equally loaded upstreams differs: from program to
// program, or from prefix to prefix if no upstream has all shared parts yet. Fronts that have the
// same prefix to prefill at the same time then select the same few engines: the logarithm of the
// rank sets the first ranks apart. The cost is at most that of the prefill, or the usual one, so an
// upstream that has a longer beginning comes first, however many there are.
func (p *Picker) order(u *fleet.Upstream, r *Request, missing, confidence float64) float64 {
	cost := noiseCost + spreadCost*(1-confidence)
	if missing == 0 || p.sharing.whole {
		return cost * weight(cmp.Or(r.Key, p.Name), u.ID)
	}
	n := float64(r.Candidates.Len())
	last := r.Shared[len(r.Shared)-1].ID
	return max(cost, missing) * math.Log1p(n*weightOf(last, u.ID)) / math.Log1p(n)
}

// sample returns maxHolders of the list at most, which begin at a random one.
func sample(list []Holder) []Holder {
	n := len(list)
	if n <= maxHolders {
		return list
	}
	first := rand.IntN(n)
	list = append(list, list[:maxHolders]...)
	copy(list, list[first:first+maxHolders])
	return list[:maxHolders]
}

// compareHolders compares the upstreams with shared parts, and returns how many.
func (s *selection) compareHolders() (n int) {
	list := s.p.sharing.list
	for _, h := range list {
		s.compareID(h.ID)
	}
	return len(list)
}

// weightOf is weight for a part.
func weightOf(part uint64, id string) float64 {
	var d xxhash.Digest
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], part)
	d.Reset()
	_, _ = d.Write(key[:])
	_, _ = d.WriteString(id)
	return float64(d.Sum64()>>11) / (1 << 53)
}
