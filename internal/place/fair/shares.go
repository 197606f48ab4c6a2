package fair

import (
	"maps"
	"math"
	"time"
)

const (
	// shareTime is the time constant of the mean turns in flight of accounts, about the time
	// that a program takes. The number at one moment depends on chance and on the age of
	// other daemons' state.
	shareTime = time.Second
	// shareInterval is the shortest interval between two updates of the means. Other daemons
	// report every 100 ms.
	shareInterval = 50 * time.Millisecond
	// askTime is the time constant of the number of programs that accounts ask to begin. One
	// daemon of hundreds sees about one in a second.
	askTime = 3 * time.Second
	// minExcess is the multiple of the mean of all accounts from which on an account counts as
	// asking for more than the others. One daemon sees few programs of each account in askTime.
	minExcess = 2.0
	// minScale is the decay after which it is applied to the counts.
	minScale = 0.01
	// minMean is the mean number of turns or of programs below which an account is forgotten. It
	// does not depend on weights: those of accounts are requests a second, up to thousands.
	minMean = 0.05
)

// Shares are the mean turns in flight of accounts while programs wait. The zero value has
// none.
type Shares struct {
	mean  map[string]float64
	equal float64 // mean of all accounts for each unit of weight
	at    time.Time

	asked   map[string]ask
	sum     float64 // of the shares of asked
	scale   float64
	askedAt time.Time
}

// ask is how many programs of an account asked to begin here, to be multiplied by the scale.
type ask struct{ programs, weight float64 }

// share returns the programs for each unit of the account's weight.
func (a ask) share() float64 { return a.programs / weight(a.weight) }

// Observe adds the present turns in flight by account. An account that is missing in weights
// has a weight of 1.
func (s *Shares) Observe(now time.Time, running map[string]int, weights map[string]float64) {
	elapsed := now.Sub(s.at)
	if !s.at.IsZero() && elapsed < shareInterval {
		return
	}
	part := 1 - math.Exp(-float64(elapsed)/float64(shareTime))
	if s.at.IsZero() || elapsed > shareTime || s.mean == nil {
		s.mean, part = map[string]float64{}, 1
	}
	s.at = now
	for account, n := range running {
		s.mean[account] += part * float64(n)
	}
	maps.DeleteFunc(s.mean, func(account string, mean float64) bool {
		// Observed values were added above; the rest of the mean decays.
		added := part * float64(running[account])
		s.mean[account] = added + (1-part)*(mean-added)
		return s.mean[account] < minMean
	})
	s.setEqual(weights)
}

// Ask records that a program of an account of this weight asks to begin here.
func (s *Shares) Ask(now time.Time, account string, w float64) {
	keep := math.Exp(-float64(now.Sub(s.askedAt)) / float64(askTime))
	if s.asked == nil {
		s.asked = map[string]ask{}
	}
	if s.scale *= keep; s.asked[account].programs == 0 || s.scale < minScale {
		s.rescale()
	}
	s.askedAt = now
	before := s.asked[account]
	after := ask{programs: before.programs + 1/s.scale, weight: w}
	s.asked[account] = after
	s.sum += after.share() - before.share()
}

// rescale applies the decay to what accounts have asked for, and forgets those that ask for
// nothing any more.
func (s *Shares) rescale() {
	s.sum = 0
	for account, a := range s.asked {
		if a.programs *= s.scale; a.programs < minMean {
			delete(s.asked, account)
			continue
		}
		s.asked[account] = a
		s.sum += a.share()
	}
	s.scale = 1
}

// Over reports whether an account of this weight asks for more than the others and has more
// than an equal share.
func (s *Shares) Over(account string, w float64) bool {
	asks := s.asked[account].share()*float64(len(s.asked)) > minExcess*s.sum
	return asks && s.mean[account] > weight(w)*s.equal
}

// setEqual sets the equal share.
func (s *Shares) setEqual(weights map[string]float64) {
	turns, all := 0.0, 0.0
	for account, mean := range s.mean {
		turns += mean
		all += weight(weights[account])
	}
	if s.equal = 0; all > 0 {
		s.equal = turns / all
	}
}
