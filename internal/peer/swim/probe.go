package swim

import (
	"slices"
	"time"
)

const (
	indirectProbers    = 3  // daemons asked to probe one that did not answer
	indirectRounds     = 3  // how long an answer is passed on to who asked
	downProbeOneIn     = 10 // rounds between probes of one that is down, on average
	digestOneIn        = 20 // rounds between comparisons of whole pictures, on average
	startupRounds      = 20 // rounds after the start with more comparisons
	startupDigestOneIn = 3  // for that time
	rejoinRounds       = 5  // how long a return makes others that are down be probed
	rejoinProbes       = 3  // of them in each round
	configSettleTime   = 60 * Interval
	membersPerPacket   = 30 // in one packet
	suspectFactor      = 2  // of the logarithm: rounds to refute
	suspectExtraRounds = 2  // rounds added to that
)

type (
	// probe waits for an answer. Stage counts the ticks since it was sent.
	probe struct {
		round uint64
		name  string
		stage int
	}

	// help is a probe made for another daemon.
	indirectProbe struct {
		round        uint64
		stage        int
		requester    string // who asked
		requestRound uint64 // the round that was asked in
		target       string // peer address that is probed
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

// forgive drops what was due while this process itself was paused. Without
// that it would wake and hold others for gone that had answered in time.
func (ms *Membership) extendDeadlines(pause time.Duration) {
	ms.probes = nil
	ms.indirect = nil
	for _, r := range ms.records {
		if r.claim == Suspect {
			r.since = r.since.Add(pause)
		}
	}
}

// advance asks others to try the daemons that did not answer by now, and
// suspects the ones that nobody reached. Loss between two daemons alone, or a
// cut in one direction, is thus not taken for a death.
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
			ms.requestIndirectProbes(now, p, r, out)
		case p.stage > 1:
			ms.setClaim(now, r, Suspect, r.reported.Serial, out)
		}
	}
	ms.indirect = slices.DeleteFunc(ms.indirect, func(h indirectProbe) bool { return h.stage >= indirectRounds })
	for i := range ms.indirect {
		ms.indirect[i].stage++
	}
}

func (ms *Membership) requestIndirectProbes(now time.Time, p probe, r *record, out *effects) {
	ms.send(now, r.reported.Peer, Packet{Round: p.round}, out)
	others := ms.sample(indirectProbers, func(o *record) bool { return o != r && o.state() == Alive })
	for _, name := range others {
		ms.send(now, ms.records[name].reported.Peer, Packet{Round: p.round, Ask: r.reported.Peer}, out)
	}
}

// expire turns suspicions that were not refuted into deaths.
func (ms *Membership) expire(now time.Time, out *effects) {
	limit := time.Duration(suspectFactor*ms.spreadRounds()+suspectExtraRounds) * Interval
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

// probeNext probes the next of a shuffled ring: each daemon is probed within
// a known time, not only on average.
func (ms *Membership) probeNext(now time.Time, out *effects) {
	for range 2 {
		for len(ms.ring) > 0 {
			name := ms.ring[0]
			ms.ring = ms.ring[1:]
			if r := ms.records[name]; r != nil && ms.notDown(r) {
				ms.probe(now, r, Packet{}, out)
				return
			}
		}
		ms.ring = ms.sample(len(ms.names), ms.notDown)
	}
	ms.join(now, out)
}

func (ms *Membership) probe(now time.Time, r *record, p Packet, out *effects) {
	ms.round++
	p.Round = ms.round
	ms.probes = append(ms.probes, probe{round: p.Round, name: r.reported.Name})
	ms.send(now, r.reported.Peer, p, out)
}

// join asks a seed for the whole picture.
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

// probeDown tries daemons that are down. Regions that lost each other for
// minutes hold each other for down, and nobody else would ever try. When one
// comes back, many may.
func (ms *Membership) probeDown(now time.Time, out *effects) {
	n := 0
	switch {
	case !ms.rejoined.IsZero() && now.Sub(ms.rejoined) <= rejoinRounds*Interval:
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

// repair compares the whole picture with one other daemon, or with a seed, now
// and then: news is sent only so often, and all of it may have been lost.
func (ms *Membership) compareDigests(now time.Time, paused bool, out *effects) {
	oneIn := digestOneIn
	if ms.ticks < startupRounds {
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
