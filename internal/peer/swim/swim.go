// Package swim is a gossip membership protocol for daemons, after SWIM: which
// daemons are alive, which shards each owns under which epoch, which
// configuration each runs, and when any of them last reached the store.
//
// Membership is a state machine: Step takes the time and one message and
// returns the effects to carry out. There is no full mesh: at each tick a
// daemon probes one other, and updates are piggybacked on probes and their
// acks, each a bounded number of times. Ownership is not decided here but in
// the store; an outdated view costs a relayed request or a slow takeover.
//
// For each daemon a Membership keeps the entry that it reported of itself,
// which only it can change, and separately what others claim of it. A claim
// starts a suspicion. The daemon refutes it with a higher Serial; otherwise it
// is down after a time that grows with the logarithm of the fleet size. Every
// packet to a daemon under a claim carries that claim, so that it can refute.
//
// The zero Membership is usable after its first Self message.
package swim

import (
	"time"
)

const (
	// Alive answers probes.
	Alive State = "alive"
	// Draining answers probes but takes no new work.
	Draining State = "draining"
	// Suspect did not answer probes and may be down.
	Suspect State = "suspect"
	// Down is taken for failed, stopped or replaced.
	Down State = "down"
)

type (
	// State is the liveness of a daemon.
	State string

	// Shard is the ownership of one shard.
	Shard struct {
		Shard int    `json:"shard"`
		Epoch uint64 `json:"epoch"`
	}

	// Member is one daemon's entry. Of two entries for a daemon the one with the
	// higher Incarnation wins, then the one with the higher Serial. A claim by
	// others (Suspect or Down) is valid until the daemon reports a higher Serial
	// than the claim's.
	Member struct {
		Name          string  `json:"name"`
		Address       string  `json:"address"` // for callers, IP and port
		Peer          string  `json:"peer"`    // for other daemons
		FailureDomain string  `json:"failure_domain"`
		Disk          bool    `json:"disk,omitempty"` // has a data folder for blobs
		State         State   `json:"state"`
		Incarnation   uint64  `json:"incarnation"` // start time in nanoseconds
		Serial        uint64  `json:"serial"`      // rises with each change it reports, except of Config
		Config        uint64  `json:"config"`      // configuration version in force
		Shards        []Shard `json:"shards,omitempty"`
	}

	// Message is an input of Step.
	Message interface{ message() }

	// Self sets the entry of this daemon itself. Seeds are peer addresses to
	// join through; digests are also compared with them from time to time.
	Self struct {
		Member Member
		Seeds  []string
	}

	// Reached reports that a call to the store, sent by this daemon at At,
	// succeeded.
	Reached struct{ At time.Time }

	// Tick advances the protocol; one is due every Interval.
	Tick struct{}

	// Packet is one protocol message between daemons. Age is the time since any
	// daemon, as far as the sender knows, last reached the store; negative is
	// never. Round numbers the sender's requests; 0 asks for no ack. Ack is the
	// Round that is answered, or 0. Full with a Round requests the receiver's
	// full state; a Full packet may also carry the sender's.
	//
	// Call identifies the call to the store that Age refers to; earlier releases send none.
	//
	// Ask is a peer address that the receiver is to probe on the sender's behalf
	// (an indirect probe), and For, in the ack, the address that answered it.
	// Head is the sender's configuration version, which can be fetched from it.
	// Digest, unless 0, is a hash of the sender's view: a receiver with another
	// digest answers with its full state. News contains entries as reported by
	// the daemons themselves.
	Packet struct {
		From   string        `json:"from"` // peer address
		Round  uint64        `json:"round"`
		Ack    uint64        `json:"ack,omitempty"`
		Full   bool          `json:"full,omitempty"`
		Ask    string        `json:"ask,omitempty"`
		For    string        `json:"for,omitempty"`
		Digest uint64        `json:"digest,omitempty"`
		Age    time.Duration `json:"age"`
		Call   StoreCall     `json:"call,omitzero"`
		Head   uint64        `json:"head"` // configuration version
		News   []Member      `json:"news,omitempty"`
		Claims []Claim       `json:"claims,omitempty"`
		Marks  []Mark        `json:"marks,omitempty"`
	}

	// Claim is a statement by other daemons that one is Suspect or Down.
	Claim struct {
		Name        string `json:"name"`
		Incarnation uint64 `json:"incarnation"`
		Serial      uint64 `json:"serial"`
		State       State  `json:"state"`
	}

	// StoreCall identifies one successful call of a daemon to the store. Serial counts the
	// calls of one Incarnation. The zero value identifies none.
	StoreCall struct {
		Name        string `json:"name"` // of the daemon
		Incarnation uint64 `json:"incarnation"`
		Serial      uint64 `json:"serial"`
	}

	// Mark is the configuration version that a daemon has in force. It only
	// rises, so it needs no Serial. All daemons change it at about the same
	// time, and sending their whole entries would take many times the bytes.
	Mark struct {
		Name        string `json:"name"`
		Incarnation uint64 `json:"incarnation"`
		Config      uint64 `json:"config"`
	}

	// Effect is an output of Step, to be carried out by the caller.
	Effect interface{ effect() }

	// Send asks to send a packet to a peer address; it may be lost.
	Send struct {
		To     string
		Packet Packet
	}

	// MemberChanged reports the new entry of another daemon.
	MemberChanged struct{ Member Member }

	// Newer reports that the daemon at the peer address From has a newer
	// configuration version in force than this daemon. It can be fetched there.
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
