package watch

import (
	"slices"
	"time"
)

// askPeers asks those that know more, and at the start a few in any case.
func (w *Watch) askPeers(now time.Time) (effects []Effect) {
	if now.Before(w.nextAsk) {
		return nil
	}
	for _, peer := range w.sources(now) {
		if len(w.asking) >= maxAsk {
			break
		}
		if !w.asking[peer] {
			w.asking[peer] = true
			w.asked[peer] = true
			effects = append(effects, Ask{Peer: peer})
		}
	}
	return effects
}

// sources returns the peers to ask now.
func (w *Watch) sources(now time.Time) (list []string) {
	for peer, v := range w.told {
		if v > w.newest() {
			list = append(list, peer)
		}
	}
	slices.Sort(list) // a map's order would make replays differ
	switch {
	case w.force.Version == 0:
		list = append(list, w.firstRound(now)...)
	case len(list) == 0 && len(w.asking) == 0 && w.wanted > w.newest():
		// Those that told of it did not have it or are gone.
		w.nextAsk = now.Add(w.spread(askRetry))
		list = firstOf(w.peers(), 1)
	}
	return list
}

// firstRound returns the peers to ask at the start. A round ends when enough
// have answered, or the most that one round asks were asked and none is under
// way. Without any head by then there is another.
func (w *Watch) firstRound(now time.Time) (list []string) {
	if w.round && w.newest() > 0 {
		return nil
	}
	if w.round {
		if now.Before(w.nextRound) {
			return nil
		}
		w.round, w.answers = false, 0
		clear(w.asked)
	}
	for _, peer := range w.peers() {
		if !w.asked[peer] && len(w.asked)+len(list) < maxRound {
			list = append(list, peer)
		}
	}
	if w.answers >= maxAsk || len(list) == 0 && len(w.asking) == 0 {
		w.round = true
		w.nextRound = now.Add(min(w.backOff(w.rounds), maxRoundWait))
		w.rounds++
		return nil
	}
	return list
}

// peers returns every known peer's address but the daemon's own, shuffled.
func (w *Watch) peers() (list []string) {
	list = slices.Clone(w.seeds)
	for _, m := range w.members {
		list = append(list, m.Peer)
	}
	slices.Sort(list)
	list = slices.Compact(list)
	list = slices.DeleteFunc(list, func(p string) bool { return p == "" || p == w.self.Peer })
	w.jitter.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

func firstOf(list []string, n int) []string { return list[:min(len(list), n)] }
