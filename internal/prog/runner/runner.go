// Package runner defines the interface between a daemon's API server and the
// owner of a program's shard. The server passes each request to a Runner. The
// owner implements it; a daemon that does not own the shard calls the owner's
// Runner over its link to that daemon.
package runner

import (
	"context"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

type (
	// Sink receives the text of an answer in pieces, before the outcome is
	// committed. It returns an error if the caller has disconnected.
	Sink func(text string) error

	// Runner runs programs. All methods block until the outcome is committed or
	// the request is refused, or until ctx ends. Only the result says whether an
	// answer is complete: the pieces passed to a Sink are provisional.
	Runner interface {
		Open(ctx context.Context, o call.Open) result.Result
		Call(ctx context.Context, c call.Call, sink Sink) result.Result
		End(ctx context.Context, e call.End) result.Result
		// History returns the program's history. An empty account is the
		// operator, who may read those of all accounts.
		History(ctx context.Context, account, program string) (hist.History, result.Result)
		// Request returns the history of the program that the request belongs
		// to, with only the request's call.
		Request(ctx context.Context, account, request string) (hist.History, result.Result)
	}
)
