package file

import (
	"strings"
	"time"

	"github.com/slaterock/slaterock/internal/conf/check"
)

const (
	kindSystem   = "system"
	kindLimits   = "limits"
	kindAccount  = "account"
	kindAgent    = "agent"
	kindModel    = "model"
	kindService  = "service"
	kindGroup    = "group"
	kindUpstream = "upstream"

	maxTokens   = 100_000_000
	maxBytes    = 1 << 30
	maxCount    = 1_000_000
	maxPriority = 9
	day         = 24 * time.Hour
)

type (
	// Error is one fault of a configuration text.
	Error = check.Error

	// Errors holds all faults of a configuration text.
	Errors = check.Errors

	// parser builds a File from a Text.
	parser struct {
		text *check.Text
		file File
	}
)

// Parse parses and checks a configuration; name is the file name used in messages. The error is
// an Errors with all faults; the File is then empty. Optional keys that are not given have
// their defaults in the File.
func Parse(name string, text []byte) (File, error) {
	p := parser{text: check.Read(name, text), file: File{
		Accounts:  map[string]Account{},
		Agents:    map[string]Agent{},
		Models:    map[string]Model{},
		Services:  map[string]Service{},
		Groups:    map[string]Group{},
		Upstreams: map[string]Upstream{},
	}}
	p.file.Limits = Limits{}.withDefaults()
	p.text.Require(kindSystem)
	for _, s := range p.text.Sections() {
		p.section(s)
	}
	p.checkReferences()
	if err := p.text.Err(); err != nil {
		return File{}, err
	}
	return p.file, nil
}

func (p *parser) section(s *check.Section) {
	single := s.Kind == kindSystem || s.Kind == kindLimits
	switch {
	case single && s.Label != "":
		s.Reject("the section takes no name; want [%s]", s.Kind)
	case single:
		p.single(s)
	case s.Label == "":
		p.rejectUnnamed(s)
	default:
		p.named(s)
	}
}

func (p *parser) single(s *check.Section) {
	if s.Kind == kindSystem {
		p.file.System = system(s)
		return
	}
	p.file.Limits = limits(s)
}

func (p *parser) rejectUnnamed(s *check.Section) {
	switch s.Kind {
	case kindAccount, kindAgent, kindModel, kindService, kindGroup, kindUpstream:
		s.Reject("the section has no name; want [%s.NAME]", s.Kind)
	default:
		rejectUnknown(s)
	}
}

func (p *parser) named(s *check.Section) {
	switch s.Kind {
	case kindAccount:
		p.file.Accounts[s.Label] = account(s)
	case kindAgent:
		p.file.Agents[s.Label] = agent(s)
	case kindModel:
		p.file.Models[s.Label] = model(s)
	case kindService:
		p.file.Services[s.Label] = service(s)
	case kindGroup:
		p.file.Groups[s.Label] = group(s)
	case kindUpstream:
		p.file.Upstreams[s.Label] = upstream(s)
	default:
		rejectUnknown(s)
	}
}

func rejectUnknown(s *check.Section) {
	s.Reject("the section is unknown; want system, limits, account.NAME, agent.NAME, model.NAME, service.NAME, group.NAME or upstream.NAME")
}

func system(s *check.Section) System {
	s.Require("name")
	return System{
		Name:          s.Word("name", ""),
		Shards:        int(s.Int("shards", 8, 1, 1024)),
		LatencyWeight: s.Float("latency_weight", 1, 0, 1000),
		CacheWeight:   s.Float("cache_weight", 1, 0, 1000),
		StoreReads:    s.Float("store_reads", 1000, 1, maxCount),
		StoreWrites:   s.Float("store_writes", 200, 1, maxCount),
	}
}

// withDefaults returns the limits with each zero replaced by its default. Parsed values don't
// pass through it: an explicit zero is kept.
func (l Limits) withDefaults() Limits {
	return Limits{
		MaxBody:         check.Or(l.MaxBody, 4<<20),
		MaxPrograms:     check.Or(l.MaxPrograms, 10_000),
		MaxCalls:        check.Or(l.MaxCalls, 4_000),
		GapWait:         check.Or(l.GapWait, 10*time.Second),
		BudgetBlock:     check.Or(l.BudgetBlock, 16_384),
		InlineText:      check.Or(l.InlineText, 4<<10),
		JournalBuffer:   check.Or(l.JournalBuffer, 8<<20),
		DrainTimeout:    check.Or(l.DrainTimeout, time.Minute),
		RetryShare:      check.Or(l.RetryShare, 0.1),
		HedgeShare:      check.Or(l.HedgeShare, 0.02),
		UpstreamTimeout: check.Or(l.UpstreamTimeout, 30*time.Second),
	}
}

