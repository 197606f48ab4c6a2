package mesh

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/slaterock/slaterock/internal/front/cached"
	"github.com/slaterock/slaterock/internal/place/pace"
)

// MaxPacket is the largest datagram, in bytes.
const MaxPacket = 8 << 10

type (
	// Message is a Report, Share or Digest that one front sends to another.
	Message interface{ state() State }

	// State is what a front reports about itself in each message.
	State struct {
		Node         string `cbor:"1,keyasint"`
		Sent         int64  `cbor:"2,keyasint"` // Unix nanoseconds of the sender's clock; orders its messages
		Peer         string `cbor:"3,keyasint"` // its address for other daemons
		Callers      string `cbor:"4,keyasint"` // its address for callers
		Leaving      bool   `cbor:"5,keyasint,omitempty"`
		Unhealthy    bool   `cbor:"6,keyasint,omitempty"`  // it can't reach a dependency that it needs to serve requests
		Revision     uint64 `cbor:"7,keyasint"`            // of the store, in its fleet view
		Hash         uint64 `cbor:"8,keyasint"`            // of its fleet view
		Age          int64  `cbor:"9,keyasint"`            // milliseconds since that view was confirmed
		AvailableFor int64  `cbor:"10,keyasint"`           // milliseconds without a store outage before that
		Reader       uint32 `cbor:"11,keyasint,omitempty"` // the front whose read confirmed that view
		Read         uint64 `cbor:"12,keyasint,omitempty"` // number of that read
	}

	// Report is what a front sends to its hub.
	Report struct {
		State State      `cbor:"1,keyasint"`
		Load  map[ID]int `cbor:"2,keyasint,omitempty"` // its own requests in flight, by upstream
		Used  map[ID]int `cbor:"3,keyasint,omitempty"` // its own requests admitted recently, by account
		// Idle tells the hub to leave the loads of upstreams out of its answer: hundreds of
		// fronts serve no callers, and a digest of thousands of loads is long.
		Idle   bool   `cbor:"4,keyasint,omitempty"`
		Demand Demand `cbor:"10,keyasint,omitzero"` // its own
		// Paces are samples of upstreams' times since its last report or share.
		Paces  []pace.Sample `cbor:"11,keyasint,omitempty"`
		Cached []cached.Pair `cbor:"12,keyasint,omitempty"` // that are new at the sender, the newest first
	}

	// Share is what a hub sends to the other hubs.
	Share struct {
		State State         `cbor:"1,keyasint"`
		Load  map[ID]int    `cbor:"2,keyasint,omitempty"` // its own and its group's
		Group map[ID]Status `cbor:"3,keyasint,omitempty"` // the fronts that report to it
		Hubs  []ID          `cbor:"4,keyasint,omitempty"` // fronts that act as hubs, but are not hubs in the sender's order
		Used  map[ID]int    `cbor:"5,keyasint,omitempty"` // as Load, by account

		Demand Demand        `cbor:"10,keyasint,omitzero"`  // as Load
		Paces  []pace.Sample `cbor:"11,keyasint,omitempty"` // as Load, since its last share
		Cached []cached.Pair `cbor:"12,keyasint,omitempty"` // new since its last share, of its own and its group
	}

	// Digest is the state of all fronts that a hub sends in answer to a report, or
	// unsolicited to a silent front.
	Digest struct {
		State     State      `cbor:"1,keyasint"`
		Load      map[ID]int `cbor:"2,keyasint,omitempty"` // of all fronts but the recipient; none if it is idle
		Fronts    int        `cbor:"3,keyasint"`           // live fronts, the sender included
		Missing   []ID       `cbor:"4,keyasint,omitempty"` // listed fronts that are not alive
		Leaving   []ID       `cbor:"5,keyasint,omitempty"`
		Unhealthy []ID       `cbor:"6,keyasint,omitempty"`
		Used      map[ID]int `cbor:"7,keyasint,omitempty"` // as Load, by account
		Demand    Demand     `cbor:"10,keyasint,omitzero"` // as Load

		Paces  []pace.Estimate `cbor:"11,keyasint,omitempty"` // of a few upstreams in turn
		Cached []cached.Pair   `cbor:"12,keyasint,omitempty"` // new since the last digest to the recipient, of other fronts
	}

	// Status holds the flags of a live front that decide whether callers are directed to it.
	Status uint8

	// packet is the encoding of a datagram: exactly one of its fields is set.
	packet struct {
		Report *Report `cbor:"1,keyasint,omitempty"`
		Share  *Share  `cbor:"2,keyasint,omitempty"`
		Digest *Digest `cbor:"3,keyasint,omitempty"`
	}
)

// The flags of a Status.
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

// Encode returns the datagram of a message, with at most maxLoads upstreams and accounts, and
// with fewer if it would be longer than MaxPacket. The error reports one that is too long
// without any.
func Encode(msg Message) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode datagram") }()
	for most := maxLoads; ; most /= 4 {
		if data, err = cbor.Marshal(packetOf(msg, most)); err != nil || len(data) <= MaxPacket {
			return data, err
		}
		if most == 0 {
			return nil, errors.Newf("%d bytes, %d at most", len(data), MaxPacket)
		}
	}
}

func packetOf(msg Message, most int) (p packet) {
	switch msg := msg.(type) {
	case Report:
		msg.Load, msg.Used, msg.Demand = busiest(msg.Load, most), busiest(msg.Used, most), msg.Demand.busiest(most)
		msg.Paces, msg.Cached = first(msg.Paces, most), newest(msg.Cached, most)
		p.Report = &msg
	case Share:
		msg.Load, msg.Used, msg.Demand = busiest(msg.Load, most), busiest(msg.Used, most), msg.Demand.busiest(most)
		msg.Paces, msg.Cached = first(msg.Paces, most), newest(msg.Cached, most)
		p.Share = &msg
	case Digest:
		msg.Load, msg.Used, msg.Demand = busiest(msg.Load, most), busiest(msg.Used, most), msg.Demand.busiest(most)
		msg.Cached = newest(msg.Cached, most)
		p.Digest = &msg
	}
	return p
}

// Decode returns the message of a datagram. The error reports a datagram that is damaged
// or has no message of a front.
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
		return nil, errors.New("decode datagram: no message or no sender")
	}
	return msg, nil
}

// StateOf returns the state of the sender of a message.
func StateOf(msg Message) State { return msg.state() }

// busiest returns so many of the counts at most, the largest.
func busiest(load map[ID]int, most int) map[ID]int {
	if len(load) <= most {
		return load
	}
	ids := slices.SortedFunc(maps.Keys(load), func(a, b ID) int { return load[b] - load[a] })
	out := make(map[ID]int, most)
	for _, id := range ids[:most] {
		out[id] = load[id]
	}
	return out
}
