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
	// Query asks a peer for its newest head and for the listed chunks.
	Query struct {
		Chunks []string `json:"chunks,omitempty"`
	}

	// Answer is a peer's newest head, zero if it has none, and those of the requested chunks
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
		chunks map[string][]byte    // compressed; of the active head and of texts being loaded or applied
	}
)

// Serve keeps the newest configuration active until ctx ends, and returns the context's error.
func (k *Syncer) Serve(ctx context.Context) error {
	k.init()
	defer k.tasks.Wait()
	var w Watch
	k.do(ctx, w.Step(time.Now(), Start{Self: k.Self, Seeds: k.Seeds, Seed: cmp.Or(k.Seed, rand.Uint64())}))
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		var m Message
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			m = Tick{}
		case m = <-k.inbox:
		}
		k.do(ctx, w.Step(time.Now(), m))
	}
}

// Newer reports that the peer at the address from knows a version.
func (k *Syncer) Newer(version uint64, from string) {
	k.enqueue(Newer{Version: version, From: from})
}

// Members sets the live daemons.
func (k *Syncer) Members(list []Member) {
	k.enqueue(Members{List: list})
}

// Current returns the active configuration; its Version is 0 if there is none.
func (k *Syncer) Current() file.File {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.file
}

// Text returns the active text as it was applied, and its version.
func (k *Syncer) Text() (text []byte, version uint64, err error) {
	h := k.Head()
	text, err = k.join(h)
	return text, h.Version, err
}

// Head returns the active head, zero if there is none.
func (k *Syncer) Head() head.Head {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.head
}

// Ready returns a channel that is closed once a configuration is active.
func (k *Syncer) Ready() <-chan struct{} {
	k.init()
	return k.ready
}

// Answer returns the answer to a peer's query.
func (k *Syncer) Answer(q Query) Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := Answer{Head: k.head}
	size := 0
	for _, d := range q.Chunks {
		packed, ok := k.chunks[d]
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
func (k *Syncer) Apply(ctx context.Context, r apply.Request) (apply.Outcome, error) {
	k.init()
	r.Source, r.Floor = k.Self.Peer, k.Head().Version
	p, err := apply.Prepare(r)
	if err != nil {
		return apply.Outcome{}, err
	}
	k.cacheChunks(p.Chunks())
	ctx, cancel := context.WithTimeout(ctx, ApplyTimeout+time.Duration(len(p.Chunks()))*ApplyTimeoutPerChunk)
	defer cancel()
	out, err := p.Run(ctx, k.Store)
	if err != nil {
		return out, err
	}
	if !out.Unchanged && out.Head.Digest == chunk.Digest(r.Text) {
		k.cacheFile(out.Head, out.File)
		select {
		case k.inbox <- Adopt{Head: out.Head}: // sent only once, so it must not be dropped
		case <-ctx.Done(): // Serve has stopped, or will read the head from the store
		}
	}
	return out, nil
}

func (k *Syncer) init() {
	k.once.Do(func() {
		k.inbox = make(chan Message, inboxSize)
		k.ready = make(chan struct{})
	})
}

// enqueue passes a message to Serve. A full inbox drops it: Serve has stopped or is far behind,
// and later heartbeats repeat the message.
func (k *Syncer) enqueue(m Message) {
	k.init()
	select {
	case k.inbox <- m:
	default:
	}
}

func (k *Syncer) do(ctx context.Context, effects []Effect) {
	for _, e := range effects {
		if f, ok := e.(Activate); ok {
			k.activate(f.Head)
			continue
		}
		k.tasks.Go(func() {
			m := k.carryOut(ctx, e)
			select {
			case k.inbox <- m:
			case <-ctx.Done():
			}
		})
	}
}

func (k *Syncer) carryOut(ctx context.Context, e Effect) Message {
	switch e := e.(type) {
	case ReadHead:
		return k.read(ctx)
	case AwaitHead:
		return k.awaitHead(ctx, e)
	case QueryPeer:
		return k.queryPeer(ctx, e.Peer)
	case Load:
		return k.load(ctx, e)
	}
	return Tick{}
}

func (k *Syncer) read(ctx context.Context) Message {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return storeMessage(k.Store.Get(ctx, head.Key))
}

func (k *Syncer) awaitHead(ctx context.Context, e AwaitHead) Message {
	ctx, cancel := context.WithTimeout(ctx, e.For)
	defer cancel()
	entry, err := k.Store.Watch(ctx, head.Key, e.Rev)
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

func (k *Syncer) queryPeer(ctx context.Context, peer string) Message {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := k.fetch(ctx, peer, Query{})
	if err != nil {
		return PeerFailed{Peer: peer}
	}
	return PeerHead{Peer: peer, Head: a.Head}
}

func (k *Syncer) fetch(ctx context.Context, peer string, q Query) (Answer, error) {
	if k.Fetch == nil {
		return Answer{}, errNoFetch
	}
	return k.Fetch(ctx, peer, q)
}

// activate makes a loaded head the active one and drops the files of older versions.
func (k *Syncer) activate(h head.Head) {
	k.mu.Lock()
	k.head, k.file = h, k.files[h.Version]
	for v := range k.files {
		if v <= h.Version {
			delete(k.files, v)
		}
	}
	f := k.file
	k.mu.Unlock()
	if k.OnChange != nil {
		k.OnChange(f)
	}
	select {
	case <-k.ready:
	default:
		close(k.ready)
	}
}
