package watch

import (
	"slices"
	"time"
)

// queryPeers queries peers that know a newer version, and at the start a few in any case.
func (w *Watch) queryPeers(now time.Time) (effects []Effect) {
	if now.Before(w.nextQuery) {
		return nil
	}
	for _, peer := range w.peersToQuery(now) {
		if len(w.pendingQueries) >= maxPeerQueries {
			break
		}
		if !w.pendingQueries[peer] {
			w.pendingQueries[peer] = true
			w.queriedPeers[peer] = true
			effects = append(effects, QueryPeer{Peer: peer})
		}
	}
	return effects
}

// peersToQuery returns the peers to query now.
func (w *Watch) peersToQuery(now time.Time) (list []string) {
	for peer, v := range w.versionSeen {
		if v > w.newest() {
			list = append(list, peer)
		}
	}
	slices.Sort(list) // map order would make replays differ
	switch {
	case w.active.Version == 0:
		list = append(list, w.startupRound(now)...)
	case len(list) == 0 && len(w.pendingQueries) == 0 && w.highestSeen > w.newest():
		// The peers that announced the version did not have it or are gone.
		w.nextQuery = now.Add(w.addJitter(peerRetryDelay))
		list = firstOf(w.peers(), 1)
	}
	return list
}

// startupRound returns the peers to query at the start. A round ends when enough peers have
// answered, or when no further peer may be queried and no query is pending. If no head is known
// by then, another round follows.
func (w *Watch) startupRound(now time.Time) (list []string) {
	if w.roundEnded && w.newest() > 0 {
		return nil
	}
	if w.roundEnded {
		if now.Before(w.nextRound) {
			return nil
		}
		w.roundEnded, w.answerCount = false, 0
		clear(w.queriedPeers)
	}
	for _, peer := range w.peers() {
		if !w.queriedPeers[peer] && len(w.queriedPeers)+len(list) < maxPeersPerRound {
			list = append(list, peer)
		}
	}
	if w.answerCount >= maxPeerQueries || len(list) == 0 && len(w.pendingQueries) == 0 {
		w.roundEnded = true
		w.nextRound = now.Add(min(w.retryDelay(w.roundsEnded), maxRoundWait))
		w.roundsEnded++
		return nil
	}
	return list
}

// peers returns the addresses of all known peers except this daemon's own, shuffled.
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
