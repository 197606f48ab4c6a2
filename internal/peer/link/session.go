package link

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/slaterock/slaterock/internal/peer/swim"
)

const (
	// A side that waits for a response pings after Link.PingAfter without data, dials
	// another connection after redialFactor times that, and closes the connection after
	// deadAfter. With the longest scan interval that is within 3 s.
	defaultPingAfter = time.Second
	redialFactor     = 2
	deadAfter        = 2500 * time.Millisecond
	// For a side that only serves, late detection costs no more than wasted
	// work, so it pings less often.
	serverPingAfter = 5 * time.Second
	serverDeadAfter = 10 * time.Second

	roomTimeout = 500 * time.Millisecond // for room for a long request, much shorter than deadAfter

	maxQueued        = 64 << 10 // messages in outQueue
	maxQueuedPackets = 256      // messages in outQueue from which on packets are dropped

	methodPing   = "link.ping"
	methodPong   = "link.pong"
	methodPacket = "link.packet"
	methodCredit = "link.credit"
	methodCancel = "link.cancel"
)

type (
	// session is one authenticated connection. Both sides may send requests.
	session struct {
		link   *Link
		peer   string
		stream *stream
		rpc    *jsonrpc2.Conn
		ready  chan struct{} // closed once rpc is set; its reader starts before that

		// Times are in nanoseconds of Unix time.
		awaitingSince atomic.Int64 // first request or packet sent since data was last read
		lastPing      atomic.Int64
		lastUsed      atomic.Int64
		awaiting      atomic.Int64 // number of requests sent that wait for a response
		serving       atomic.Int64 // number of requests being served
		dialled       bool

		mu        sync.Mutex
		lastID    uint64                     // of the requests this side sent
		pending   map[uint64]*pendingRequest // requests sent, by id
		served    map[uint64]*servedRequest  // requests being served, by id
		outQueue  []outgoing
		outSignal chan struct{} // holds one signal that outQueue grew
		cause     error         // why the session ended
	}

	// outgoing is a notification, or a response if reply is set.
	outgoing struct {
		method string
		params any
		reply  *jsonrpc2.Response
	}

	// credit allows the peer to send that many more bytes of an answer. Its ID and
	// that of cancel are the id of the JSON-RPC request.
	credit struct {
		ID    uint64 `json:"id"`
		Bytes int    `json:"bytes"`
	}

	cancel struct {
		ID uint64 `json:"id"`
	}

	nopLogger struct{}
)

// Printf drops the library's log lines; unresponsive sessions are counted instead.
func (nopLogger) Printf(string, ...any) {}

// start starts the session, which ends with ctx or its connection.
func (s *session) start(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		_ = s.stream.Close()
		return err
	}
	s.outSignal = make(chan struct{}, 1)
	s.pending = map[uint64]*pendingRequest{}
	s.served = map[uint64]*servedRequest{}
	s.lastUsed.Store(time.Now().UnixNano())
	s.stream.onPiece = s.handlePiece
	if s.link.Take != nil {
		s.stream.take, s.stream.giveBack = s.takeRoom, s.link.Return
	}
	s.ready = make(chan struct{})
	defer close(s.ready)
	s.rpc = jsonrpc2.NewConn(ctx, s.stream, s, jsonrpc2.SetLogger(nopLogger{}), jsonrpc2.OnSend(s.onSend), jsonrpc2.OnRecv(s.onReceive))
	s.link.add(s)
	s.link.wg.Go(func() { s.send(ctx) })
	return nil
}

// takeRoom takes n bytes for a request. It waits only briefly: the peer's other messages come after it.
func (s *session) takeRoom(n int64) error {
	ctx, stop := context.WithTimeout(s.link.ctx, roomTimeout)
	defer stop()
	return s.link.Take(ctx, n)
}

// send writes the messages of outQueue until the connection ends.
func (s *session) send(ctx context.Context) {
	disconnected := s.rpc.DisconnectNotify()
	for {
		select {
		case <-s.outSignal:
			for _, m := range s.drainQueue() {
				s.write(ctx, m)
			}
		case <-disconnected:
			s.cleanUp()
			return
		}
	}
}

func (s *session) drainQueue() []outgoing {
	s.mu.Lock()
	defer s.mu.Unlock()
	outQueue := s.outQueue
	s.outQueue = nil
	return outQueue
}

func (s *session) write(ctx context.Context, m outgoing) {
	if m.reply != nil {
		_ = s.rpc.SendResponse(ctx, m.reply)
		return
	}
	_ = s.rpc.Notify(ctx, m.method, m.params)
}

