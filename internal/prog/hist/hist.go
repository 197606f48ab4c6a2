// Package hist defines a program's history as support engineers read it: the
// requests, their attempts, their outcomes and their costs.
package hist

import (
	"time"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/result"
)

type (
	// History is the history of one program. Ended is empty while the program
	// is open. Token counts include those of sub-agents only in the root's
	// history.
	History struct {
		Program  string    `json:"program"`
		Account  string    `json:"account"`
		Agent    string    `json:"agent,omitempty"`
		Parent   string    `json:"parent,omitempty"`
		Priority int       `json:"priority"`
		Budget   int64     `json:"budget_tokens"`
		Spent    int64     `json:"spent_tokens"`
		Opened   time.Time `json:"opened"`
		Ended    string    `json:"ended,omitempty"` // finished, cancelled, expired, or the code of the limit that ended it
		EndedAt  time.Time `json:"ended_at,omitzero"`
		Calls    []Call    `json:"calls"`
	}

	// Call is one call of the program with its outcome. The result of a call in
	// progress has no code.
	Call struct {
		Request string    `json:"request"`
		Number  int       `json:"call"`
		Kind    call.Kind `json:"kind"`
		Target  string    `json:"target"`           // model, or service and path
		Digest  string    `json:"digest"`           // SHA-256 of the request's body, hex
		Size    int       `json:"size"`             // of the request's body, bytes
		Shared  int       `json:"shared,omitempty"` // leading messages repeated from the previous model call
		Asked   string    `json:"asked,omitempty"`  // the request's body, without the Shared messages
		// AskedBlob and AnswerBlob locate Asked and the result's body if these
		// are too long for the journal; the fields themselves are empty there.
		AskedBlob  *Blob `json:"asked_in,omitempty"`
		AnswerBlob *Blob `json:"answer_in,omitempty"`
		// Note says which texts can't be read now.
		Note string `json:"note,omitempty"`

		Tries        []Try         `json:"attempts"`
		Result       result.Result `json:"result"`
		BudgetBefore int64         `json:"budget_before"`
		BudgetAfter  int64         `json:"budget_after"`
		Config       uint64        `json:"config_version"`
		Epoch        uint64        `json:"epoch"`
		Start        time.Time     `json:"start"`
		End          time.Time     `json:"end,omitzero"`
	}

	// Blob locates a text that is stored in data folders.
	Blob struct {
		Digest  string   `json:"digest"`  // SHA-256 of the text, hex
		Size    int      `json:"size"`    // bytes
		Holders []string `json:"holders"` // daemons with a copy in their data folder
	}

	// Try is one attempt of a call at one upstream.
	Try struct {
		Upstream string    `json:"upstream"`
		Start    time.Time `json:"start"`
		End      time.Time `json:"end,omitzero"`
		Ended    string    `json:"ended"` // ok, or the reason of the failure; empty in flight
	}
)
