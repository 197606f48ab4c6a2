// Package meta holds the metadata of requests and responses, independent of the headers
// that carry it: what a caller states about an attempt, what the proxy adds when it
// dispatches it to an upstream, and what the upstream states about its response.
package meta

import (
	"time"

	"github.com/slaterock/slaterock/internal/conf/accnt"
)

type (
	// Attempt is the caller's metadata of one attempt of a request. Each attempt has
	// an id of its own. Fields that the caller left out are zero.
	Attempt struct {
		ID              string
		CallerTimeout   time.Duration // how long the caller waits for the response
		Program         string        // id of the program
		Session         string        // one sequence of turns of the program
		TokenBudget     int           // tokens that the program's turns may generate; valid with HasTokenBudget
		HasTokenBudget  bool
		PromptTokens    int           // tokens of the prompt
		Parts           []Part        // parts of the prompt in order, MaxParts at most; nil if not named
		MaxOutputTokens int           // most tokens that the turn may generate
		Previous        string        // attempt id of the turn that this one continues
		LastEventID     string        // id of the last event that the caller received
		FirstAttempt    string        // id of the attempt that brought the stream's first event; set with LastEventID, if known
		FinishIn        time.Duration // from this attempt to the program's deadline; negative if it is late; valid with HasFinishIn
		HasFinishIn     bool
		AffinityKey     string       // id of the object that the request is about
		APIKey          accnt.Digest // digest of the caller's key; valid with HasAPIKey
		HasAPIKey       bool         // the caller sent exactly one key
	}

	// Dispatch is the metadata that the proxy adds for the upstream.
	Dispatch struct {
		Instance    string        // the only upstream that may run the request
		Timeout     time.Duration // time left until the request's deadline
		Priority    int           // 0 is the most urgent of 0 to 9; valid with HasPriority
		LastEventID string        // resume after this event; empty to start from the beginning
		HasPriority bool          // Priority is set
		Account     string        // name of the caller's account; empty for none
	}

	// ResponseInfo is the metadata of an upstream's response.
	ResponseInfo struct {
		Request      string        // id of the attempt that it responds to
		NotRun       bool          // the upstream did not run the request and never will
		NotRunHeader bool          // the response states so by itself, not only by its status
		Signed       bool          // it carries a signature of the upstream
		Closing      bool          // the upstream closes the connection after this response
		IdleTime     time.Duration // after which the upstream closes an idle connection; 0 if not stated
	}
)
