package server

import (
	"bufio"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/slaterock/slaterock/internal/edge/chat"
	"github.com/slaterock/slaterock/internal/prog/result"
)

const (
	streamType       = "text/event-stream"
	streamDone       = "data: [DONE]\n\n"
	heartbeatComment = ": waiting\n\n"
	streamError      = "event: error\n"
	dataPrefix       = "data: "
	eventEnd         = "\n\n"
	headerBuffering  = "X-Accel-Buffering" // keeps intermediaries from holding pieces back
)

// stream writes one answer as server-sent events. Text holds what was sent.
type stream struct {
	w         *bufio.Writer
	f         *inflightCall
	answer    chat.Answer
	text      strings.Builder
	opened    bool
	buf       []byte // reused for each piece
	telemetry *telemetry
}

// stream answers with server-sent events. A call that fails before its first
// piece, and before the first heartbeat is due, is refused by status instead.
func (s *Server) stream(x *exchange, f *inflightCall, answer chat.Answer) {
	heartbeats, stop := s.ticker(orDefault(s.Heartbeat, DefaultHeartbeat))
	first := f.next(heartbeats)
	if e, ok := first.(ended); ok && !e.result.OK() {
		stop()
		f.cancel()
		x.refuse(e.result)
		return
	}
	x.Response.SetStatusCode(fasthttp.StatusOK)
	x.Response.Header.SetContentType(streamType)
	x.Response.Header.Set(fasthttp.HeaderCacheControl, "no-cache")
	x.Response.Header.Set(headerBuffering, "no")
	x.Response.ImmediateHeaderFlush = true
	x.detached = true
	telemetry := x.telemetry
	x.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer f.cancel() // also when the caller is gone: a write failed
		defer stop()
		st := stream{w: w, f: f, answer: answer, telemetry: telemetry}
		telemetry.end(st.run(first, heartbeats), fasthttp.StatusOK)
	})
}

// ready returns an event that waits already, or nil.
func (f *inflightCall) ready() event {
	select {
	case e := <-f.events:
		return e
	default:
		return nil
	}
}

// next returns the next event, or nil when a heartbeat is due first.
func (f *inflightCall) next(heartbeats <-chan time.Time) event {
	select {
	case e := <-f.events:
		return e
	case <-heartbeats:
		return nil
	case <-f.ctx.Done():
		return ended{stoppedResult()}
	}
}

// run returns the outcome as the caller was told it.
func (st *stream) run(e event, heartbeats <-chan time.Time) result.Result {
	for {
		var err error
		switch e := e.(type) {
		case piece:
			err = st.piece(e.text)
		case ended:
			return st.end(e.result)
		default:
			err = st.write([]byte(heartbeatComment))
		}
		if err != nil {
			return disconnectedResult()
		}
		if e = st.f.ready(); e != nil {
			continue // goes out with the piece before it
		}
		if err := st.w.Flush(); err != nil {
			return disconnectedResult()
		}
		e = st.f.next(heartbeats)
	}
}

func (st *stream) piece(text string) error {
	if err := st.open(); err != nil {
		return err
	}
	st.text.WriteString(text)
	st.buf = append(st.buf[:0], dataPrefix...)
	st.buf = st.answer.Text(st.buf, text)
	st.buf = append(st.buf, eventEnd...)
	return st.write(st.buf)
}

// end finishes the stream. What was sent must be a beginning of the recorded
// answer: if an answer were put together from two attempts, the caller would
// have text that is in no history, so it is told of an error instead.
func (st *stream) end(r result.Result) result.Result {
	if !r.OK() {
		return st.fail(r)
	}
	rest, ok := strings.CutPrefix(string(r.Body), st.text.String())
	if !ok {
		return st.fail(result.Failed(result.CodeUpstreamFailed, result.Yes,
			"the recorded answer differs from what was sent; repeat the call with the same number"))
	}
	if err := st.finish(rest, r); err != nil {
		return disconnectedResult()
	}
	return r
}

func (st *stream) finish(rest string, r result.Result) error {
	if rest != "" {
		if err := st.piece(rest); err != nil {
			return err
		}
	}
	if err := st.open(); err != nil {
		return err
	}
	if err := st.writeData(st.answer.Finish(r)); err != nil {
		return err
	}
	if st.answer.Usage {
		if err := st.writeData(st.answer.UsageChunk(r)); err != nil {
			return err
		}
	}
	return st.writeLast(streamDone)
}

func (st *stream) fail(r result.Result) result.Result {
	if err := st.writeLast(streamError + dataPrefix + string(encodeError(r)) + eventEnd); err != nil {
		return disconnectedResult()
	}
	return r
}

func (st *stream) open() error {
	if st.opened {
		return nil
	}
	st.opened = true
	st.telemetry.firstPiece()
	return st.writeData(st.answer.Role())
}

func (st *stream) writeData(chunk []byte) error {
	return st.write([]byte(dataPrefix + string(chunk) + eventEnd))
}

// write leaves what it writes to be flushed when nothing more is ready.
func (st *stream) write(b []byte) error {
	_, err := st.w.Write(b)
	return err
}

// last writes the end of the stream.
func (st *stream) writeLast(s string) error {
	if err := st.write([]byte(s)); err != nil {
		return err
	}
	return st.w.Flush()
}
