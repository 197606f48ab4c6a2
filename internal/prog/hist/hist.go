// Package hist holds a program's history in the form that support engineers
// read: what was asked, what was tried, how it ended and what it cost.
package hist

import (
	"time"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/result"
)

type (
	// History is one program's life. Ended is empty while it is open. All
	// token counts include those of sub-agents only in the root's history.
	History struct {
		Program  string    `json:"program"`
		Account  string    `json:"account"`
		Agent    string    `json:"agent,omitempty"`
		Parent   string    `json:"parent,omitempty"`
		Priority int       `json:"priority"`
		Budget   int64     `json:"budget_tokens"`
		Spent    int64     `json:"spent_tokens"`
		Opened   time.Time `json:"opened"`
		Ended    string    `json:"ended,omitempty"` // finished, cancelled, expired or a limit's code
		EndedAt  time.Time `json:"ended_at,omitzero"`
		Calls    []Call    `json:"calls"`
	}

	// Call is one call of the program with its outcome. A call under way has
	// a result without code.
	Call struct {
		Request string    `json:"request"`
		Number  int       `json:"call"`
		Kind    call.Kind `json:"kind"`
		Target  string    `json:"target"`           // model, or service and path
		Digest  string    `json:"digest"`           // SHA-256 of the request's body, hex
		Size    int       `json:"size"`             // of the request's body, bytes
		Shared  int       `json:"shared,omitempty"` // leading messages as in the program's model call before; Asked has the rest
		Asked   string    `json:"asked,omitempty"`
		// AskedIn and AnswerIn say where Asked and the result's body are if
		// they were too long for the journal; the journal has them empty then.
		AskedBlob  *Blob `json:"asked_in,omitempty"`
		AnswerBlob *Blob `json:"answer_in,omitempty"`
		// Note tells a reader that a text can't be read now, and why.
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

	// Blob is a text that is kept in data folders.
	Blob struct {
		Digest  string   `json:"digest"` // SHA-256 of the text, hex
		Size    int      `json:"size"`   // bytes
		Holders []string `json:"holders"`
	}

	// Try is one attempt at one upstream.
	Try struct {
		Upstream string    `json:"upstream"`
		Start    time.Time `json:"start"`
		End      time.Time `json:"end,omitzero"`
		Ended    string    `json:"ended"` // ok, or why it ended
	}
)
