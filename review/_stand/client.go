package main

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// attempt is one client attempt, and what came of it.
type attempt struct {
	method, path string
	header       map[string]string
	body         string
	limit        time.Duration // the time budget
	onEvent      func(n int)   // called after each event; nil for nothing

	id     string
	status int // 0 for none
	head   http.Header
	text   string
	events []string // data of the events
	lastID string   // of the last event
	whole  bool     // a complete answer came
	err    error
}

var attempts atomic.Int64

// send makes the attempt at a front, with an id of its own.
func (w *world) send(c *http.Client, front string, a *attempt) *attempt {
	a.id = "q" + strconv.FormatInt(attempts.Add(1), 10) + "-" + strconv.FormatInt(w.began.UnixNano()%1e9, 36)
	ctx, stop := context.WithTimeout(context.Background(), a.limit)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, a.method, "http://"+front+a.path, strings.NewReader(a.body))
	must(err)
	r.Host = hostName
	r.Header.Set("Request-Id", a.id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(a.limit.Milliseconds(), 10))
	for name, value := range a.header {
		r.Header.Set(name, value)
	}
	w.note("client sends %s to %s: %s %s, %v", a.id, front, a.method, a.path, a.header)
	resp, err := c.Do(r)
	if err != nil {
		a.err = err
		w.note("client gets no answer to %s: %v", a.id, err)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.head = resp.StatusCode, resp.Header
	var text strings.Builder
	br := bufio.NewReader(resp.Body)
	for {
		line, err := br.ReadString('\n')
		text.WriteString(line)
		if id, found := strings.CutPrefix(line, "id: "); found {
			a.lastID = strings.TrimSpace(id)
		}
		if data, found := strings.CutPrefix(line, "data: "); found {
			a.events = append(a.events, strings.TrimSuffix(data, "\n"))
		}
		if line == "\n" && a.onEvent != nil {
			a.onEvent(len(a.events))
		}
		if err != nil {
			a.whole = errors.Is(err, io.EOF)
			a.err = err
			break
		}
	}
	a.text = text.String()
	w.note("client gets %d to %s, whole: %v, %d events, signature %q, %d bytes: %.80q", a.status, a.id, a.whole, len(a.events),
		resp.Header.Get("Server-Signature"), len(a.text), a.text)
	return a
}

// newClient returns a client that keeps channels open.
func newClient(keep bool) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: !keep, MaxIdleConnsPerHost: 64}}
}
