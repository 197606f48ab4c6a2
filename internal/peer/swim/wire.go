package swim

import (
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

const (
	// The first byte of a packed address.
	addressText   = 0
	addressBinary = 1

	// callPrefix begins the name of the mark that carries a packet's StoreCall; no daemon's
	// name begins so. A packet is an array of fixed length, and earlier releases ignore
	// marks of daemons that they don't know.
	callPrefix = "\x00"
)

type (
	// packet, member, claim and mark are the wire forms: CBOR arrays, since
	// field names would double the bytes of control traffic.
	packet struct {
		_      struct{} `cbor:",toarray"`
		From   []byte
		Round  uint64
		Ack    uint64
		Full   bool
		Ask    []byte
		For    []byte
		Digest uint64
		Age    int64 // milliseconds, -1 for never
		Head   uint64
		News   []member
		Claims []claim
		Marks  []mark
	}

	member struct {
		_             struct{} `cbor:",toarray"`
		Name          string
		Address       []byte
		Peer          []byte
		FailureDomain string
		Disk          bool
		State         uint8
		Incarnation   uint64
		Serial        uint64
		Config        uint64
		Shards        []uint64 // shard numbers and epochs, alternating
	}

	claim struct {
		_           struct{} `cbor:",toarray"`
		Name        string
		Incarnation uint64
		Serial      uint64
		State       uint8
	}

	mark struct {
		_           struct{} `cbor:",toarray"`
		Name        string
		Incarnation uint64
		Config      uint64
	}
)

// states lists each State at its wire code; codes are never reused.
var states = [...]State{Alive, Draining, Suspect, Down}

// MarshalBinary encodes the packet for the wire.
func (p Packet) MarshalBinary() (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "encode packet") }()
	w := packet{
		From: packAddress(p.From), Round: p.Round, Ack: p.Ack, Full: p.Full,
		Ask: packAddress(p.Ask), For: packAddress(p.For), Digest: p.Digest,
		Age: -1, Head: p.Head,
	}
	if p.Age >= 0 {
		w.Age = p.Age.Milliseconds()
	}
	for _, m := range p.News {
		w.News = append(w.News, packMember(m))
	}
	for _, c := range p.Claims {
		w.Claims = append(w.Claims, claim{Name: c.Name, Incarnation: c.Incarnation, Serial: c.Serial, State: stateCode(c.State)})
	}
	for _, m := range p.Marks {
		w.Marks = append(w.Marks, mark{Name: m.Name, Incarnation: m.Incarnation, Config: m.Config})
	}
	if c := p.Call; c != (StoreCall{}) {
		w.Marks = append(w.Marks, mark{Name: callPrefix + c.Name, Incarnation: c.Incarnation, Config: c.Serial})
	}
	return cbor.Marshal(w)
}

// UnmarshalBinary decodes a packet from the wire.
func (p *Packet) UnmarshalBinary(data []byte) (err error) {
	defer func() { err = errors.Wrap(err, "decode packet") }()
	var w packet
	if err = cbor.Unmarshal(data, &w); err != nil {
		return err
	}
	*p = Packet{
		From: unpackAddress(w.From), Round: w.Round, Ack: w.Ack, Full: w.Full,
		Ask: unpackAddress(w.Ask), For: unpackAddress(w.For), Digest: w.Digest,
		Age: -1, Head: w.Head,
	}
	if w.Age >= 0 {
		p.Age = time.Duration(w.Age) * time.Millisecond
	}
	for _, m := range w.News {
		p.News = append(p.News, m.unpack())
	}
	for _, c := range w.Claims {
		p.Claims = append(p.Claims, Claim{Name: c.Name, Incarnation: c.Incarnation, Serial: c.Serial, State: stateFromCode(c.State)})
	}
	for _, m := range w.Marks {
		if name, ok := strings.CutPrefix(m.Name, callPrefix); ok {
			p.Call = StoreCall{Name: name, Incarnation: m.Incarnation, Serial: m.Config}
			continue
		}
		p.Marks = append(p.Marks, Mark{Name: m.Name, Incarnation: m.Incarnation, Config: m.Config})
	}
	return nil
}

func packMember(m Member) member {
	w := member{
		Name: m.Name, Address: packAddress(m.Address), Peer: packAddress(m.Peer),
		FailureDomain: m.FailureDomain, Disk: m.Disk, State: stateCode(m.State),
		Incarnation: m.Incarnation, Serial: m.Serial, Config: m.Config,
	}
	for _, s := range m.Shards {
		w.Shards = append(w.Shards, uint64(s.Shard), s.Epoch)
	}
	return w
}

func (w member) unpack() Member {
	m := Member{
		Name: w.Name, Address: unpackAddress(w.Address), Peer: unpackAddress(w.Peer),
		FailureDomain: w.FailureDomain, Disk: w.Disk, State: stateFromCode(w.State),
		Incarnation: w.Incarnation, Serial: w.Serial, Config: w.Config,
	}
	for i := 0; i+1 < len(w.Shards); i += 2 {
		m.Shards = append(m.Shards, Shard{Shard: int(w.Shards[i]), Epoch: w.Shards[i+1]})
	}
	return m
}

func stateCode(s State) uint8 {
	for i, known := range states {
		if s == known {
			return uint8(i)
		}
	}
	return 0
}

func stateFromCode(n uint8) State {
	if int(n) < len(states) {
		return states[n]
	}
	return Alive
}

// packAddress encodes an IPv4 address with its port in seven bytes and
// anything else as text behind a zero byte.
func packAddress(s string) []byte {
	a, err := netip.ParseAddrPort(s)
	if err != nil || !a.Addr().Is4() || a.String() != s {
		return append([]byte{addressText}, s...)
	}
	data, err := a.AppendBinary([]byte{addressBinary})
	if err != nil {
		return append([]byte{addressText}, s...)
	}
	return data
}

func unpackAddress(data []byte) string {
	if len(data) == 0 {
		return ""
	}
	if data[0] == addressText {
		return string(data[1:])
	}
	var a netip.AddrPort
	if a.UnmarshalBinary(data[1:]) != nil {
		return ""
	}
	return a.String()
}
