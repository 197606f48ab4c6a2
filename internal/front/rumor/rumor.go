// Package rumor tells the daemons that serve callers of each other: what each has
// under way at every upstream, and how new its knowledge of the system is.
//
// Upstreams report their load late and each report is a call to them. A
// datagram of a few hundred bytes to each other daemon costs less and is newer.
// Datagrams may be lost or overtake each other; each carries the whole state, so
// the next one makes up for it.
package rumor

import (
	"context"
	"maps"
	"net"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/slaterock/slaterock/internal/peer/pause"
)

const (
	// base is the pause between datagrams to the same daemon: half of the time
	// of a short plain call.
	base = 60 * time.Millisecond
	// perPeer stretches the pause with the number of daemons, which bounds the
	// datagrams that each sends and takes to about 140 a second.
	perPeer = 7 * time.Millisecond
	// Silent is the least time for which a daemon may send nothing before it
	// counts as gone, and silentPauses the same in pauses between datagrams: so
	// many in a row are hardly ever lost.
	Silent       = 900 * time.Millisecond
	silentPauses = 3
	// forget is when a silent daemon's last word is dropped.
	forget = time.Minute
	// maxLoads bounds the upstreams in one datagram, so that it fits a link's
	// frame: those with the most under way. The largest VM has some 40.
	maxLoads  = 60
	maxPacket = 4096
)

type (
	// Rumor sends and takes datagrams. Set the exported fields, then call Run.
	Rumor struct {
		Conn  net.PacketConn
		Own   func() Word                 // what is said
		Heard func(now time.Time, w Word) // takes what another says
		Peers func() []string             // addresses of the others

		mu    sync.Mutex
		words map[string]heard // newest of each daemon
		pause time.Duration    // between own datagrams
	}

	// Word is what one daemon says.
	Word struct {
		Node     string         `cbor:"1,keyasint"`
		Sent     int64          `cbor:"2,keyasint"` // Unix nanoseconds of the sender; orders its words
		Load     map[string]int `cbor:"3,keyasint"` // under way there, by upstream
		Leaving  bool           `cbor:"4,keyasint,omitempty"`
		Revision uint64         `cbor:"5,keyasint"`            // of the store, as it knows it
		Hash     uint64         `cbor:"6,keyasint"`            // of its knowledge
		Age      int64          `cbor:"7,keyasint"`            // milliseconds since that was confirmed
		Peer     string         `cbor:"8,keyasint"`            // its address for other daemons
		Callers  string         `cbor:"9,keyasint"`            // and for callers
		Unwell   bool           `cbor:"10,keyasint,omitempty"` // it can't reach what it needs to serve
	}

	heard struct {
		Word
		at time.Time
	}
)

// Run sends and takes until ctx ends, and closes the socket.
func (l *Rumor) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "exchange rumors") }()
	stop := context.AfterFunc(ctx, func() { _ = l.Conn.Close() })
	defer stop()
	go l.send(ctx)
	var buf [maxPacket]byte
	for {
		n, _, err := l.Conn.ReadFrom(buf[:])
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		var w Word
		if cbor.Unmarshal(buf[:n], &w) != nil || w.Node == "" {
			continue // not one of ours, or spoilt: the next one makes up for it
		}
		if now := time.Now(); l.Note(now, w) {
			l.Heard(now, w)
		}
	}
}

// Note takes a word, and is false if a later one of that daemon has come before. A daemon
// that started again may have a clock that was set back.
func (l *Rumor) Note(now time.Time, w Word) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.words == nil {
		l.words = map[string]heard{}
	}
	old, known := l.words[w.Node]
	if known && w.Sent <= old.Sent && now.Sub(old.at) < l.silent() {
		return false
	}
	l.words[w.Node] = heard{Word: w, at: now}
	return true
}

// Live returns the last word of each daemon that was heard of lately, in the order
// of their names.
func (l *Rumor) Live(now time.Time) (words []Word) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, h := range l.words {
		switch age := now.Sub(h.at); {
		case age <= l.silent():
			words = append(words, h.Word)
		case age > forget:
			delete(l.words, name)
		}
	}
	sort.Slice(words, func(i, j int) bool { return words[i].Node < words[j].Node })
	return words
}

// silent is how long a daemon may send nothing. Others pause about as long as
// this one, since they know the same daemons.
func (l *Rumor) silent() time.Duration { return max(Silent, silentPauses*l.pause) }

// Pause is how long this daemon waits between datagrams, as all do.
func (l *Rumor) Pause() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pause
}

func (l *Rumor) send(ctx context.Context) {
	for {
		peers := l.Peers()
		wait := max(base, time.Duration(len(peers))*perPeer)
		l.mu.Lock()
		l.pause = wait
		l.mu.Unlock()
		if !pause.For(ctx, wait) {
			return
		}
		l.tell(peers)
	}
}

// Tell says everything now, without waiting for the next turn.
func (l *Rumor) Tell() { l.tell(l.Peers()) }

func (l *Rumor) tell(peers []string) {
	w := l.Own()
	w.Sent = time.Now().UnixNano()
	w.Load = busiest(w.Load)
	data, err := cbor.Marshal(w)
	if err != nil {
		return
	}
	for _, address := range peers {
		to, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			continue
		}
		_, _ = l.Conn.WriteTo(data, to) // lost datagrams are made up for by the next
	}
}

// busiest returns the loads that fit a datagram.
func busiest(load map[string]int) map[string]int {
	if len(load) <= maxLoads {
		return load
	}
	ids := slices.SortedFunc(maps.Keys(load), func(a, b string) int { return load[b] - load[a] })
	out := make(map[string]int, maxLoads)
	for _, id := range ids[:maxLoads] {
		out[id] = load[id]
	}
	return out
}
