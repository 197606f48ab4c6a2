// Package route holds the routing table of one configuration version: which requests go to
// which service, with which timeout, priority and retry rules. It is used by front daemons; the
// configuration of `slaterock serve` is in package file.
//
// A Table is immutable. Match finds a request's route by host and longest path prefix.
package route

import (
	"sort"
	"strings"
	"time"

	"github.com/slaterock/slaterock/internal/conf/accnt"
)

const (
	// Safe requests are idempotent and may run more than once.
	Safe Kind = iota
	// Unsafe requests are not idempotent: a request is not sent again once an upstream may have
	// run it.
	Unsafe
	// Stream requests are answered by server-sent events. They are not idempotent, but some
	// routes can resume them after an event.
	Stream
)

type (
	// Kind tells whether a request may be repeated.
	Kind uint8

	// Table is one version of the routing configuration.
	Table struct {
		Version  int64  // set by the operator; only increases
		Revision uint64 // of the configuration's entry in the store
		Text     []byte // as the operator wrote it, with keys replaced by their digests
		Services map[string]Service
		Limits   Limits
		Accounts *accnt.Accounts // nil if callers need no key

		hosts map[string][]Route // longest prefix first
		count int
	}

	// Route describes how requests of one host and path prefix are handled.
	Route struct {
		Name       string
		Host       string
		Prefix     string // begins and ends with a slash
		Kind       Kind
		Backends   []Backend     // at least one
		Timeout    time.Duration // upper limit of the caller's timeout; 0 means none
		Target     time.Duration // target response time; set but not used
		EventGap   time.Duration // longest pause between events of a stream; set but not used
		Attempts   int           // upstreams that one request may be sent to, at least 1
		Priority   int           // 0 is the most urgent
		Affinity   bool          // requests with the same key run faster on the same upstream; set but not used
		Resume     bool          // a broken stream may resume at another upstream
		Turns      bool          // requests are turns of a program with a token budget
		StoreTurns bool          // texts of turns are stored
		RetainFor  time.Duration // retention of texts and budgets
		Open       bool          // callers need no key
	}

	// Backend is a service with its weight in a route.
	Backend struct {
		Service string
		Weight  int
	}

	// Service is a group of equivalent upstreams.
	Service struct {
		Name        string
		HealthPath  string
		MaxConns    int // per upstream, over all callers
		Batch       int // requests that one upstream runs concurrently; 0 if unknown
		Memory      int // tokens of KV cache of one upstream; 0 for plain services
		EventTokens int // tokens that each event of a stream counts for
	}

	// Limits are the limits on requests.
	Limits struct {
		HeaderBytes int
		BodyBytes   int64
		HeaderTime  time.Duration
		IdleTime    time.Duration
	}
)

// String returns the kind's name.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Unsafe:
		return "unsafe"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}

// New returns a table of the routes and services.
func New(version int64, routes []Route, services []Service, limits Limits) *Table {
	t := &Table{Version: version, Limits: limits, Services: map[string]Service{}, hosts: map[string][]Route{}, count: len(routes)}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	for _, r := range routes {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, rs := range t.hosts {
		sort.SliceStable(rs, func(i, j int) bool { return len(rs[i].Prefix) > len(rs[j].Prefix) })
	}
	return t
}

// Len returns the number of routes.
func (t *Table) Len() int { return t.count }

// Match returns the route with the longest matching prefix. A port in host is ignored.
func (t *Table) Match(host, path string) (Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Choose returns the service for a request, by backend weight. hash is computed from the
// request's key, so equal keys choose the same service as long as the backends are unchanged.
func (r Route) Choose(hash uint64) string {
	total := 0
	for _, b := range r.Backends {
		total += max(b.Weight, 0)
	}
	if total == 0 {
		return r.Backends[0].Service
	}
	n := int(hash % uint64(total))
	for _, b := range r.Backends {
		if n -= max(b.Weight, 0); n < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
