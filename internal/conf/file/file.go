// Package file parses the configuration of a whole system, which operators declare in one INI
// file and apply as a whole. It is the configuration of the daemons that `slaterock serve`
// runs; front daemons use packages route and accnt instead.
//
// A parsed File is immutable. Addresses are IP addresses with a port. A map's key is the name
// in the section header: [upstream.e1] is Upstreams["e1"].
package file

import "time"

const (
	// Engines marks a group of model engines.
	Engines GroupKind = "engine"
	// Services marks a group of plain services.
	Services GroupKind = "service"
)

type (
	// GroupKind is the type of a group's upstreams.
	GroupKind string

	// File is one configuration. Version is the active version, 0 before the text was applied;
	// it is not part of the text.
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
		LatencyWeight float64 // cost of one second of program latency
		CacheWeight   float64 // cost of one second of wasted prefill
		StoreReads    float64 // limit of store reads per second, for all daemons together
		StoreWrites   float64 // the same for writes
	}

	// Limits is the section [limits].
	Limits struct {
		MaxBody         int           // bytes
		MaxPrograms     int           // open programs of one daemon
		MaxCalls        int           // concurrent calls of one daemon
		GapWait         time.Duration // how long a call waits for missing earlier calls
		BudgetBlock     int64         // tokens of a program's budget that its owner reserves at a time
		InlineText      int           // bytes; longer texts go to a data folder instead of the journal
		JournalBuffer   int           // bytes of records waiting to be written to the store
		DrainTimeout    time.Duration
		RetryShare      float64 // retries as a fraction of first attempts
		HedgeShare      float64
		UpstreamTimeout time.Duration // to the first byte of a model's response
	}

	// Account is a section [account.NAME]. KeyHash is SALT:HEX, the SHA-256 of salt and key
	// concatenated.
	Account struct {
		KeyHash         string
		Operator        bool // may read every program, apply and drain
		MaxPrograms     int
		TokensPerMinute int64
	}

	// Agent is a section [agent.NAME]: an agent program that callers may open.
	Agent struct {
		Model       string
		Priority    int   // 0 to 9; 9 is the most urgent, unlike in route.Route
		Budget      int64 // tokens; also the maximum that a caller may request at open
		MaxTurns    int
		MaxDuration time.Duration
		IdleLimit   time.Duration
	}

	// Model is a section [model.NAME].
	Model struct {
		Group     string
		MaxTokens int // of one response
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
		QueueLimit  int           // queued requests
		QueueWait   time.Duration // longest expected wait; requests above it are refused
		MaxInflight int           // concurrent requests of one upstream
	}

	// Upstream is a section [upstream.NAME].
	Upstream struct {
		Group         string
		Address       string
		FailureDomain string
		Models        []string // empty means all models of the group
		Fencing       bool     // rejects orders with an outdated fencing token
	}
)