func limits(s *check.Section) Limits {
	d := Limits{}.withDefaults()
	return Limits{
		MaxBody:         int(s.Int("max_body_bytes", int64(d.MaxBody), 1<<10, 64<<20)),
		MaxPrograms:     int(s.Int("max_programs", int64(d.MaxPrograms), 1, maxCount)),
		MaxCalls:        int(s.Int("max_calls", int64(d.MaxCalls), 1, maxCount)),
		GapWait:         s.Duration("gap_wait", d.GapWait, time.Millisecond, time.Hour),
		BudgetBlock:     s.Int("budget_block_tokens", d.BudgetBlock, 1, maxTokens),
		InlineText:      int(s.Int("inline_text_bytes", int64(d.InlineText), 0, 512<<10)),
		JournalBuffer:   int(s.Int("journal_buffer_bytes", int64(d.JournalBuffer), 64<<10, maxBytes)),
		DrainTimeout:    s.Duration("drain_timeout", d.DrainTimeout, time.Second, day),
		RetryShare:      s.Float("retry_share", d.RetryShare, 0, 1),
		HedgeShare:      s.Float("hedge_share", d.HedgeShare, 0, 1),
		UpstreamTimeout: s.Duration("upstream_timeout", d.UpstreamTimeout, 10*time.Millisecond, time.Hour),
	}
}

func account(s *check.Section) Account {
	s.Require("key_hash")
	if strings.Contains(s.Label, keySeparator) {
		s.Fail("", "an account's name can't hold a dot, which ends it in a caller's key; want letters, digits, '_' and '-'")
	}
	hash := s.String("key_hash", "")
	if s.Has("key_hash") && !validHash(hash) {
		// The value is not quoted: it may be the key itself, and messages end up in logs.
		s.Fail("key_hash", "this is not a key's hash; want a salt of 4 to 64 letters and digits, ':' and 64 hexadecimal digits in lower case")
	}
	return Account{
		KeyHash:         hash,
		Operator:        s.Bool("operator", false),
		MaxPrograms:     int(s.Int("max_programs", 1_000, 1, maxCount)),
		TokensPerMinute: s.Int("tokens_per_minute", 0, 0, 1_000_000_000_000),
	}
}

func agent(s *check.Section) Agent {
	s.Require("model", "budget_tokens")
	return Agent{
		Model:       s.String("model", ""),
		Priority:    int(s.Int("priority", 5, 0, maxPriority)),
		Budget:      s.Int("budget_tokens", 0, 1, maxTokens),
		MaxTurns:    int(s.Int("max_turns", 320, 1, 100_000)),
		MaxDuration: s.Duration("max_duration", 2*time.Hour, time.Second, 30*day),
		IdleLimit:   s.Duration("idle_limit", 15*time.Minute, time.Second, 30*day),
	}
}

func model(s *check.Section) Model {
	s.Require("group")
	return Model{
		Group:     s.String("group", ""),
		MaxTokens: int(s.Int("max_tokens", 4_096, 1, maxTokens)),
	}
}

func service(s *check.Section) Service {
	s.Require("group", "idempotent")
	idempotent := s.Bool("idempotent", false)
	tries := int64(1)
	if idempotent {
		tries = 3
	}
	v := Service{
		Group:      s.String("group", ""),
		Idempotent: idempotent,
		Timeout:    s.Duration("timeout", 10*time.Second, 10*time.Millisecond, time.Hour),
		MaxTries:   int(s.Int("max_tries", tries, 1, 10)),
		Hedge:      s.Bool("hedge", false),
	}
	if !idempotent && v.MaxTries > 1 {
		s.Fail("max_tries", "a service that is not idempotent is tried once; want 1, or idempotent = true")
	}
	if !idempotent && v.Hedge {
		s.Fail("hedge", "a service that is not idempotent gets no second request; want false, or idempotent = true")
	}
	return v
}

func group(s *check.Section) Group {
	s.Require("kind")
	return Group{
		Kind:        GroupKind(s.Choice("kind", "", string(Engines), string(Services))),
		QueueLimit:  int(s.Int("queue_limit", 1_000, 1, maxCount)),
		QueueWait:   s.Duration("queue_wait", 30*time.Second, time.Millisecond, time.Hour),
		MaxInflight: int(s.Int("max_inflight", 64, 1, 100_000)),
	}
}

func upstream(s *check.Section) Upstream {
	s.Require("group", "address", "failure_domain")
	return Upstream{
		Group:         s.String("group", ""),
		Address:       s.Address("address", ""),
		FailureDomain: s.Word("failure_domain", ""),
		Models:        s.Words("models"),
		Fencing:       s.Bool("fencing", false),
	}
}
