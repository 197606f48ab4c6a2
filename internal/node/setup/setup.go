// Package setup is what one daemon has to know before it can read the
// configuration: who it is, where it listens, and where the platform and its
// peers are.
//
// Settings are read once at start from one INI file of the VM. They hold what
// differs from one VM to the next; everything that is the same for all belongs
// into the configuration that operators apply. Parse is as strict as that of
// the configuration and reports all faults at once, as file.Errors do.
package setup

import (
	"time"

	"github.com/slaterock/slaterock/internal/conf/check"
)

const (
	kindDaemon   = "daemon"
	kindPlatform = "platform"
	kindPeers    = "peers"
	kindBounds   = "bounds"
	kindTimeouts = "timeouts"
	kindObserve  = "observe"

	minKey = 16 // bytes of a shared secret
)

type (
	// Settings is one daemon's settings file.
	Settings struct {
		Daemon   Daemon
		Platform Platform
		Peers    Peers
		Bounds   Bounds
		Timeouts Timeouts
		Observe  Observe
	}

	// Daemon is the section [daemon]. Addresses are IP numbers with a port.
	Daemon struct {
		Name          string
		FailureDomain string
		Listen        string // for callers
		Advertise     string // what callers are told; empty: the address that Listen got
		DataFolder    string // for bulk data; empty: this VM keeps nothing
		OperatorKey   string // what commands on this VM present; empty: none
	}

	// Platform is the section [platform]: addresses of the platform's services.
	Platform struct {
		Store   string
		VMList  string // empty: no list
		Weights string // empty: loads are not spaced
	}

	// Peers is the section [peers]: how daemons reach each other.
	Peers struct {
		Listen    string
		Advertise string   // what peers are told; empty: the address that Listen got
		Seeds     []string // peers to try first
		Key       string   // the secret that all daemons of a system share
	}

	// Bounds is the section [bounds]. They hold for this daemon and keep a
	// small VM up whatever callers send.
	Bounds struct {
		BodyBytes   int
		HeaderBytes int
		Connections int // of callers
		Calls       int // under way
		Programs    int // open
	}

	// Timeouts is the section [timeouts], of callers' connections.
	Timeouts struct {
		Read  time.Duration // for a whole request
		Write time.Duration // for one piece of an answer
		Idle  time.Duration // between requests
	}

	// Observe is the section [observe].
	Observe struct {
		TraceEndpoint string // OTLP over HTTP, IP number and port; empty: none
		TraceFile     string // spans as JSON lines; empty: none
		LogLevel      string // debug, info, warn or error
		LogFormat     string // json or console
		RecordFile    string // what programs did, for replay; empty: none
	}

	// Error is one fault of a settings file.
	Error = check.Error

	// Errors is all faults of a settings file.
	Errors = check.Errors
)

// Parse reads and checks settings; name is their file's, for messages. The
// error is an Errors with all faults.
func Parse(name string, text []byte) (Settings, error) {
	t := check.Read(name, text)
	t.Require(kindDaemon, kindPlatform, kindPeers)
	s := Settings{Bounds: Bounds{}.withDefaults(), Timeouts: Timeouts{}.withDefaults(), Observe: Observe{}.withDefaults()}
	for _, sec := range t.Sections() {
		s.section(sec)
	}
	if err := t.Err(); err != nil {
		return Settings{}, err
	}
	return s, nil
}

func (s *Settings) section(sec *check.Section) {
	switch sec.Name {
	case kindDaemon:
		s.Daemon = daemon(sec)
	case kindPlatform:
		s.Platform = platform(sec)
	case kindPeers:
		s.Peers = peers(sec)
	case kindBounds:
		s.Bounds = bounds(sec)
	case kindTimeouts:
		s.Timeouts = timeouts(sec)
	case kindObserve:
		s.Observe = observe(sec)
	default:
		sec.Reject("the section is unknown; want daemon, platform, peers, bounds, timeouts or observe")
	}
}

