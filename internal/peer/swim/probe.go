package swim

import (
	"slices"
	"time"
)

const (
	indirectProbers    = 3             // daemons asked to probe one that did not answer
	indirectTicks      = 3             // ticks for which the ack of an indirect probe is forwarded
	downProbeOneIn     = 10            // ticks between probes of a down daemon, on average
	digestOneIn        = 20            // ticks between digest comparisons, on average
	startupTicks       = 20            // ticks after the start with more comparisons
	startupDigestOneIn = 3             // like digestOneIn, during startupTicks
	rejoinTicks        = 5             // ticks after a rejoin with more probes of down daemons
	rejoinProbes       = 3             // down daemons probed at each of these ticks
	configSettleTime   = 60 * Interval // no regular digest comparisons for so long after a configuration change
	membersPerPacket   = 30            // of a full state
	suspectFactor      = 2             // times spreadTicks: ticks to refute a suspicion
	suspectExtraTicks  = 2             // added to that
)

type (
	// probe is an outstanding probe. Stage counts the ticks since it was sent.
	probe struct {
		round uint64
		name  string
		stage int
	}

	// indirectProbe is a probe made on behalf of another daemon.
	indirectProbe struct {
		round        uint64
		stage        int
		requester    string // peer address
		requestRound uint64 // Round of the request, which the ack carries
		target       string // peer address
	}

	effects []Effect
)

func (o *effects) add(e Effect) { *o = append(*o, e) }

func (ms *Membership) tick(now time.Time, out *effects) {
	if ms.self.Name == "" {
		return
	}
	paused := !ms.lastTick.IsZero() && now.Sub(ms.lastTick) > pausedAfter
	if paused {
		ms.extendDeadlines(now.Sub(ms.lastTick))
	}
	ms.lastTick = now
	ms.ticks++
	ms.advanceProbes(now, out)
	ms.expire(now, out)
	ms.probeNext(now, out)
	ms.probeDown(now, out)
	ms.compareDigests(now, paused, out)
}

// extendDeadlines drops outstanding probes and extends suspicions after this
// process itself was paused. Otherwise it would consider daemons down whose acks
// it could not read in time.
func (ms *Membership) extendDeadlines(pause time.Duration) {
	ms.probes = nil
	ms.indirect = nil
	for _, r := range ms.records {
		if r.claim == Suspect {
			r.since = r.since.Add(pause)
		}
	}
}

// advanceProbes retries probes that have not been answered yet, and suspects the
// daemons that did not answer the retries either. Packet loss between two daemons
// only, or a link that fails in one direction, thus raises no suspicion.
func (ms *Membership) advanceProbes(now time.Time, out *effects) {
	due := ms.probes
	ms.probes = nil
	for _, p := range due {
		r := ms.records[p.name]
		p.stage++
		switch {
		case r == nil || r.state() == Down:
		case p.stage == 1:
			ms.probes = append(ms.probes, p)
			ms.retryProbe(now, p, r, out)
		case p.stage > 1:
			ms.setClaim(now, r, Suspect, r.reported.Serial, out)
		}
	}
	ms.indirect = slices.DeleteFunc(ms.indirect, func(ip indirectProbe) bool { return ip.stage >= indirectTicks })
	for i := range ms.indirect {
		ms.indirect[i].stage++
	}
}

// retryProbe sends the probe once more and asks other daemons to probe too.
func (ms *Membership) retryProbe(now time.Time, p probe, r *record, out *effects) {
	ms.send(now, r.reported.Peer, Packet{Round: p.round}, out)
	others := ms.sample(indirectProbers, func(o *record) bool { return o != r && o.state() == Alive })
	for _, name := range others {
		ms.send(now, ms.records[name].reported.Peer, Packet{Round: p.round, Ask: r.reported.Peer}, out)
	}
}

// expire sets daemons down whose suspicion was not refuted in time, and
// removes those that have been down for removeDownAfter.
func (ms *Membership) expire(now time.Time, out *effects) {
	limit := time.Duration(suspectFactor*ms.spreadTicks()+suspectExtraTicks) * Interval
	for _, name := range slices.Clone(ms.names) {
		r := ms.records[name]
		switch {
		case r.claim == Suspect && now.Sub(r.since) >= limit:
			ms.setClaim(now, r, Down, r.claimSerial, out)
		case r.state() == Down && now.Sub(r.since) >= removeDownAfter:
			ms.removeMember(name)
		}
	}
}

// probeNext probes the next daemon of a shuffled list, which it refills once it is
// empty, so that each daemon is probed within a bounded time, not only on average.
// With no daemon to probe, it joins through a seed.
func (ms *Membership) probeNext(now time.Time, out *effects) {
	for range 2 {
		for len(ms.toProbe) > 0 {
			name := ms.toProbe[0]
			ms.toProbe = ms.toProbe[1:]
			if r := ms.records[name]; r != nil && ms.notDown(r) {
				ms.probe(now, r, Packet{}, out)
				return
			}
		}
		ms.toProbe = ms.sample(len(ms.names), ms.notDown)
	}
	ms.join(now, out)
}

func (ms *Membership) probe(now time.Time, r *record, p Packet, out *effects) {
	ms.round++
	p.Round = ms.round
	ms.probes = append(ms.probes, probe{round: p.Round, name: r.reported.Name})
	ms.send(now, r.reported.Peer, p, out)
}

// join requests the full state from a random one of the seed addresses.
func (ms *Membership) join(now time.Time, out *effects) {
	seeds := ms.otherSeeds()
	if len(seeds) == 0 {
		return
	}
	ms.round++
	p := Packet{Round: ms.round, Full: true, News: []Member{ms.self}}
	ms.send(now, seeds[ms.rng.IntN(len(seeds))], p, out)
}

func (ms *Membership) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(ms.seeds), func(s string) bool { return s == ms.self.Peer })
}

// probeDown probes random daemons that are down. After a partition of some minutes
// each side considers the other down, and nothing else would reconnect them. When
// one such daemon answers again, the partition has probably ended, so several are
// probed at each of the next ticks.
func (ms *Membership) probeDown(now time.Time, out *effects) {
	n := 0
	switch {
	case !ms.rejoined.IsZero() && now.Sub(ms.rejoined) <= rejoinTicks*Interval:
		n = rejoinProbes
	case ms.rng.IntN(downProbeOneIn) == 0:
		n = 1
	}
	if n == 0 {
		return
	}
	for _, name := range ms.sample(n, ms.isDown) {
		ms.probe(now, ms.records[name], Packet{}, out)
	}
}

// compareDigests compares digests with a random daemon, and less often with a seed
// address: updates are sent a bounded number of times, and all may have been lost.
// It always does so after a pause of this process.
func (ms *Membership) compareDigests(now time.Time, paused bool, out *effects) {
	oneIn := digestOneIn
	if ms.ticks < startupTicks {
		oneIn = startupDigestOneIn
	}
	if !paused && (ms.rng.IntN(oneIn) != 0 || now.Sub(ms.configChanged) < configSettleTime) {
		return
	}
	p := Packet{Digest: ms.digest()}
	for _, name := range ms.sample(1, ms.notDown) {
		ms.probe(now, ms.records[name], p, out)
	}
	if seeds := ms.otherSeeds(); len(seeds) > 0 && ms.rng.IntN(len(ms.names)+1) == 0 {
		ms.send(now, seeds[ms.rng.IntN(len(seeds))], p, out)
	}
}
