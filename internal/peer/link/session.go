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
	// A side that waits for an answer asks for a sign of life after this long
	// and gives up after the other: with scanEvery that is within 3 s.
	askAfter  = time.Second
	deadAfter = 2500 * time.Millisecond
	// A side that only serves loses no more than wasted work when it notices
	// late, so it spends fewer bytes.
	serverAskAfter  = 5 * time.Second
	serverDeadAfter = 10 * time.Second

	outbox     = 64 << 10 // small messages waiting for a connection
	packetRoom = 256      // of them, how many may wait before packets are dropped

	methodPing   = "link.ping"
	methodPong   = "link.pong"
	methodPacket = "link.packet"
	methodCredit = "link.credit"
	methodCancel = "link.cancel"
)

type (
	// session is one authenticated connection. Both sides may call over it.
	session struct {
		link   *Link
		peer   string
		stream *stream
		rpc    *jsonrpc2.Conn
		ready  chan struct{} // closed once rpc is set, which reads before that

		asked    atomic.Int64 // Unix time of the first send since something was heard
		pinged   atomic.Int64
		used     atomic.Int64
		awaiting atomic.Int64 // calls made that wait for an answer
		serving  atomic.Int64 // calls served
		dialled  bool

		mu      sync.Mutex
		next    uint64
		answers map[uint64]*answer // of calls made
		served  map[uint64]*serve  // of calls served
		out     []outgoing
		posted  chan struct{} // holds one signal that out grew
		cause   error         // why the session ended
	}

	// outgoing is a notification, or a response if reply is set.
	outgoing struct {
		method string
		params any
		reply  *jsonrpc2.Response
	}

	// A message about a call names it by the id of its JSON-RPC request.
	//
	// credit lets the server send so many more bytes of an answer.
	credit struct {
		ID    uint64 `json:"id"`
		Bytes int    `json:"bytes"`
	}

	cancel struct {
		ID uint64 `json:"id"`
	}

	silent struct{}
)

// Printf drops the library's log lines: what ends a session is counted.
func (silent) Printf(string, ...any) {}

// run starts the session; it ends with ctx or its connection.
func (s *session) run(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		_ = s.stream.Close()
		return err
	}
	s.posted = make(chan struct{}, 1)
	s.answers = map[uint64]*answer{}
	s.served = map[uint64]*serve{}
	s.used.Store(time.Now().UnixNano())
	s.stream.onPiece = s.takePiece
	s.ready = make(chan struct{})
	defer close(s.ready)
	s.rpc = jsonrpc2.NewConn(ctx, s.stream, s, jsonrpc2.SetLogger(silent{}), jsonrpc2.OnSend(s.sending), jsonrpc2.OnRecv(s.received))
	s.link.add(s)
	s.link.work.Go(func() { s.send(ctx) })
	return nil
}

// send writes what must not block its sender, and cleans up at the end.
func (s *session) send(ctx context.Context) {
	gone := s.rpc.DisconnectNotify()
	for {
		select {
		case <-s.posted:
			for _, m := range s.takeOut() {
				s.write(ctx, m)
			}
		case <-gone:
			s.end()
			return
		}
	}
}

func (s *session) takeOut() []outgoing {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.out
	s.out = nil
	return out
}

func (s *session) write(ctx context.Context, m outgoing) {
	if m.reply != nil {
		_ = s.rpc.SendResponse(ctx, m.reply)
		return
	}
	_ = s.rpc.Notify(ctx, m.method, m.params)
}

func (s *session) end() {
	s.link.remove(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.served {
		v.cancel(ErrLost)
	}
}

// close ends the session for a reason that its calls are told.
func (s *session) close(cause error) {
	s.mu.Lock()
	if s.cause == nil {
		s.cause = cause
	}
	s.mu.Unlock()
	// The connection goes first: closing the RPC connection waits for nothing,
	// but a writer that is stuck in the connection would stay there.
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
	return ErrLost
}

// expect notes that an answer is due from now on.
func (s *session) expect() {
	now := time.Now().UnixNano()
	s.used.Store(now)
	if asked := s.asked.Load(); asked <= s.stream.heard.Load() {
		s.asked.CompareAndSwap(asked, now)
	}
}

// sending runs right before each write, one at a time. It attaches what
// belongs to the message, and notes that the write of a call begins: from then
// on the peer may have it. The library's own errors don't tell this.
func (s *session) sending(r *jsonrpc2.Request, reply *jsonrpc2.Response) {
	s.stream.attach = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case reply != nil:
		if v := s.served[reply.ID.Num]; v != nil {
			s.stream.attach = v.body
		}
	case !r.Notif:
		if a := s.answers[r.ID.Num]; a != nil {
			a.sent = true
			s.stream.attach = a.body
		}
	}
}

