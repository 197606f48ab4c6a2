package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

type (
	// worker is a stand-in of one worker: an HTTP/1.1 server that takes one request at a time on
	// a channel, runs slots of them at a time and queues a few more.
	worker struct {
		w       *world
		id      string
		service string
		slots   int
		queue   int
		work    time.Duration // of a plain request, and before each event of a stream
		events  int           // of a stream; 0 for a plain service
		version string        // of its software; empty is v1
		told    bool          // each event tells the version that wrote it
		faults  faults

		mu      sync.Mutex
		address string
		born    int64
		ln      net.Listener
		conns   map[net.Conn]bool
		free    chan struct{}
		here    int // requests that run or wait
		answers int // so far
		runs    []execution
	}

	// faults are called while the worker serves; nil for none.
	faults struct {
		// shed is called after the worker has refused a request, with the bytes of its answer. It
		// returns the bytes that come before the answer to the next request on the channel.
		shed func(id string, answer []byte) []byte
	}

	// execution is one run.
	execution struct {
		id, worker, last string
		body             []byte
		at               time.Duration
	}

	incoming struct {
		r    *http.Request
		body []byte
	}
)

func (k *worker) start() *worker {
	k.free = make(chan struct{}, k.slots)
	k.address = k.w.ip() + ":0"
	k.listen()
	go k.register()
	return k
}

// listen begins a lifetime of the worker.
func (k *worker) listen() {
	ln, err := net.Listen("tcp", k.address)
	must(err)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ln, k.address, k.born, k.conns = ln, ln.Addr().String(), time.Now().UnixMilli(), map[net.Conn]bool{}
	if k.version == "" {
		k.version = "v1"
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			k.mu.Lock()
			k.conns[c] = true
			k.mu.Unlock()
			go k.serve(c)
		}
	}()
}

// crash ends the worker with all its channels. It sends nothing.
func (k *worker) crash() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.w.note("%s crashes, with %d requests under way", k.id, k.here)
	_ = k.ln.Close()
	for c := range k.conns {
		_ = c.Close()
	}
	k.born = 0
}

// again starts the worker again under its id, with a software version.
func (k *worker) again(version string) {
	k.mu.Lock()
	k.version = version
	k.mu.Unlock()
	k.listen()
	k.w.note("%s has started again under its id, its software version is %s", k.id, version)
}

// register writes the worker's entry about every heartbeat, while it runs and reaches the store.
func (k *worker) register() {
	for seq := 1; ; seq++ {
		k.mu.Lock()
		entry := map[string]any{
			"service": k.service, "address": k.address, "zone": "z0", "version": k.version, "max-batch": k.slots,
			"state": "ready", "cold-remaining-ms": 0, "seq": seq, "born": k.born,
		}
		k.mu.Unlock()
		if entry["born"] != int64(0) && !k.w.storeDown.Load() {
			k.w.store.Put("servers/"+k.id, entry)
		}
		select {
		case <-k.w.ended:
			return
		case <-time.After(beat):
		}
	}
}

// serve serves one channel. A request that runs is dropped when its channel closes.
func (k *worker) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.conns, c)
	}()
	ctx, closed := context.WithCancel(context.Background())
	defer closed()
	requests := make(chan incoming)
	go func() {
		defer closed()
		defer close(requests)
		br := bufio.NewReader(c)
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			select {
			case requests <- incoming{r, body}:
			case <-ctx.Done():
				return
			}
		}
	}()
	var late []byte
	for in := range requests {
		if late = k.handle(ctx, c, in, late); ctx.Err() != nil {
			return
		}
	}
}

