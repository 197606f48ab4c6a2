package mesh

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// MaxPacket is the largest datagram, in bytes.
const MaxPacket = 8 << 10

type (
	// Message is what one front tells another.
	Message interface{ state() State }

	// State is what a front tells of itself.
	State struct {
		Node         string `cbor:"1,keyasint"`
		Sent         int64  `cbor:"2,keyasint"` // Unix nanoseconds of the sender; orders what it says
		Peer         string `cbor:"3,keyasint"` // its address for other daemons
		Callers      string `cbor:"4,keyasint"` // and for callers
		Leaving      bool   `cbor:"5,keyasint,omitempty"`
		Unhealthy    bool   `cbor:"6,keyasint,omitempty"` // it can't reach what it needs to serve
		Revision     uint64 `cbor:"7,keyasint"`           // of the store, as it knows it
		Hash         uint64 `cbor:"8,keyasint"`           // of its knowledge
		Age          int64  `cbor:"9,keyasint"`           // milliseconds since that was confirmed
		AvailableFor int64  `cbor:"10,keyasint"`          // milliseconds without a gap in the store's news before that
	}

	// Report is what a front tells its hub.
	Report struct {
		State State      `cbor:"1,keyasint"`
		Load  map[ID]int `cbor:"2,keyasint,omitempty"` // its own
		Used  map[ID]int `cbor:"3,keyasint,omitempty"`
	}

	// Share is what a hub tells the others.
	Share struct {
		State State         `cbor:"1,keyasint"`
		Load  map[ID]int    `cbor:"2,keyasint,omitempty"` // its own and its group's
		Group map[ID]Status `cbor:"3,keyasint,omitempty"` // the fronts that report to it
		Hubs  []ID          `cbor:"4,keyasint,omitempty"` // that stand in for others, as far as it hears of them
		Used  map[ID]int    `cbor:"5,keyasint,omitempty"`
	}

	// Digest is what a hub answers to a report.
	Digest struct {
		State     State      `cbor:"1,keyasint"`
		Load      map[ID]int `cbor:"2,keyasint,omitempty"` // of all fronts but the one that is told
		Fronts    int        `cbor:"3,keyasint"`           // that are alive, the one that is told included
		Missing   []ID       `cbor:"4,keyasint,omitempty"` // listed, but nothing is heard of them
		Leaving   []ID       `cbor:"5,keyasint,omitempty"`
		Unhealthy []ID       `cbor:"6,keyasint,omitempty"`
		Used      map[ID]int `cbor:"7,keyasint,omitempty"` // as Load
	}

	// Mark is what matters to callers of a front that is alive.
	Status uint8

	// packet is a datagram: one of its fields is set.
	packet struct {
		Report *Report `cbor:"1,keyasint,omitempty"`
		Share  *Share  `cbor:"2,keyasint,omitempty"`
		Digest *Digest `cbor:"3,keyasint,omitempty"`
	}
)

// The marks of a front. One that is neither leaving nor unwell has none.
const (
	Leaving Status = 1 << iota
	Unhealthy
)

func (r Report) state() State { return r.State }
func (s Share) state() State  { return s.State }
func (d Digest) state() State { return d.State }

func status(s State) (m Status) {
	if s.Leaving {
		m |= Leaving
	}
	if s.Unhealthy {
		m |= Unhealthy
	}
	return m
}

// Encode returns the datagram of a message.
func Encode(msg Message) (data []byte, err error) {
	var p packet
	switch msg := msg.(type) {
	case Report:
		msg.Load, msg.Used = busiest(msg.Load), busiest(msg.Used)
		p.Report = &msg
	case Share:
		msg.Load, msg.Used = busiest(msg.Load), busiest(msg.Used)
		p.Share = &msg
	case Digest:
		msg.Load, msg.Used = busiest(msg.Load), busiest(msg.Used)
		p.Digest = &msg
	}
	data, err = cbor.Marshal(p)
	return data, errors.Wrap(err, "encode datagram")
}

// Decode returns the message of a datagram. Errors are of datagrams that are
// damaged or not of a front.
func Decode(data []byte) (msg Message, err error) {
	var p packet
	if err = cbor.Unmarshal(data, &p); err != nil {
		return nil, errors.Wrap(err, "decode datagram")
	}
	switch {
	case p.Report != nil:
		msg = *p.Report
	case p.Share != nil:
		msg = *p.Share
	case p.Digest != nil:
		msg = *p.Digest
	}
	if msg == nil || msg.state().Node == "" {
		return nil, errors.New("decode datagram: no message of a front")
	}
	return msg, nil
}

// StateOf returns what the sender of a message tells of itself.
func StateOf(msg Message) State { return msg.state() }

// busiest returns the loads that fit a datagram.
func busiest(load map[ID]int) map[ID]int {
	if len(load) <= maxLoads {
		return load
	}
	ids := slices.SortedFunc(maps.Keys(load), func(a, b ID) int { return load[b] - load[a] })
	out := make(map[ID]int, maxLoads)
	for _, id := range ids[:maxLoads] {
		out[id] = load[id]
	}
	return out
}
