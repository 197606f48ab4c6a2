package watch

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/slaterock/slaterock/internal/conf/apply"
	"github.com/slaterock/slaterock/internal/conf/chunk"
	"github.com/slaterock/slaterock/internal/conf/file"
	"github.com/slaterock/slaterock/internal/conf/head"
	"github.com/slaterock/slaterock/internal/plat/store"
)

const (
	// ApplyTimeout is how long Apply retries against a store that does not answer.
	ApplyTimeout = 30 * time.Second
	// ApplyTimeoutPerChunk is added for each chunk of the text, because a daemon may make only
	// about one write per second in a large cluster.
	ApplyTimeoutPerChunk = time.Second

	tickEvery   = 100 * time.Millisecond
	callTimeout = 2 * time.Second
	readTimeout = time.Second // of the head; bounds the time in which a poller detects a dead connection
	inboxSize   = 256
)

var errNoFetch = errors.New("watch: no Fetch function to query peers")

type (
	// Query asks a peer for its active head and for the listed chunks.
	Query struct {
		Chunks []string `json:"chunks,omitempty"`
	}

	// Answer holds a peer's active head, zero if it has none, and those of the requested chunks
	// that it has and that fit into one answer.
	Answer struct {
		Head   head.Head     `json:"head"`
		Chunks []chunk.Chunk `json:"chunks,omitempty"`
	}

	// Syncer runs a Watch. Set the fields before Serve. All methods are safe for concurrent
	// use; messages sent before Serve runs are queued.
	Syncer struct {
		Self  Member
		Seeds []string // peer addresses to query first
		Store store.Store
		// Fetch sends a query to a peer, which responds with its method Answer.
		Fetch func(ctx context.Context, peer string, q Query) (Answer, error)
		// OnChange is called with each version that becomes active, in order, from one
		// goroutine. The next version waits until it returns.
		OnChange func(f file.File)
		// Seed seeds the jitter; 0 means a random seed.
		Seed uint64
		// OnLoadError is called with the reason why a head's text could not be loaded. It may
		// be nil.
		OnLoadError func(h head.Head, err error)

		once  sync.Once
		inbox chan Message
		ready chan struct{}
		tasks sync.WaitGroup

		mu     sync.Mutex
		head   head.Head
		file   file.File
		files  map[uint64]file.File // loaded, not active yet
		chunks map[string][]byte    // compressed chunks; unused ones are dropped above maxCachedBytes
	}
)

// Serve keeps the newest configuration active until ctx ends, and returns the context's error.
func (s *Syncer) Serve(ctx context.Context) error {
	s.init()
	defer s.tasks.Wait()
	var w Watch
	s.do(ctx, w.Step(time.Now(), Start{Self: s.Self, Seeds: s.Seeds, Seed: cmp.Or(s.Seed, rand.Uint64())}))
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		var m Message
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			m = Tick{}
		case m = <-s.inbox:
		}
		s.do(ctx, w.Step(time.Now(), m))
	}
}

// Newer reports that the peer at the address from knows a version.
func (s *Syncer) Newer(version uint64, from string) {
	s.enqueue(Newer{Version: version, From: from})
}

// Members sets the live daemons.
func (s *Syncer) Members(list []Member) {
	s.enqueue(Members{List: list})
}

// Current returns the active configuration; its Version is 0 if there is none.
func (s *Syncer) Current() file.File {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.file
}

// Text returns the active text as it was applied, and its version.
func (s *Syncer) Text() (text []byte, version uint64, err error) {
	h := s.Head()
	text, err = s.join(h)
	return text, h.Version, err
}

// Head returns the active head, zero if there is none.
func (s *Syncer) Head() head.Head {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.head
}

// Ready returns a channel that is closed once a configuration is active.
func (s *Syncer) Ready() <-chan struct{} {
	s.init()
	return s.ready
}

// Answer returns the answer to a peer's query.
func (s *Syncer) Answer(q Query) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := Answer{Head: s.head}
	size := 0
	for _, d := range q.Chunks {
		packed, ok := s.chunks[d]
		if !ok {
			continue
		}
		size += len(packed)
		if size > maxAnswerBytes && len(a.Chunks) > 0 {
			break
		}
		a.Chunks = append(a.Chunks, chunk.Chunk{Digest: d, Packed: packed})
	}
	return a
}