func daemon(sec *check.Section) Daemon {
	sec.Require("name", "failure_domain", "listen")
	d := Daemon{
		Name:          sec.Word("name", ""),
		FailureDomain: sec.Word("failure_domain", ""),
		Listen:        sec.Listen("listen", ""),
		Advertise:     sec.Address("advertise", ""),
		DataFolder:    sec.String("data_folder", ""),
		OperatorKey:   sec.String("operator_key", ""),
	}
	advertised(sec, d.Listen, d.Advertise)
	return d
}

func platform(sec *check.Section) Platform {
	sec.Require("store")
	return Platform{
		Store:   sec.Address("store", ""),
		VMList:  sec.Address("vmlist", ""),
		Weights: sec.Address("weights", ""),
	}
}

func peers(sec *check.Section) Peers {
	sec.Require("listen", "peer_key")
	p := Peers{
		Listen:    sec.Listen("listen", ""),
		Advertise: sec.Address("advertise", ""),
		Seeds:     sec.Addresses("seeds"),
		Key:       sec.String("peer_key", ""),
	}
	if sec.Has("peer_key") && len(p.Key) < minKey {
		sec.Fail("peer_key", "the key has %d bytes; want at least %d", len(p.Key), minKey)
	}
	advertised(sec, p.Listen, p.Advertise)
	return p
}

// advertised notes a daemon that listens at every address and does not say
// which of them others should use. They would be told 0.0.0.0, and connect to
// themselves.
func advertised(sec *check.Section, listen, advertise string) {
	if advertise == "" && check.Unspecified(listen) {
		sec.Fail("advertise", "%s is no address that others can use; want the IP number and port to tell them", listen)
	}
}

func (b Bounds) withDefaults() Bounds {
	return Bounds{
		BodyBytes:   check.Or(b.BodyBytes, 4<<20),
		HeaderBytes: check.Or(b.HeaderBytes, 8<<10),
		Connections: check.Or(b.Connections, 8_192),
		Calls:       check.Or(b.Calls, 4_096),
		Programs:    check.Or(b.Programs, 20_000),
	}
}

func bounds(sec *check.Section) Bounds {
	d := Bounds{}.withDefaults()
	return Bounds{
		BodyBytes:   int(sec.Int("body_bytes", int64(d.BodyBytes), 1<<10, 64<<20)),
		HeaderBytes: int(sec.Int("header_bytes", int64(d.HeaderBytes), 1<<10, 1<<20)),
		Connections: int(sec.Int("connections", int64(d.Connections), 1, 1_000_000)),
		Calls:       int(sec.Int("calls", int64(d.Calls), 1, 1_000_000)),
		Programs:    int(sec.Int("programs", int64(d.Programs), 1, 1_000_000)),
	}
}

func (t Timeouts) withDefaults() Timeouts {
	return Timeouts{
		Read:  check.Or(t.Read, 30*time.Second),
		Write: check.Or(t.Write, 30*time.Second),
		Idle:  check.Or(t.Idle, 2*time.Minute),
	}
}

func timeouts(sec *check.Section) Timeouts {
	d := Timeouts{}.withDefaults()
	return Timeouts{
		Read:  sec.Duration("read", d.Read, 100*time.Millisecond, time.Hour),
		Write: sec.Duration("write", d.Write, 100*time.Millisecond, time.Hour),
		Idle:  sec.Duration("idle", d.Idle, 100*time.Millisecond, 24*time.Hour),
	}
}

func (o Observe) withDefaults() Observe {
	o.LogLevel = check.Or(o.LogLevel, "info")
	o.LogFormat = check.Or(o.LogFormat, "json")
	return o
}

func observe(sec *check.Section) Observe {
	d := Observe{}.withDefaults()
	return Observe{
		TraceEndpoint: sec.Address("trace_endpoint", ""),
		TraceFile:     sec.String("trace_file", ""),
		LogLevel:      sec.Choice("log_level", d.LogLevel, "debug", "info", "warn", "error"),
		LogFormat:     sec.Choice("log_format", d.LogFormat, "json", "console"),
		RecordFile:    sec.String("record_file", ""),
	}
}
