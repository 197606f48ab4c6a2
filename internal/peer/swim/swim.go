// Package beat keeps each daemon's picture of all the others: who is alive,
// which shards each owns under which epoch, which configuration each runs, and
// when anyone last reached the store.
//
// Beat is a state machine: Step takes the time and one message and returns the
// effects to carry out. There is no full mesh: in each round a daemon probes
// one other, and news travels with probes and their answers, each item a
// bounded number of times. Nothing here decides ownership; that is settled in
// the store. A wrong picture costs a relayed request or a slow takeover.
//
// Of each daemon a Beat keeps its own words, which only it can change, and
// apart from them what others claim of it. A claim starts a suspicion; the
// daemon refutes it with a higher Serial, or is down when the time for that,
// which grows with the logarithm of the fleet, is over. A packet to a daemon
// that is claimed to be gone always says so, so that it can refute.
//
// The zero Beat works once it has been told its Self.
package swim

import (
	"time"
)

const (
	// Alive answers probes.
	Alive State = "alive"
	// Draining answers probes but takes no new work.
	Draining State = "draining"
	// Suspect did not answer and may be down.
	Suspect State = "suspect"
	// Down is taken for gone.
	Down State = "down"
)

type (
	// State is what is known of a daemon's life.
	State string

	// Shard is the ownership of one shard.
	Shard struct {
		Shard int    `json:"shard"`
		Epoch uint64 `json:"epoch"`
	}

	// Member is one daemon as known here. Of two pictures of a daemon the one
	// with the higher Incarnation holds, then the one with the higher Serial;
	// Suspect and Down are others' words and overrule only an equal Serial.
	Member struct {
		Name          string  `json:"name"`
		Address       string  `json:"address"` // for callers, IP and port
		Peer          string  `json:"peer"`    // for other daemons
		FailureDomain string  `json:"failure_domain"`
		Disk          bool    `json:"disk,omitempty"` // has a data folder for blobs
		State         State   `json:"state"`
		Incarnation   uint64  `json:"incarnation"` // start time in nanoseconds
		Serial        uint64  `json:"serial"`      // rises with each change of its own
		Config        uint64  `json:"config"`      // version in force
		Shards        []Shard `json:"shards,omitempty"`
	}

	// Message is what Beat reacts to.
	Message interface{ message() }

	// Self tells the machine what its own daemon is. Seeds are peer addresses
	// to try first.
	Self struct {
		Member Member
		Seeds  []string
	}

	// Reached tells that this daemon's call to the store succeeded.
	Reached struct{ At time.Time }

	// Tick starts a round; one is due every Interval.
	Tick struct{}

	// Packet is what one daemon tells another. Age is the time since anybody
	// known to the sender last reached the store; negative is never. Ack is
	// the round that is answered, 0 in a probe. Full asks for, or is, the
	// whole picture.
	//
	// Round 0 asks for no answer. Ask names a peer address that the receiver is
	// to probe for the sender, and For, in the answer, the one that answered
	// such a probe. Head is what the sender has in force, so that it can be
	// fetched there. Digest, unless 0, sums up the sender's picture: a receiver
	// whose own differs answers with all of it.
	Packet struct {
		From   string        `json:"from"` // peer address
		Round  uint64        `json:"round"`
		Ack    uint64        `json:"ack,omitempty"`
		Full   bool          `json:"full,omitempty"`
		Ask    string        `json:"ask,omitempty"`
		For    string        `json:"for,omitempty"`
		Digest uint64        `json:"digest,omitempty"`
		Age    time.Duration `json:"age"`
		Head   uint64        `json:"head"` // configuration version
		News   []Member      `json:"news,omitempty"`
		Claims []Claim       `json:"claims,omitempty"`
		Marks  []Mark        `json:"marks,omitempty"`
	}

	// Claim is what others say of a daemon: Suspect or Down.
	Claim struct {
		Name        string `json:"name"`
		Incarnation uint64 `json:"incarnation"`
		Serial      uint64 `json:"serial"`
		State       State  `json:"state"`
	}

	// Mark is the configuration that a daemon has in force. It only rises, so
	// it travels without a Serial: all daemons change it together, and their
	// whole entries would take many times the bytes.
	Mark struct {
		Name        string `json:"name"`
		Incarnation uint64 `json:"incarnation"`
		Config      uint64 `json:"config"`
	}

	// Effect is what Beat wants done.
	Effect interface{ effect() }

	// Send delivers a packet to a peer address; it may be lost.
	Send struct {
		To     string
		Packet Packet
	}

	// Changed tells that the picture of a daemon changed.
	MemberChanged struct{ Member Member }

	// Newer tells that a peer knows a newer configuration than was told to
	// this machine. From is the peer address to fetch it from.
	Newer struct {
		Version uint64
		From    string
	}
)

func (Self) message()    {}
func (Reached) message() {}
func (Tick) message()    {}
func (Packet) message()  {}

func (Send) effect()          {}
func (MemberChanged) effect() {}
func (Newer) effect()         {}
