// Package trace is the format of recorded and declared traces: JSON lines in
// snake case, each with a kind. The first line is the header with the version
// of the format. The others tell what arrived (programs), what the platform
// and the upstreams were like and did (upstreams, services, faults) and what
// must come of it (expect). docs/design/traces.md describes every field.
package trace

const (
	// Version is the version of the format that this package reads and writes.
	Version = 1

	// Down is an upstream, or a failure domain, that is gone: what runs there
	// fails and connections are refused.
	Down Mode = "down"
	// Leave is an upstream that leaves and is replaced by an empty one.
	Leave Mode = "leave"
	// Silent is an upstream whose load reports stop.
	NoReports Mode = "silent"
	// Gaps is an upstream of whose cache events half are lost.
	EventLoss Mode = "gaps"
	// Hang is an upstream that takes requests and never answers.
	Hang Mode = "hang"
	// Slow is an upstream that works slower by Factor.
	Slow Mode = "slow"
	// Store is an outage of the platform's key-value service.
	StoreOutage Mode = "store"
)

type (
	// Line is one line of a trace.
	Line interface{ kind() string }

	// What names a fault.
	Mode string

	// Header is the first line. Times are milliseconds from the beginning.
	Header struct {
		Version       int     `json:"version"`
		Name          string  `json:"name"`
		Owners        int     `json:"owners"` // daemons that decide side by side
		LatencyWeight float64 `json:"latency_weight"`
		CacheWeight   float64 `json:"cache_weight"`
		QueueLimit    int     `json:"queue_limit"`
		QueueWaitMS   int64   `json:"queue_wait_ms"`
		MaxInflight   int     `json:"max_inflight,omitempty"`
		RetryShare    float64 `json:"retry_share,omitempty"`
		HedgeShare    float64 `json:"hedge_share,omitempty"`
		TimeoutMS     int64   `json:"timeout_ms"`            // of a model call
		MaxRetries    int     `json:"returns"`               // times that a caller comes back after a refusal
		ListLagMS     int64   `json:"list_lag_ms,omitempty"` // of the platform's list of VMs
		DeadlineMS    int64   `json:"deadline_ms,omitempty"` // callers give up a program after this
		RecordedAt    string  `json:"recorded_at,omitempty"` // when, for a recorded trace
		Seed          uint64  `json:"seed,omitempty"`        // of the generator, for a declared trace
	}

	// Upstream is one worker and how it was measured to behave. Service tells
	// a plain service from an engine; of a service only Slots matter.
	Upstream struct {
		Name          string  `json:"name"`
		Group         string  `json:"group"`
		FailureDomain string  `json:"failure_domain"`
		Service       bool    `json:"service,omitempty"`
		Slots         int     `json:"slots"`                   // requests served at a time
		PrefillPerS   float64 `json:"prefill_per_s,omitempty"` // tokens
		DecodeMS      float64 `json:"decode_ms,omitempty"`     // for each token, alone
		BatchSlope    float64 `json:"batch_slope,omitempty"`   // longer by this share for each request beside it
		CacheTokens   int     `json:"cache_tokens,omitempty"`
		ReportMS      int64   `json:"report_ms,omitempty"` // between load reports
		LagMS         int64   `json:"lag_ms,omitempty"`    // of load reports and cache events
	}

	// Service is one declared service.
	Service struct {
		Name       string `json:"name"`
		Group      string `json:"group"`
		Idempotent bool   `json:"idempotent,omitempty"`
		Hedge      bool   `json:"hedge,omitempty"`
		TimeoutMS  int64  `json:"timeout_ms"`
	}

	// Program is one program that arrived, with the calls that it made. Its
	// first prompt begins with Context, which other programs may share.
	Program struct {
		AtMS          int64  `json:"at_ms"`
		Name          string `json:"name"`
		Account       string `json:"account"`
		Group         string `json:"group"` // of engines
		Priority      int    `json:"priority,omitempty"`
		Budget        int64  `json:"budget_tokens,omitempty"`
		MaxTurns      int    `json:"max_turns,omitempty"`
		Context       string `json:"context,omitempty"`
		ContextTokens int    `json:"context_tokens,omitempty"`
		Loop          bool   `json:"loop,omitempty"` // begins again after the last call
		CancelMS      int64  `json:"cancel_ms,omitempty"`
		Calls         []Call `json:"calls"`
	}

	// Call is one call: to a service if it names one, otherwise to a model.
	Call struct {
		Prompt  int    `json:"prompt,omitempty"` // tokens added since the last answer
		Output  int    `json:"output,omitempty"` // tokens of the answer
		Service string `json:"service,omitempty"`
		WorkMS  int64  `json:"work_ms,omitempty"`  // that the service takes
		PauseMS int64  `json:"pause_ms,omitempty"` // before the next call
	}

	// Fault is something that went wrong, at one upstream, at all of a
	// failure domain, or at the store.
	Fault struct {
		AtMS          int64   `json:"at_ms"`
		UntilMS       int64   `json:"until_ms"`
		Mode          Mode    `json:"what"`
		Upstream      string  `json:"upstream,omitempty"`
		FailureDomain string  `json:"failure_domain,omitempty"`
		Factor        float64 `json:"factor,omitempty"`
	}

	// Expect is a stated outcome: a measure and its bounds, or how one
	// program ended.
	Expect struct {
		Measure string   `json:"measure,omitempty"`
		AtLeast float64  `json:"at_least,omitempty"`
		AtMost  *float64 `json:"at_most,omitempty"`
		Program string   `json:"program,omitempty"`
		Outcome string   `json:"outcome,omitempty"`
		Line    int      `json:"-"` // where it stands
	}

	// Trace is a whole trace.
	Trace struct {
		Header    Header
		Upstreams []Upstream
		Services  []Service
		Programs  []Program
		Faults    []Fault
		Expects   []Expect
	}
)

func (Header) kind() string   { return "trace" }
func (Upstream) kind() string { return "upstream" }
func (Service) kind() string  { return "service" }
func (Program) kind() string  { return "program" }
func (Fault) kind() string    { return "fault" }
func (Expect) kind() string   { return "expect" }
