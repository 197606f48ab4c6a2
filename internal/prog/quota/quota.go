// Package quota enforces an account's limits across all daemons: tokens of model
// calls per minute, and programs open at the same time.
//
// Each account has a home, the daemon that owns the shard of the account's name.
// The home keeps the account's state in a Home, in memory only. Each daemon keeps
// a Local: it requests tokens from the home, gets a block that is larger than the
// current call needs, and spends it within BlockTTL, so that most calls cost no
// message. Each request reports the tokens that the daemon was granted recently
// and its open programs; a new home rebuilds its state from these reports.
//
// Home and Local are plain state: their users pass in the time, transfer Request
// and Answer between them and synchronize access.
package quota

import "time"

const (
	// Period is the sliding window of the token limit.
	Period = time.Minute
	// BlockTTL is how long a block may be spent, from when its request was sent.
	BlockTTL = 2 * time.Second
	// ReportInterval is the time between a daemon's reports of its open programs.
	ReportInterval = 3 * time.Second

	// reportedGrantRetention is how long a daemon includes a grant in its
	// reports: as long as tokens of it may have been spent within the last Period.
	reportedGrantRetention = Period + BlockTTL
	// grantRetention is how long the home counts a grant. The daemon dates a
	// grant by the time of its request, so earlier than the home, and both count
	// in whole seconds. If the home dropped a grant first, the next request would
	// report it and the home would count it again as a new one: an account would
	// get half of its limit.
	grantRetention = reportedGrantRetention + 2*time.Second
	// reportTTL is how long the home uses a daemon's count of open programs
	// without a new report.
	reportTTL = 5 * ReportInterval

	// The tokens that a daemon gets beyond its call's cost are at most
	// 1/limitDivisor of the limit and 1/freeDivisor of the free tokens, so that
	// blocks shrink as the limit is approached.
	limitDivisor = 64
	freeDivisor  = 16
)

type (
	// Request is a daemon's request to an account's home. Without Tokens and
	// Programs it is only a report.
	Request struct {
		Account  string `json:"account"`
		Daemon   string `json:"daemon"`
		Serial   int64  `json:"serial"`             // increases with each request of a daemon
		Tokens   int64  `json:"tokens,omitempty"`   // requested
		Programs int    `json:"programs,omitempty"` // to be opened
		Granted  int64  `json:"granted,omitempty"`  // tokens granted within reportedGrantRetention, by any home
		Open     int    `json:"open,omitempty"`     // open programs, including those being opened
	}

	// Answer is the home's answer to a Request. OK is false if it refuses.
	Answer struct {
		OK     bool          `json:"ok"`
		Tokens int64         `json:"tokens,omitempty"`
		Retry  time.Duration `json:"retry,omitempty"` // after a refusal; zero: the call exceeds the limit by itself
	}

	// Limit is an account's limits; zero is unlimited.
	Limit struct {
		Tokens   int64 // per minute
		Programs int
	}
)
