// Package setup parses the settings that one daemon needs before it can read the
// configuration: its name, its listening addresses, and the addresses of the platform and of
// its peers.
//
// Settings are read once at start from an INI file on the VM. They hold what differs between
// VMs; what is the same for all belongs in the configuration that operators apply. Like the
// parser of the configuration, Parse is strict and reports all errors at once.
package setup

import (
	"time"

	"github.com/slaterock/slaterock/internal/conf/check"
)

const (
	sectionDaemon   = "daemon"
	sectionPlatform = "platform"
	sectionPeers    = "peers"
	sectionBounds   = "bounds"
	sectionTimeouts = "timeouts"
	sectionObserve  = "observe"

	minKeyBytes = 16 // of the secret that peers share
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

	// Daemon is the section [daemon]. Addresses are IP addresses with a port.
	Daemon struct {
		Name          string
		FailureDomain string
		Listen        string // for callers
		Advertise     string // address that callers use; empty: the listener's
		DataFolder    string // for bulk data; empty: this VM stores none
		OperatorKey   string // key of operator commands on this VM; empty: none
	}

	// Platform is the section [platform]: addresses of the platform's services.
	Platform struct {
		Store   string
		VMList  string // empty: no list
		Weights string // empty: model loads are not paced
	}

	// Peers is the section [peers]: how daemons reach each other.
	Peers struct {
		Listen    string
		Advertise string   // address that peers use; empty: the listener's
		Seeds     []string // peers to contact first
		Key       string   // the secret that all daemons of a system share
	}

	// Bounds is the section [bounds]: resource limits of this daemon, so that callers can't
	// overload a small VM.
	Bounds struct {
		BodyBytes   int
		HeaderBytes int
		Connections int // of callers
		MemoryMB    int // that the process may take; 0 for the memory of the machine
		Descriptors int // that the process may have; 0 for as many as the system allows it
		Calls       int // in progress
		Programs    int // open at a time
	}

	// Timeouts is the section [timeouts], of callers' connections.
	Timeouts struct {
		Read  time.Duration // of a whole request
		Write time.Duration // of one piece of an answer
		Idle  time.Duration // between requests
	}

	// Observe is the section [observe].
	Observe struct {
		TraceEndpoint string // OTLP over HTTP, IP address and port; empty: none
		TraceFile     string // spans as JSON lines; empty: none
		LogLevel      string // debug, info, warn or error
		LogFormat     string // json or console
		RecordFile    string // recording of the programs' calls, for a replay; empty: none
	}

	// Error is one error in a settings file.
	Error = check.Error

	// Errors is all errors in a settings file.
	Errors = check.Errors
)

// Parse parses and checks settings; name is the file's name, for messages. The error is an
// Errors.
func Parse(name string, text []byte) (Settings, error) {
	t := check.Read(name, text)
	t.Require(sectionDaemon, sectionPlatform, sectionPeers)
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
	case sectionDaemon:
		s.Daemon = daemon(sec)
	case sectionPlatform:
		s.Platform = platform(sec)
	case sectionPeers:
		s.Peers = peers(sec)
	case sectionBounds:
		s.Bounds = bounds(sec)
	case sectionTimeouts:
		s.Timeouts = timeouts(sec)
	case sectionObserve:
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
	checkAdvertise(sec, d.Listen, d.Advertise)
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
	if sec.Has("peer_key") && len(p.Key) < minKeyBytes {
		sec.Fail("peer_key", "the key has %d bytes; want at least %d", len(p.Key), minKeyBytes)
	}
	checkAdvertise(sec, p.Listen, p.Advertise)
	return p
}

// checkAdvertise rejects settings that listen on all addresses without an address to advertise.
// Others would get 0.0.0.0 and connect to themselves.
func checkAdvertise(sec *check.Section, listen, advertise string) {
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
		MemoryMB:    int(sec.Int("memory_mb", 0, 0, 1<<20)),
		Descriptors: int(sec.Int("descriptors", 0, 0, 10_000_000)),
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
