// Package quota keeps an account within its limits across all daemons: tokens
// of model calls a minute, and programs open at a time.
//
// Each account has a home, the daemon that owns the shard of the account's
// name. Home is the record kept there, in memory only. Every other daemon keeps a
// Local: it asks the home for tokens, gets some more than the call at hand needs
// and spends them within BlockLife, so that not each call costs a message. An
// ask says what the asker was granted lately and what it has open; a new home
// learns the truth from these.
//
// Both are plain state: their users pass the time in, carry Ask and Answer
// between them and guard them against concurrent use.
package quota

import "time"

const (
	// Period is the time for which a limit of tokens holds.
	Period = time.Minute
	// BlockLife is how long after its ask was sent a block may be spent.
	BlockTTL = 2 * time.Second
	// ReportEvery is how often a daemon reports the programs that it has open.
	ReportInterval = 3 * time.Second

	// claimKeep is how long an asker tells of a grant: as long as tokens of it
	// can have been spent within the last minute.
	claimRetention = Period + BlockTTL
	// grantKeep is how long the home counts a grant. The asker dates a grant
	// by its ask, so before the home does, and both count whole seconds. Were
	// the home to forget a grant first, the next ask would bring it back as
	// news, and an account would get half of its limit.
	grantRetention = claimRetention + 2*time.Second
	// openKeep is how long the home believes a count without a new report.
	reportTTL = 5 * ReportInterval

	// The tokens that an asker gets beyond its call are at most this part of
	// the limit and of what is free, so that blocks shrink towards the end.
	limitDivisor = 64
	freeDivisor  = 16
)

type (
	// Ask is what a daemon asks of an account's home. Without Tokens and
	// Programs it is a report.
	Request struct {
		Account  string `json:"account"`
		Daemon   string `json:"daemon"`
		Serial   int64  `json:"serial"`             // grows from ask to ask of one daemon
		Tokens   int64  `json:"tokens,omitempty"`   // wanted
		Programs int    `json:"programs,omitempty"` // to be opened
		Granted  int64  `json:"granted,omitempty"`  // tokens, lately, by any home
		Open     int    `json:"open,omitempty"`     // programs, those being opened included
	}

	// Answer is what the home grants. OK is false if it refuses.
	Answer struct {
		OK     bool          `json:"ok"`
		Tokens int64         `json:"tokens,omitempty"`
		Retry  time.Duration `json:"retry,omitempty"` // zero: the call will never fit
	}

	// Limit is what an account may use; zero is no limit.
	Limit struct {
		Tokens   int64 // a minute
		Programs int
	}
)
