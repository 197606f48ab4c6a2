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
	// Patience is how long an operator who applies waits for a store that
	// does not answer.
	ApplyTimeout = 30 * time.Second
	// PerChunk is added for each chunk of the text, because a daemon may make
	// about one write a second where there are many daemons.
	ApplyTimeoutPerChunk = time.Second

	tickEvery   = 100 * time.Millisecond
	callTimeout = 2 * time.Second
	readTimeout = time.Second // of the head; a poller must notice a silent connection in time
	inboxSize   = 256
)

var errNoFetch = errors.New("watch: no way to ask peers")

type (
	// Question asks a peer for its newest head, and for the chunks named.
	Query struct {
		Chunks []string `json:"chunks,omitempty"`
	}

	// Answer is a peer's newest head, zero if it has none, and those of the
	// chunks asked for that it holds and that fit into one answer.
	Answer struct {
		Head   head.Head     `json:"head"`
		Chunks []chunk.Chunk `json:"chunks,omitempty"`
	}

	// Keeper runs a Watch. Set the fields before Serve. All methods are safe
	// for concurrent use; before Serve runs, what they are told waits.
	Syncer struct {
		Self  Member
		Seeds []string // peer addresses to ask first
		Store store.Store
		// Fetch puts a question to a peer; the peer answers with its Answer.
		Fetch func(ctx context.Context, peer string, q Query) (Answer, error)
		// OnChange is told each version that comes in force, in order, from
		// one goroutine. The next one waits until it returns.
		OnChange func(f file.File)
		// Seed makes the jitter; 0 draws one.
		Seed uint64
		// OnFault is told why a head was not taken. It may be nil.
		OnLoadError func(h head.Head, err error)

		once  sync.Once
		inbox chan Message
		ready chan struct{}
		tasks sync.WaitGroup

		mu     sync.Mutex
		head   head.Head
		file   file.File
		files  map[uint64]file.File // loaded and not in force yet
		chunks map[string][]byte    // packed, of the head in force and of what is loaded or applied
	}
)

// Serve keeps the newest configuration in force until ctx ends, and returns
// the context's error.
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

// Newer tells that the peer at the address knows a version.
func (k *Syncer) Newer(version uint64, from string) {
	k.enqueue(Newer{Version: version, From: from})
}

// Members tells which daemons are alive.
func (k *Syncer) Members(list []Member) {
	k.enqueue(Members{List: list})
}

// Current returns the configuration in force; its Version is 0 if none is.
func (k *Syncer) Current() file.File {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.file
}

// Text returns the text in force as it was applied, and its version.
func (k *Syncer) Text() (text []byte, version uint64, err error) {
	h := k.Head()
	text, err = k.join(h)
	return text, h.Version, err
}

// Head returns the head in force, zero if none is.
func (k *Syncer) Head() head.Head {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.head
}

// Ready is closed once a configuration is in force.
func (k *Syncer) Ready() <-chan struct{} {
	k.init()
	return k.ready
}

// Answer answers a peer's question.
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

// Apply puts a text in force for an operator; see apply.Run for its errors. It
// tries for Patience at most, and PerChunk for each chunk.
// Peers can fetch its chunks from here before the store has accepted it: if
// the store fails right after it did, they know the head and find the text.
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
		case k.inbox <- Adopt{Head: out.Head}: // told once, so it must not be dropped
		case <-ctx.Done(): // Serve is stopped, or reads it from the store
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

// tell hands a message to Serve. A full mailbox drops it: Serve is stopped or
// far behind, and what is told here is told again with later heartbeats.
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

// force puts a loaded head in force and forgets the chunks of others.
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
