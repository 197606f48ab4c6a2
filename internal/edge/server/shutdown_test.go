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

// A daemon is shut down gracefully in the middle of an answer. The listener must
// close, and the caller must still receive the rest of the stream.
func TestShutdownFinishesStreams(t *testing.T) {
	is := is.New(t)
	st := start(t, file.Limits{})
	proceed := make(chan struct{})
	st.fake.call = func(ctx context.Context, c call.Call, sink runner.Sink) result.Result {
		is.NoErr(sink("kari"))
		<-proceed
		return respondWith("karibu")(ctx, c, sink)
	}
	res := st.do("POST", "/v1/chat/completions", accountKey, streamBody, callHeaders("p", "0"))
	defer func() { _ = res.Body.Close() }()
	stopped := make(chan error, 1)
	go func() { stopped <- st.Shutdown(context.Background()) }()
	<-st.closed // no new connections
	close(proceed)
	body := readBody(t, res)
	is.Equal(joinDeltas(t, body), "karibu")
	is.True(strings.HasSuffix(body, "[DONE]\n\n"))
	is.NoErr(<-stopped)
}

// A call still hangs when the grace period of the shutdown ends. The caller must
// get an error event with an unknown outcome instead of a broken connection.
func TestShutdownTimeout(t *testing.T) {
	is := is.New(t)
	st := start(t, file.Limits{})
	st.fake.call = func(ctx context.Context, _ call.Call, sink runner.Sink) result.Result {
		is.NoErr(sink("kari"))
		<-ctx.Done()
		return result.Result{}
	}
	res := st.do("POST", "/v1/chat/completions", accountKey, streamBody, callHeaders("p", "0"))
	defer func() { _ = res.Body.Close() }()
	over, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(errors.Is(st.Shutdown(over), context.Canceled))
	body := readBody(t, res)
	is.True(strings.Contains(body, `"code":"outcome_unknown"`))
	is.True(strings.Contains(body, `"ran":"unknown"`))
	is.True(!strings.Contains(body, "[DONE]"))
}

// A draining daemon still answers callers that have cached its address, but closes
// their connections so that they look up another.
func TestDrainingClosesConnections(t *testing.T) {
	is := is.New(t)
	st := start(t, file.Limits{})
	st.fake.call = respondWith("karibu")
	before := st.do("GET", "/v1/entries", accountKey, "", nil)
	is.NoErr(before.Body.Close())
	is.True(!before.Close)
	st.StartDraining()
	after := st.do("POST", "/v1/chat/completions", accountKey, plainBody, callHeaders("p", "0"))
	defer func() { _ = after.Body.Close() }()
	is.Equal(after.StatusCode, 200)
	is.True(after.Close)
}

// A caller stops reading but keeps its connection open. Without a write deadline
// its response would block the call, and the upstream behind it, forever.
func TestWriteTimeout(t *testing.T) {
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

// A daemon is stopped during its start, so that Shutdown runs before Serve. If Serve
// did not notice the shutdown, it would serve forever and the process would never
// exit.
func TestShutdownBeforeServe(t *testing.T) {
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
			t.Error("Serve still runs one minute after Shutdown")
			is.NoErr(ln.Close())
		}
		_, err := n.Connect(t.Context(), "a:1")
		is.True(err != nil) // the listener is closed, so that callers are refused instead of left waiting
	})
}
