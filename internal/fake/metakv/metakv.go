// Package metakv is a fake of the users' metadata store: a key-value store with
// revisions, transactions and leases, served over HTTP, held in memory, with
// faults that can be switched on.
package metakv

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	pageItems = 500
	// maxLog bounds the changes that are kept.
	maxLog = 4096
	// None means no fault. So does the zero value.
	None Fault = iota
	// Busy responds to every call with status 503.
	Busy
	// Lossy executes POST requests, and closes the connection without a response
	// for one in three of them, at random.
	Lossy
	// Slow delays every call by 300 ms.
	Slow
)

type (
	// Fault is a way in which the store fails.
	Fault int

	// Store is the HTTP handler of the store. The zero value is empty and ready
	// for use.
	Store struct {
		mu        sync.Mutex
		rev       uint64
		items     map[string]Item
		leases    map[uint64]lease
		lastLease uint64
		fault     Fault
		log       []change // the newest last
		forgotten uint64   // changes up to this revision are not in the log
	}

	change struct {
		rev uint64
		key string
	}

	// Event is the JSON encoding of a change: the item as it is, or a removed key.
	Event struct {
		Item
		Gone bool `json:"tombstone,omitempty"`
	}

	// Item is the JSON encoding of a key.
	Item struct {
		Key       string `json:"key"`
		Value     []byte `json:"value"`
		Rev       uint64 `json:"revision"`
		CreateRev uint64 `json:"create-revision"`
		Lease     uint64 `json:"lease"`
		Current   uint64 `json:"current-rev,omitempty"`
	}

	lease struct {
		ttl     time.Duration
		expires time.Time
	}

	txn struct {
		Expect []struct {
			Key string `json:"key"`
			Rev uint64 `json:"revision"`
		} `json:"expect-rev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Delete []string `json:"delete"`
	}
)

// SetFault applies f to every call until the next call of SetFault.
func (d *Store) SetFault(f Fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fault = f
}

// Put writes a key with the JSON encoding of value, as an operator or an upstream
// would. It panics if value can't be encoded.
func (d *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // tests pass only values that can be encoded
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.put(key, data, 0)
}

// Remove deletes a key.
func (d *Store) Remove(key string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delete(key)
}

// delete removes a key; d.mu is held.
func (d *Store) delete(key string) {
	d.rev++
	delete(d.items, key)
	d.record(key)
}

// record notes that the present revision changed the key; d.mu is held.
func (d *Store) record(key string) {
	d.log = append(d.log, change{d.rev, key})
	if len(d.log) > maxLog {
		d.forgotten = d.log[0].rev
		d.log = d.log[1:]
	}
}

// Compact forgets all changes up to now.
func (d *Store) Compact() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.log, d.forgotten = nil, d.rev
}

// Get returns a key's value and whether the key exists.
func (d *Store) Get(key string) ([]byte, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireLeases()
	it, ok := d.items[key]
	return it.Value, ok
}

func (d *Store) put(key string, data []byte, l uint64) {
	if d.items == nil {
		d.items = map[string]Item{}
	}
	d.rev++
	made := d.rev
	if old, ok := d.items[key]; ok {
		made = old.CreateRev
	}
	d.items[key] = Item{Key: key, Value: data, Rev: d.rev, CreateRev: made, Lease: l}
	d.record(key)
}

// expireLeases deletes expired leases with their keys.
func (d *Store) expireLeases() {
	for id, l := range d.leases {
		if time.Now().After(l.expires) {
			d.endLease(id)
		}
	}
}

func (d *Store) endLease(id uint64) {
	delete(d.leases, id)
	for key, it := range d.items {
		if it.Lease == id {
			d.delete(key)
		}
	}
}

// ServeHTTP implements http.Handler.
func (d *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	fault := d.fault
	d.mu.Unlock()
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Slow:
		time.Sleep(300 * time.Millisecond)
	}
	status, answer := d.handle(r)
	if fault == Lossy && r.Method == http.MethodPost && rand.IntN(3) == 0 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer) // the client may have disconnected
}

func (d *Store) handle(r *http.Request) (status int, answer any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expireLeases()
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/-/kv-key":
		it, ok := d.items[q.Get("key")]
		if !ok {
			return http.StatusNotFound, nil
		}
		it.Current = d.rev
		return http.StatusOK, it
	case path == "/-/kv-range":
		return d.list(q.Get("path-prefix"), q.Get("after"))
	case path == "/-/kv-watch":
		return d.changes(q.Get("path-prefix"), q.Get("after"))
	case path == "/-/kv-txn":
		var t txn
		if json.NewDecoder(r.Body).Decode(&t) != nil {
			return http.StatusBadRequest, nil
		}
		return d.commit(t)
	case path == "/-/kv-lease":
		var req struct {
			TTL float64 `json:"ttl-ms"`
		}
		if json.NewDecoder(r.Body).Decode(&req) != nil {
			return http.StatusBadRequest, nil
		}
		return d.grantLease(time.Duration(req.TTL) * time.Millisecond)
	case strings.HasPrefix(path, "/-/kv-keep/"):
		return d.renewLease(leaseID(path))
	case strings.HasPrefix(path, "/-/kv-lease-end/"):
		d.endLease(leaseID(path))
		return http.StatusOK, nil
	default:
		return http.StatusNotFound, nil
	}
}

// leaseID parses the last element of the path.
func leaseID(path string) uint64 {
	n, _ := strconv.ParseUint(path[strings.LastIndexByte(path, '/')+1:], 10, 64) // 0 is not the id of any lease
	return n
}

func (d *Store) list(prefix, after string) (int, any) {
	var answer struct {
		Items     []Item `json:"items"`
		Truncated bool   `json:"truncated"`
		Current   uint64 `json:"current-rev"`
	}
	answer.Items, answer.Current = []Item{}, d.rev
	for key, it := range d.items {
		if strings.HasPrefix(key, prefix) && key > after {
			answer.Items = append(answer.Items, it)
		}
	}
	sort.Slice(answer.Items, func(i, j int) bool { return answer.Items[i].Key < answer.Items[j].Key })
	if answer.Truncated = len(answer.Items) > pageItems; answer.Truncated {
		answer.Items = answer.Items[:pageItems]
	}
	return http.StatusOK, answer
}

// changes answers a watch that does not wait. Keys that changed several times are returned once,
// as they are now.
func (d *Store) changes(prefix, after string) (int, any) {
	answer := struct {
		Events  []Event `json:"events"`
		Current uint64  `json:"current-rev"`
	}{Events: []Event{}, Current: d.rev}
	since, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		return http.StatusBadRequest, nil
	}
	if since < d.forgotten {
		return http.StatusGone, nil
	}
	latest := map[string]uint64{}
	for _, c := range d.log {
		latest[c.key] = c.rev
	}
	for _, c := range d.log {
		if c.rev <= since || latest[c.key] != c.rev || !strings.HasPrefix(c.key, prefix) {
			continue
		}
		it, exists := d.items[c.key]
		if !exists {
			it = Item{Key: c.key, Rev: c.rev}
		}
		answer.Events = append(answer.Events, Event{Item: it, Gone: !exists})
	}
	return http.StatusOK, answer
}

func (d *Store) commit(t txn) (int, any) {
	var conflicts struct {
		Items []Item `json:"items"`
	}
	for _, e := range t.Expect {
		if it := d.items[e.Key]; it.Rev != e.Rev {
			it.Key = e.Key
			conflicts.Items = append(conflicts.Items, it)
		}
	}
	if len(conflicts.Items) > 0 {
		return http.StatusPreconditionFailed, conflicts
	}
	for _, p := range t.Puts {
		if _, ok := d.leases[p.Lease]; !ok && p.Lease != 0 {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range t.Puts {
		d.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Delete {
		d.delete(key)
	}
	return http.StatusOK, map[string]uint64{"revision": d.rev}
}

func (d *Store) grantLease(ttl time.Duration) (int, any) {
	if d.leases == nil {
		d.leases = map[uint64]lease{}
	}
	d.lastLease++
	d.leases[d.lastLease] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": d.lastLease, "ttl-ms": ttl.Milliseconds()}
}

func (d *Store) renewLease(id uint64) (int, any) {
	l, ok := d.leases[id]
	if !ok {
		return http.StatusNotFound, nil
	}
	l.expires = time.Now().Add(l.ttl)
	d.leases[id] = l
	return http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()}
}
