// Package runner is the seam between the daemon's ends: whoever meets a caller
// hands what was asked to a Runner, and whoever owns the program's shard is
// one. A daemon that does not own the shard reaches the owner's Runner over
// its link to that daemon.
package runner

import (
	"context"

	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/hist"
	"github.com/slaterock/slaterock/internal/prog/result"
)

type (
	// Sink takes the text of an answer piece by piece, before its end is
	// committed. An error tells that the caller is gone.
	Sink func(text string) error

	// Runner runs programs. All methods block until the outcome is committed
	// or refused, and end early with ctx. The end of an answer is known only
	// from the result: pieces given to a Sink are not an answer yet.
	Runner interface {
		Open(ctx context.Context, o call.Open) result.Result
		Call(ctx context.Context, c call.Call, sink Sink) result.Result
		End(ctx context.Context, e call.End) result.Result
		// History returns the program's history. An empty account is the
		// operator, who sees all.
		History(ctx context.Context, account, program string) (hist.History, result.Result)
		// Request returns the history of the one program that has the request,
		// holding only that call.
		Request(ctx context.Context, account, request string) (hist.History, result.Result)
	}
)
