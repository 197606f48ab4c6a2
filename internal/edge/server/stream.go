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
	headerBuffering  = "X-Accel-Buffering" // tells proxies not to buffer the stream
)

// stream writes one answer as server-sent events. The field text holds what was
// sent so far.
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
// piece and before the first heartbeat is due gets an HTTP error status instead.
func (s *Server) stream(x *exchange, f *inflightCall, answer chat.Answer) {
	heartbeats, stop := s.ticker(orDefault(s.Heartbeat, DefaultHeartbeat))
	first := f.next(heartbeats)
	if e, ok := first.(ended); ok && !e.result.OK() {
		stop()
		f.cancel()
		x.answerError(e.result)
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
		defer f.cancel() // also after a failed write: the caller disconnected
		defer stop()
		st := stream{w: w, f: f, answer: answer, telemetry: telemetry}
		telemetry.end(st.run(first, heartbeats), fasthttp.StatusOK)
	})
}

// ready returns an event that is already available, or nil.
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

// run writes events until the last and returns the outcome that the caller
// received, or disconnectedResult if a write failed.
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
			continue // flushed together with the previous event
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

// end finishes the stream. The text sent so far must be a prefix of the recorded
// answer. If it is not, the text came from another attempt, and completing it would
// give an answer that no history holds. The stream then ends with an error event.
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

// write only buffers; run flushes when no further event is available.
func (st *stream) write(b []byte) error {
	_, err := st.w.Write(b)
	return err
}

// writeLast writes the last event of the stream and flushes.
func (st *stream) writeLast(s string) error {
	if err := st.write([]byte(s)); err != nil {
		return err
	}
	return st.w.Flush()
}
