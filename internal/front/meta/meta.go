// Package asked describes one attempt of a caller's request, as the daemon that
// took it knows it, and what it tells the upstream beside the request itself.
package meta

import (
	"time"

	"github.com/slaterock/slaterock/internal/conf/accnt"
)

type (
	// Attempt is what the caller said of one attempt of a request. Each
	// attempt has an id of its own. Fields that the caller left out are zero.
	Attempt struct {
		ID              string
		CallerTimeout   time.Duration // how long the caller waits for the answer
		Program         string
		Session         string // one line of turns of the program
		TokenBudget     int    // tokens that the program's turns may generate; valid with HasBudget
		HasTokenBudget  bool
		PromptTokens    int           // tokens of the prompt
		MaxOutputTokens int           // most tokens that the turn generates
		Previous        string        // attempt id of the turn that this one continues
		LastEventID     string        // id of the last event that the caller has
		FinishIn        time.Duration // until the program should be finished, counted from this attempt; below 0 if it is late; valid with HasFinish
		HasFinishIn     bool
		AffinityKey     string       // names the object that the request is about
		APIKey          accnt.Digest // of the caller's key; valid with HasKey
		HasAPIKey       bool         // the caller named one key
	}

	// Order is what the system tells the upstream of one dispatch.
	Dispatch struct {
		Instance    string        // the only upstream that may run the request
		Timeout     time.Duration // that the caller still waits
		Priority    int           // 0 is the most urgent of 0 to 9; valid with HasPriority
		LastEventID string        // go on after this event
		HasPriority bool          // Priority is set
		Account     string        // of the caller; empty if it needs none
	}

	// Verdict is what an upstream's answer says beside its status.
	ResponseInfo struct {
		Request  string        // the attempt that it answers
		NotRun   bool          // the upstream did not run the request and never will
		Signed   bool          // it carries the upstream's signature
		Closing  bool          // the upstream closes the connection after this answer
		IdleTime time.Duration // after which the upstream closes an idle connection; 0 if not told
	}
)