// received runs in the reader before the caller of an answered call goes on.
func (s *session) received(_ *jsonrpc2.Request, reply *jsonrpc2.Response) {
	if reply == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if a := s.answers[reply.ID.Num]; a != nil {
		a.reply = s.stream.attached
	}
}

// post queues a small message without blocking. Where it doesn't fit, the
// connection has taken nothing for long, and is given up.
func (s *session) post(m outgoing) {
	s.mu.Lock()
	s.out = append(s.out, m)
	full := len(s.out) > outbox
	s.mu.Unlock()
	if full {
		s.close(ErrSilent)
		return
	}
	select {
	case s.posted <- struct{}{}:
	default:
	}
}

func (s *session) waitingOut() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.out)
}

func (s *session) packet(p swim.Packet) {
	if s.waitingOut() >= packetRoom {
		s.link.Scope.Counter("link_packets_dropped").Inc(1)
		return
	}
	data, err := p.MarshalBinary()
	if err != nil {
		s.link.Scope.Counter("link_packets_dropped").Inc(1)
		return
	}
	s.expect()
	s.post(outgoing{method: methodPacket, params: data})
}

// check asks for a sign of life where one is due, gives up a silent session
// and closes an idle one.
func (s *session) check(now time.Time) {
	heard, asked := s.stream.heard.Load(), s.asked.Load()
	quiet := now.Sub(time.Unix(0, max(heard, asked)))
	switch {
	case s.awaiting.Load() > 0 || asked > heard:
		s.checkQuiet(now, quiet, askAfter, deadAfter)
	case s.serving.Load() > 0:
		s.checkQuiet(now, quiet, serverAskAfter, serverDeadAfter)
	default:
		s.checkIdle(now)
	}
}

func (s *session) checkQuiet(now time.Time, quiet, ask, dead time.Duration) {
	if quiet >= dead {
		s.link.Scope.Counter("link_silent").Inc(1)
		s.close(ErrSilent)
		return
	}
	if quiet >= ask && now.Sub(time.Unix(0, s.pinged.Load())) >= ask {
		s.pinged.Store(now.UnixNano())
		s.post(outgoing{method: methodPing})
	}
}

// checkIdle closes an unused session. The side that dialled does so first, so
// that rarely a call meets the close under way.
func (s *session) checkIdle(now time.Time) {
	limit := s.link.Idle
	if !s.dialled {
		limit *= 2
	}
	last := max(s.used.Load(), s.stream.heard.Load())
	if now.Sub(time.Unix(0, last)) >= limit {
		s.close(errIdle)
	}
}

// Handle takes the peer's messages in their order; it must not block, since
// signs of life come the same way.
func (s *session) Handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) {
	<-s.ready
	var params json.RawMessage
	if r.Params != nil {
		params = *r.Params
	}
	switch r.Method {
	case methodPing:
		s.post(outgoing{method: methodPong})
	case methodPong:
	case methodPacket:
		s.takePacket(params)
	case methodCredit:
		s.takeCredit(params)
	case methodCancel:
		s.takeCancel(params)
	default:
		s.serve(r, params)
	}
}

func (s *session) takePacket(params json.RawMessage) {
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
	s.used.Store(time.Now().UnixNano())
	s.link.OnPacket(p)
}

func (s *session) takePiece(id uint64, text []byte) {
	s.mu.Lock()
	a := s.answers[id]
	s.mu.Unlock()
	if a != nil {
		a.put(string(text))
	}
}

func (s *session) takeCredit(params json.RawMessage) {
	var c credit
	if json.Unmarshal(params, &c) != nil {
		return
	}
	if v := s.servedCall(c.ID); v != nil {
		v.grant(c.Bytes)
	}
}

// servedCall is the call of that number which is served here, nil if it has ended.
func (s *session) servedCall(id uint64) *serve {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served[id]
}

func (s *session) takeCancel(params json.RawMessage) {
	var c cancel
	if json.Unmarshal(params, &c) != nil {
		return
	}
	if v := s.servedCall(c.ID); v != nil {
		v.cancel(ErrCancelled)
	}
}
