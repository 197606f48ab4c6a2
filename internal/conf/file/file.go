// Package file is the configuration of a whole system, as operators declare it
// in one INI file and apply it as a whole.
//
// A File is an immutable value once parsed. Durations are Go durations, tokens
// and counts are plain numbers, addresses are IP numbers with a port. A map's
// key is the name in the section's header: [upstream.e1] is Upstreams["e1"].
package file

import "time"

const (
	// Engines is a group of model engines.
	Engines GroupKind = "engine"
	// Services is a group of plain services.
	Services GroupKind = "service"
)

type (
	// GroupKind tells what a group's upstreams are.
	GroupKind string

	// File is one configuration. Version is the version in force, 0 before it
	// was applied; it is no part of the text.
	File struct {
		Version   uint64
		System    System
		Limits    Limits
		Accounts  map[string]Account
		Agents    map[string]Agent
		Models    map[string]Model
		Services  map[string]Service
		Groups    map[string]Group
		Upstreams map[string]Upstream
	}

	// System is the section [system].
	System struct {
		Name          string
		Shards        int     // fixed for the life of a store
		LatencyWeight float64 // worth of a second of program latency
		CacheWeight   float64 // worth of a second of prefill that waste costs
		StoreReads    float64 // calls a second that all daemons together may make
		StoreWrites   float64
	}

	// Limits is the section [limits].
	Limits struct {
		MaxBody         int           // bytes
		MaxPrograms     int           // open programs of one daemon
		MaxCalls        int           // calls under way in one daemon
		GapWait         time.Duration // how long a call waits for the ones before it
		BudgetBlock     int64         // tokens reserved ahead
		InlineText      int           // bytes of text kept in the journal, above it goes to a data folder
		JournalBuffer   int           // bytes of records that may wait for the store
		DrainTimeout    time.Duration
		RetryShare      float64 // retries as a share of first attempts
		HedgeShare      float64
		UpstreamTimeout time.Duration // to the first byte of a model's answer
	}

	// Account is a section [account.NAME]. KeyHash is salt:hex of the SHA-256
	// over salt and key.
	Account struct {
		KeyHash         string
		Operator        bool // may read every program, apply and drain
		MaxPrograms     int
		TokensPerMinute int64
	}

	// Agent is a section [agent.NAME]: an agent program that callers may open.
	Agent struct {
		Model       string
		Priority    int
		Budget      int64 // tokens; also the most that an opener may ask for
		MaxTurns    int
		MaxDuration time.Duration
		IdleLimit   time.Duration
	}

	// Model is a section [model.NAME].
	Model struct {
		Group     string
		MaxTokens int // of one answer
	}

	// Service is a section [service.NAME].
	Service struct {
		Group      string
		Idempotent bool
		Timeout    time.Duration
		MaxTries   int // attempts of one idempotent call
		Hedge      bool
	}

	// Group is a section [group.NAME].
	Group struct {
		Kind        GroupKind
		QueueLimit  int           // requests that may wait
		QueueWait   time.Duration // the longest expected wait that is accepted
		MaxInflight int           // upper bound of one upstream's work in flight
	}

	// Upstream is a section [upstream.NAME].
	Upstream struct {
		Group         string
		Address       string
		FailureDomain string
		Models        []string // empty: all models of the group
		Fencing       bool     // refuses orders with an old fencing number
	}
)