func (s *session) cleanUp() {
	s.link.remove(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.served {
		v.cancel(ErrConnLost)
	}
}

// close ends the session; its outstanding requests fail with cause.
func (s *session) close(cause error) {
	s.mu.Lock()
	if s.cause == nil {
		s.cause = cause
	}
	s.mu.Unlock()
	// The network connection is closed first, to unblock a writer that is stuck
	// in it; closing the RPC connection would not.
	_ = s.stream.Close()
	_ = s.rpc.Close()
}

func (s *session) ended() bool {
	select {
	case <-s.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

// reason returns why the session ended.
func (s *session) reason() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cause != nil {
		return s.cause
	}
	return ErrConnLost
}

// noteSend records that a request or packet is sent, so that data from the peer is
// expected.
func (s *session) noteSend() {
	now := time.Now().UnixNano()
	s.lastUsed.Store(now)
	if awaitingSince := s.awaitingSince.Load(); awaitingSince <= s.stream.lastRead.Load() {
		s.awaitingSince.CompareAndSwap(awaitingSince, now)
	}
}

// onSend runs right before each write, one at a time. It sets the message's
// attachment and marks a request as sent: from then on the peer may have it. The
// library's errors don't reveal that.
func (s *session) onSend(r *jsonrpc2.Request, reply *jsonrpc2.Response) {
	s.stream.nextAttachment = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case reply != nil:
		if v := s.served[reply.ID.Num]; v != nil {
			s.stream.nextAttachment = v.attachment
		}
	case !r.Notif:
		if c := s.pending[r.ID.Num]; c != nil {
			c.sent = true
			s.stream.nextAttachment = c.attachment
		}
	}
}

// onReceive runs in the reader before a response is passed to its waiting request.
func (s *session) onReceive(_ *jsonrpc2.Request, reply *jsonrpc2.Response) {
	if reply == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c := s.pending[reply.ID.Num]; c != nil {
		c.reply = s.stream.lastAttachment
	}
}

// enqueue queues a message without blocking. If the queue is full, the peer has
// accepted no data for long, and the session is closed.
func (s *session) enqueue(m outgoing) {
	s.mu.Lock()
	s.outQueue = append(s.outQueue, m)
	full := len(s.outQueue) > maxQueued
	s.mu.Unlock()
	if full {
		s.close(ErrUnresponsive)
		return
	}
	select {
	case s.outSignal <- struct{}{}:
	default:
	}
}

func (s *session) queueLen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.outQueue)
}

func (s *session) packet(p swim.Packet) {
	if s.queueLen() >= maxQueuedPackets {
		s.link.Scope.Counter("link_packets_dropped").Inc(1)
		return
	}
	data, err := p.MarshalBinary()
	if err != nil {
		s.link.Scope.Counter("link_packets_dropped").Inc(1)
		return
	}
	s.noteSend()
	s.enqueue(outgoing{method: methodPacket, params: data})
}

// check pings if the peer is expected to send data or has a request served here,
// and closes the session if it is unresponsive or has been unused for IdleTimeout.
func (s *session) check(now time.Time) {
	lastRead, awaitingSince := s.stream.lastRead.Load(), s.awaitingSince.Load()
	sinceRead := now.Sub(time.Unix(0, max(lastRead, awaitingSince)))
	switch {
	case s.awaiting.Load() > 0 || awaitingSince > lastRead:
		s.checkLiveness(now, sinceRead, s.link.PingAfter, deadAfter)
		if sinceRead >= redialFactor*s.link.PingAfter && s.peer != "" {
			s.link.Peer(s.peer).tryReplace(s)
		}
	case s.serving.Load() > 0:
		s.checkLiveness(now, sinceRead, serverPingAfter, serverDeadAfter)
	default:
		s.checkIdle(now)
	}
}

func (s *session) checkLiveness(now time.Time, sinceRead, pingAfter, deadAfter time.Duration) {
	if sinceRead >= deadAfter {
		s.link.Scope.Counter("link_silent").Inc(1)
		s.close(ErrUnresponsive)
		return
	}
	if sinceRead >= pingAfter && now.Sub(time.Unix(0, s.lastPing.Load())) >= pingAfter {
		s.lastPing.Store(now.UnixNano())
		s.enqueue(outgoing{method: methodPing})
	}
}

// checkIdle closes an unused session. The accepting side waits twice as long as
// the dialling side, so that a call rarely races with a close.
func (s *session) checkIdle(now time.Time) {
	limit := s.link.IdleTimeout
	if !s.dialled {
		limit *= 2
	}
	last := max(s.lastUsed.Load(), s.stream.lastRead.Load())
	if now.Sub(time.Unix(0, last)) >= limit {
		s.close(errIdleClosed)
	}
}

// Handle receives the peer's messages in order. It must not block, since pings
// and pongs pass through it too.
func (s *session) Handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) {
	<-s.ready
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	switch r.Method {
	case methodPing:
		s.enqueue(outgoing{method: methodPong})
	case methodPong:
	case methodPacket:
		s.handlePacket(params)
	case methodCredit:
		s.handleCredit(params)
	case methodCancel:
		s.handleCancel(params)
	default:
		s.serve(r, params)
	}
}

func (s *session) handlePacket(params json.RawMessage) {
	var data []byte
	var p swim.Packet
	err := json.Unmarshal(params, &data)
	if err == nil {
		err = p.UnmarshalBinary(data)
	}
	if err != nil || s.link.OnPacket == nil {
		s.link.Scope.Counter("link_packets_dropped").Inc(1)
		return
	}
	s.lastUsed.Store(time.Now().UnixNano())
	s.link.OnPacket(p)
}

func (s *session) handlePiece(id uint64, text []byte) {
	s.mu.Lock()
	c := s.pending[id]
	s.mu.Unlock()
	if c != nil {
		c.push(string(text))
	}
}

func (s *session) handleCredit(params json.RawMessage) {
	var c credit
	if json.Unmarshal(params, &c) != nil {
		return
	}
	if v := s.findServed(c.ID); v != nil {
		v.addCredit(c.Bytes)
	}
}

// findServed returns the request being served under that id, nil if it has ended.
func (s *session) findServed(id uint64) *servedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served[id]
}

func (s *session) handleCancel(params json.RawMessage) {
	var c cancel
	if json.Unmarshal(params, &c) != nil {
		return
	}
	if v := s.findServed(c.ID); v != nil {
		v.cancel(ErrCancelled)
	}
}
