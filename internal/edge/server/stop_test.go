package server

import (
	"context"
	"errors"
	"net"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/fake/memnet"
	"github.com/slaterock/slaterock/internal/prog/call"
	"github.com/slaterock/slaterock/internal/prog/result"
	"github.com/slaterock/slaterock/internal/prog/runner"
)

// A daemon is stopped on purpose in the middle of an answer. Its caller must
// get the rest of it, and must not send its next request to a closed door.
func TestShutdownFinishesStreams(t *testing.T) {
	is := is.New(t)
	st := start(t, file.Limits{})
	proceed := make(chan struct{})
	st.fake.call = func(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
		is.NoErr(sink("kari"))
		<-proceed
		return answers("karibu")(ctx, c, sink)
	}
	res := st.do("POST", "/v1/chat/completions", tenant, streamBody, numbered("p", "0"))
	defer func() { _ = res.Body.Close() }()
	stopped := make(chan error, 1)
	go func() { stopped <- st.Shutdown(context.Background()) }()
	<-st.closed // nobody new comes in
	close(proceed)
	body := rest(t, res)
	is.Equal(content(t, body), "karibu")
	is.True(strings.HasSuffix(body, "[DONE]\n\n"))
	is.NoErr(<-stopped)
}

// The time for a graceful stop is over and a call still hangs. The caller is
// told that nobody knows, instead of seeing its connection cut.
func TestShutdownOverdue(t *testing.T) {
	is := is.New(t)
	st := start(t, file.Limits{})
	st.fake.call = func(ctx context.Context, _ call.Call, sink runner.Sink) result.Result {
		is.NoErr(sink("kari"))
		<-ctx.Done()
		return result.Result{}
	}
	res := st.do("POST", "/v1/chat/completions", tenant, streamBody, numbered("p", "0"))
	defer func() { _ = res.Body.Close() }()
	over, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(errors.Is(st.Shutdown(over), context.Canceled))
	body := rest(t, res)
	is.True(strings.Contains(body, `"code":"outcome_unknown"`))
	is.True(strings.Contains(body, `"ran":"unknown"`))
	is.True(!strings.Contains(body, "[DONE]"))
}

// A draining daemon goes on answering callers that still hold its address, but
// sends them away.
func TestDrainingClosesConnections(t *testing.T) {
	is := is.New(t)
	st := start(t, file.Limits{})
	st.fake.call = answers("karibu")
	before := st.do("GET", "/v1/entries", tenant, "", nil)
	is.NoErr(before.Body.Close())
	is.True(!before.Close)
	st.StartDraining()
	after := st.do("POST", "/v1/chat/completions", tenant, plainBody, numbered("p", "0"))
	defer func() { _ = after.Body.Close() }()
	is.Equal(after.StatusCode, 200)
	is.True(after.Close)
}

// A caller stops reading but keeps its connection open. Without a bound on
// writes its answer would hold a call, and the upstream behind it, for ever.
func TestWriteToSilentCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		began := time.Now()
		_, err := (&conn{Conn: near, timeout: DefaultSendTimeout}).Write([]byte("karibu"))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.Equal(time.Since(began), DefaultSendTimeout)
	})
}

// A daemon is stopped while it starts: it is told to stop before it serves. It served
// callers for ever then, and whoever waited for its end waited for ever.
func TestStopBeforeServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var n memnet.Net
		ln := n.Listen("a:1")
		var s Server
		is.NoErr(s.Shutdown(t.Context()))
		served := make(chan error, 1)
		go func() { served <- s.Serve(ln) }()
		select {
		case err := <-served:
			is.NoErr(err)
		case <-time.After(time.Minute):
			t.Error("it serves on")
			is.NoErr(ln.Close())
		}
		_, err := n.Connect(t.Context(), "a:1")
		is.True(err != nil) // nobody is left waiting at a door behind which nobody is
	})
}
