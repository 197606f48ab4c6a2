package beat

import (
	"slices"
	"time"
)

const (
	helpers      = 3  // daemons asked to probe one that did not answer
	helpRounds   = 3  // how long an answer is passed on to who asked
	downOneIn    = 10 // rounds between probes of one that is down, on average
	digestOneIn  = 20 // rounds between comparisons of whole pictures, on average
	youngRounds  = 20 // rounds after the start with more comparisons
	youngOneIn   = 3  // for that time
	healRounds   = 5  // how long a return makes others that are down be probed
	healProbes   = 3  // of them in each round
	settleTime   = 60 * Interval
	fullMembers  = 30 // in one packet
	suspectTimes = 2  // of the logarithm: rounds to refute
	suspectLeast = 2  // rounds added to that
)

type (
	// probe waits for an answer. Stage counts the ticks since it was sent.
	probe struct {
		round uint64
		name  string
		stage int
	}

	// help is a probe made for another daemon.
	help struct {
		round uint64
		stage int
		to    string // who asked
		ack   uint64 // the round that was asked in
		about string // peer address that is probed
	}

	effects []Effect
)

func (o *effects) add(e Effect) { *o = append(*o, e) }

func (b *Beat) tick(now time.Time, out *effects) {
	if b.self.Name == "" {
		return
	}
	paused := !b.ticked.IsZero() && now.Sub(b.ticked) > pausedAfter
	if paused {
		b.forgive(now.Sub(b.ticked))
	}
	b.ticked = now
	b.rounds++
	b.advance(now, out)
	b.expire(now, out)
	b.probeNext(now, out)
	b.probeDown(now, out)
	b.repair(now, paused, out)
}

// forgive drops what was due while this process itself was paused. Without
// that it would wake and hold others for gone that had answered in time.
func (b *Beat) forgive(pause time.Duration) {
	b.probes = nil
	b.helps = nil
	for _, r := range b.records {
		if r.claim == Suspect {
			r.since = r.since.Add(pause)
		}
	}
}

// advance asks others to try the daemons that did not answer by now, and
// suspects the ones that nobody reached. Loss between two daemons alone, or a
// cut in one direction, is thus not taken for a death.
func (b *Beat) advance(now time.Time, out *effects) {
	due := b.probes
	b.probes = nil
	for _, p := range due {
		r := b.records[p.name]
		p.stage++
		switch {
		case r == nil || r.state() == Down:
		case p.stage == 1:
			b.probes = append(b.probes, p)
			b.askOthers(now, p, r, out)
		case p.stage > 1:
			b.accuse(now, r, Suspect, r.words.Serial, out)
		}
	}
	b.helps = slices.DeleteFunc(b.helps, func(h help) bool { return h.stage >= helpRounds })
	for i := range b.helps {
		b.helps[i].stage++
	}
}

func (b *Beat) askOthers(now time.Time, p probe, r *record, out *effects) {
	b.send(now, r.words.Peer, Packet{Round: p.round}, out)
	others := b.choose(helpers, func(o *record) bool { return o != r && o.state() == Alive })
	for _, name := range others {
		b.send(now, b.records[name].words.Peer, Packet{Round: p.round, Ask: r.words.Peer}, out)
	}
}

// expire turns suspicions that were not refuted into deaths.
func (b *Beat) expire(now time.Time, out *effects) {
	limit := time.Duration(suspectTimes*b.logarithm()+suspectLeast) * Interval
	for _, name := range slices.Clone(b.names) {
		r := b.records[name]
		switch {
		case r.claim == Suspect && now.Sub(r.since) >= limit:
			b.accuse(now, r, Down, r.serial, out)
		case r.state() == Down && now.Sub(r.since) >= forgetAfter:
			b.forget(name)
		}
	}
}

// probeNext probes the next of a shuffled ring: each daemon is probed within
// a known time, not only on average.
func (b *Beat) probeNext(now time.Time, out *effects) {
	for range 2 {
		for len(b.ring) > 0 {
			name := b.ring[0]
			b.ring = b.ring[1:]
			if r := b.records[name]; r != nil && b.answering(r) {
				b.probe(now, r, Packet{}, out)
				return
			}
		}
		b.ring = b.choose(len(b.names), b.answering)
	}
	b.join(now, out)
}

func (b *Beat) probe(now time.Time, r *record, p Packet, out *effects) {
	b.round++
	p.Round = b.round
	b.probes = append(b.probes, probe{round: p.Round, name: r.words.Name})
	b.send(now, r.words.Peer, p, out)
}

// join asks a seed for the whole picture.
func (b *Beat) join(now time.Time, out *effects) {
	seeds := b.otherSeeds()
	if len(seeds) == 0 {
		return
	}
	b.round++
	p := Packet{Round: b.round, Full: true, News: []Member{b.self}}
	b.send(now, seeds[b.rng.IntN(len(seeds))], p, out)
}

func (b *Beat) otherSeeds() []string {
	return slices.DeleteFunc(slices.Clone(b.seeds), func(s string) bool { return s == b.self.Peer })
}

// probeDown tries daemons that are down. Regions that lost each other for
// minutes hold each other for down, and nobody else would ever try. When one
// comes back, many may.
func (b *Beat) probeDown(now time.Time, out *effects) {
	n := 0
	switch {
	case !b.healed.IsZero() && now.Sub(b.healed) <= healRounds*Interval:
		n = healProbes
	case b.rng.IntN(downOneIn) == 0:
		n = 1
	}
	if n == 0 {
		return
	}
	for _, name := range b.choose(n, b.down) {
		b.probe(now, b.records[name], Packet{}, out)
	}
}

// repair compares the whole picture with one other daemon, or with a seed, now
// and then: news is sent only so often, and all of it may have been lost.
func (b *Beat) repair(now time.Time, paused bool, out *effects) {
	oneIn := digestOneIn
	if b.rounds < youngRounds {
		oneIn = youngOneIn
	}
	if !paused && (b.rng.IntN(oneIn) != 0 || now.Sub(b.settled) < settleTime) {
		return
	}
	p := Packet{Digest: b.digest()}
	for _, name := range b.choose(1, b.answering) {
		b.probe(now, b.records[name], p, out)
	}
	if seeds := b.otherSeeds(); len(seeds) > 0 && b.rng.IntN(len(b.names)+1) == 0 {
		b.send(now, seeds[b.rng.IntN(len(seeds))], p, out)
	}
}