// handle answers one request. It writes late before, and returns what comes before the next answer.
func (k *worker) handle(ctx context.Context, c net.Conn, in incoming, late []byte) (next []byte) {
	id := in.r.Header.Get("Request-Id")
	h := http.Header{"Keep-Alive": {"timeout=5"}}
	if in.r.URL.Path == "/health" {
		h.Set("Instance-Id", k.id)
		_ = write(c, http.StatusOK, h, nil)
		return late
	}
	h.Set("Request-Id", id)
	switch {
	case id == "":
		h.Set("Not-Executed", "1")
		_ = write(c, http.StatusBadRequest, h, nil)
		return late
	case in.r.Header.Get("Expect-Instance") != k.id:
		h.Set("Instance-Id", k.id)
		_ = write(c, http.StatusMisdirectedRequest, h, nil)
		return late
	case !k.enter():
		h.Set("Not-Executed", "1")
		answer := response(http.StatusServiceUnavailable, h, nil)
		k.w.note("%s refuses %s: it is full, 503 with Not-Executed", k.id, id)
		_, _ = c.Write(answer)
		k.count()
		if len(late) == 0 && k.faults.shed != nil {
			late = k.faults.shed(id, answer)
		}
		return late
	}
	defer k.leave()
	select {
	case k.free <- struct{}{}:
	case <-ctx.Done():
		return nil
	}
	defer func() { <-k.free }()
	if len(late) > 0 {
		k.w.note("%s sends the late extra answer where the answer to %s is due", k.id, id)
		_, _ = c.Write(late)
	}
	k.mu.Lock()
	k.runs = append(k.runs, execution{id, k.id, in.r.Header.Get("Last-Event-Id"), in.body, time.Since(k.w.began)})
	k.mu.Unlock()
	k.w.note("%s runs %s: %s %s, %d bytes, Last-Event-Id %q", k.id, id, in.r.Method, in.r.RequestURI, len(in.body), in.r.Header.Get("Last-Event-Id"))
	h.Set("Server-Signature", "s."+k.id+"."+id)
	if k.events > 0 {
		k.stream(ctx, c, in, h)
		return nil
	}
	if !sleep(ctx, k.work) {
		return nil
	}
	_ = write(c, http.StatusOK, h, []byte("answer to "+id))
	k.count()
	return nil
}

// stream sends the events after Last-Event-Id, in chunks.
func (k *worker) stream(ctx context.Context, c net.Conn, in incoming, h http.Header) {
	h.Set("Content-Type", "text/event-stream")
	h.Set("Transfer-Encoding", "chunked")
	if _, err := c.Write(head(http.StatusOK, h)); err != nil {
		return
	}
	first, _ := strconv.Atoi(in.r.Header.Get("Last-Event-Id")) // 0 is the start
	prefix := ""
	if k.told {
		k.mu.Lock()
		prefix = k.version + "/"
		k.mu.Unlock()
	}
	for i := first + 1; i <= k.events; i++ {
		if !sleep(ctx, k.work) {
			return
		}
		text := "id: " + strconv.Itoa(i) + "\ndata: " + prefix + eventData(in.r.Header.Get("Session-Id"), i) + "\n\n"
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return
		}
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	k.count()
}

// eventData is the text of an event: the same at each worker, and in each run.
func eventData(session string, i int) string { return fmt.Sprintf("%s.%d", session, i) }

// outputOf is the output of a whole turn, as it stands in the chain.
func outputOf(session string, events int) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		b.WriteString(eventData(session, i) + "\n")
	}
	return b.String()
}

func (k *worker) enter() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.here >= k.slots+k.queue {
		return false
	}
	k.here++
	return true
}

func (k *worker) leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.here--
}

func (k *worker) count() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.answers++
}

// executions returns the runs so far.
func (k *worker) executions() []execution {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]execution(nil), k.runs...)
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func head(status int, h http.Header) []byte {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = h.Write(&b) // a buffer takes all
	b.WriteString("\r\n")
	return b.Bytes()
}

func response(status int, h http.Header, body []byte) []byte {
	h.Set("Content-Length", strconv.Itoa(len(body)))
	return append(head(status, h), body...)
}

func write(c net.Conn, status int, h http.Header, body []byte) error {
	_, err := c.Write(response(status, h, body))
	return err
}