// Apply applies a text for an operator; see apply.Run for its errors. It retries for up to
// ApplyTimeout plus ApplyTimeoutPerChunk for each chunk. Peers can fetch the chunks from this
// daemon before the store has accepted the head: if the store fails right afterwards, peers
// that know the head can still load the text.
func (s *Syncer) Apply(ctx context.Context, r apply.Request) (apply.Outcome, error) {
	s.init()
	r.Source, r.Floor = s.Self.Peer, s.Head().Version
	p, err := apply.Prepare(r)
	if err != nil {
		return apply.Outcome{}, err
	}
	s.cacheChunks(p.Chunks())
	ctx, cancel := context.WithTimeout(ctx, ApplyTimeout+time.Duration(len(p.Chunks()))*ApplyTimeoutPerChunk)
	defer cancel()
	out, err := p.Run(ctx, s.Store)
	if err != nil {
		return out, err
	}
	if !out.Unchanged && out.Head.Digest == chunk.Digest(r.Text) {
		s.cacheFile(out.Head, out.File)
		select {
		case s.inbox <- Adopt{Head: out.Head}: // sent only once, so it must not be dropped
		case <-ctx.Done(): // Serve has stopped, or will read the head from the store
		}
	}
	return out, nil
}

func (s *Syncer) init() {
	s.once.Do(func() {
		s.inbox = make(chan Message, inboxSize)
		s.ready = make(chan struct{})
	})
}

// enqueue passes a message to Serve. A full inbox drops it: Serve has stopped or is far behind,
// and later heartbeats repeat the message.
func (s *Syncer) enqueue(m Message) {
	s.init()
	select {
	case s.inbox <- m:
	default:
	}
}

func (s *Syncer) do(ctx context.Context, effects []Effect) {
	for _, e := range effects {
		if f, ok := e.(Activate); ok {
			s.activate(f.Head)
			continue
		}
		s.tasks.Go(func() {
			m := s.carryOut(ctx, e)
			select {
			case s.inbox <- m:
			case <-ctx.Done():
			}
		})
	}
}

func (s *Syncer) carryOut(ctx context.Context, e Effect) Message {
	switch e := e.(type) {
	case ReadHead:
		return s.read(ctx)
	case AwaitHead:
		return s.awaitHead(ctx, e)
	case QueryPeer:
		return s.queryPeer(ctx, e.Peer)
	case Load:
		return s.load(ctx, e)
	}
	return Tick{}
}

func (s *Syncer) read(ctx context.Context) Message {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return storeMessage(s.Store.Get(ctx, head.Key))
}

func (s *Syncer) awaitHead(ctx context.Context, e AwaitHead) Message {
	ctx, cancel := context.WithTimeout(ctx, e.For)
	defer cancel()
	entry, err := s.Store.Watch(ctx, head.Key, e.Rev)
	if err != nil && ctx.Err() != nil {
		return NoChange{}
	}
	return storeMessage(entry, err)
}

func storeMessage(entry store.Entry, err error) Message {
	if errors.Is(err, store.ErrNotFound) {
		return StoreHead{}
	}
	if err != nil {
		return StoreFailed{}
	}
	h, err := head.Decode(entry.Data)
	if err != nil {
		return StoreFailed{}
	}
	return StoreHead{Head: h, Rev: entry.Rev}
}

func (s *Syncer) queryPeer(ctx context.Context, peer string) Message {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := s.fetch(ctx, peer, Query{})
	if err != nil {
		return PeerFailed{Peer: peer}
	}
	return PeerHead{Peer: peer, Head: a.Head}
}

func (s *Syncer) fetch(ctx context.Context, peer string, q Query) (Answer, error) {
	if s.Fetch == nil {
		return Answer{}, errNoFetch
	}
	return s.Fetch(ctx, peer, q)
}

// activate makes a loaded head the active one and drops the files of older versions.
func (s *Syncer) activate(h head.Head) {
	s.mu.Lock()
	s.head, s.file = h, s.files[h.Version]
	for v := range s.files {
		if v <= h.Version {
			delete(s.files, v)
		}
	}
	f := s.file
	s.mu.Unlock()
	if s.OnChange != nil {
		s.OnChange(f)
	}
	select {
	case <-s.ready:
	default:
		close(s.ready)
	}
}
