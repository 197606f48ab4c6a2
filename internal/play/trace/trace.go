// Package trace reads and writes the trace format: JSON lines with snake-case
// keys, each with a kind. The first line is the header with the format version.
// The other lines are the workload (program), the model of the upstreams and the
// platform (upstream, service, fault) and the expectations on a replay (expect).
// Traces are recorded by a daemon or generated. docs/design/traces.md describes
// every field.
package trace

const (
	// Version is the version of the format that this package reads and writes.
	Version = 1

	// Down is a crash: the upstream's requests fail and connections are refused.
	Down Mode = "down"
	// Leave is a replacement: the upstream announces that it leaves, and at the end
	// of the fault it is replaced by an empty one.
	Leave Mode = "leave"
	// NoReports is the loss of load reports: the upstream sends no load reports.
	NoReports Mode = "silent"
	// EventLoss is the random loss of half of the upstream's cache events.
	EventLoss Mode = "gaps"
	// Hang is a stall: the upstream accepts requests and never answers.
	Hang Mode = "hang"
	// Slow is a slowdown: the upstream's processing times are multiplied by Factor.
	Slow Mode = "slow"
	// StoreOutage is an outage of the platform's key-value service.
	StoreOutage Mode = "store"
)

type (
	// Line is one line of a trace.
	Line interface{ kind() string }

	// Mode is a failure mode.
	Mode string

	// Header is the first line. Fields named AtMS and UntilMS, in all lines, are
	// milliseconds from the start of the trace.
	Header struct {
		Version       int     `json:"version"`
		Name          string  `json:"name"`
		Owners        int     `json:"owners"` // number of daemons, each with a scheduler of its own
		LatencyWeight float64 `json:"latency_weight"`
		CacheWeight   float64 `json:"cache_weight"`
		QueueLimit    int     `json:"queue_limit"`
		QueueWaitMS   int64   `json:"queue_wait_ms"`
		MaxInflight   int     `json:"max_inflight,omitempty"`
		RetryShare    float64 `json:"retry_share,omitempty"`
		HedgeShare    float64 `json:"hedge_share,omitempty"`
		TimeoutMS     int64   `json:"timeout_ms"`            // of an attempt of a model call
		MaxRetries    int     `json:"returns"`               // of refused calls, for each program
		ListLagMS     int64   `json:"list_lag_ms,omitempty"` // delay of the platform's list of VMs
		DeadlineMS    int64   `json:"deadline_ms,omitempty"` // from arrival until the caller gives the program up
		RecordedAt    string  `json:"recorded_at,omitempty"` // RFC 3339, for a recorded trace
		Seed          uint64  `json:"seed,omitempty"`        // of the generator, for a generated trace
	}

	// Upstream is one upstream with its performance parameters. Service marks a
	// plain service; the other upstreams are engines. For a service, Slots,
	// ReportMS and LagMS are used.
	Upstream struct {
		Name          string  `json:"name"`
		Group         string  `json:"group"`
		FailureDomain string  `json:"failure_domain"`
		Service       bool    `json:"service,omitempty"`
		Slots         int     `json:"slots"`                   // concurrent requests
		PrefillPerS   float64 `json:"prefill_per_s,omitempty"` // tokens per second
		DecodeMS      float64 `json:"decode_ms,omitempty"`     // per output token, without concurrent requests
		BatchSlope    float64 `json:"batch_slope,omitempty"`   // relative increase of DecodeMS for each concurrent request
		CacheTokens   int     `json:"cache_tokens,omitempty"`
		ReportMS      int64   `json:"report_ms,omitempty"` // interval between load reports
		LagMS         int64   `json:"lag_ms,omitempty"`    // delay of load reports and cache events
	}

	// Service is one declared service.
	Service struct {
		Name       string `json:"name"`
		Group      string `json:"group"`
		Idempotent bool   `json:"idempotent,omitempty"`
		Hedge      bool   `json:"hedge,omitempty"`
		TimeoutMS  int64  `json:"timeout_ms"` // of an attempt
	}

	// Program is one program with its calls. Its first prompt begins with
	// Context, a prefix that other programs may share.
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
		Loop          bool   `json:"loop,omitempty"`      // repeats Calls until the program is stopped
		CancelMS      int64  `json:"cancel_ms,omitempty"` // from arrival until the caller cancels the program
		Calls         []Call `json:"calls"`
	}

	// Call is one call, to a service if Service is set, otherwise to a model.
	Call struct {
		Prompt  int    `json:"prompt,omitempty"` // tokens appended to the conversation so far
		Output  int    `json:"output,omitempty"` // generated tokens
		Service string `json:"service,omitempty"`
		WorkMS  int64  `json:"work_ms,omitempty"`  // processing time of the service
		PauseMS int64  `json:"pause_ms,omitempty"` // between the answer and the next call
	}

	// Fault is a failure of one upstream, of all upstreams of a failure domain,
	// or of the store.
	Fault struct {
		AtMS          int64   `json:"at_ms"`
		UntilMS       int64   `json:"until_ms"`
		Mode          Mode    `json:"what"`
		Upstream      string  `json:"upstream,omitempty"`
		FailureDomain string  `json:"failure_domain,omitempty"`
		Factor        float64 `json:"factor,omitempty"`
	}

	// Expect is an expectation: a measure of the replay with its bounds, or the
	// outcome of one program.
	Expect struct {
		Measure string   `json:"measure,omitempty"`
		AtLeast float64  `json:"at_least,omitempty"`
		AtMost  *float64 `json:"at_most,omitempty"`
		Program string   `json:"program,omitempty"`
		Outcome string   `json:"outcome,omitempty"`
		Line    int      `json:"-"` // in the trace, from 1
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
