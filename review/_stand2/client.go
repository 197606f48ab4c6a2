package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// attempt is one attempt of a client, with the answer.
type attempt struct {
	method, path, id, program, session, previous string
	budget, tokens                               int // tokens: 0 for those of a short turn
	body                                         []byte
	header                                       map[string]string
	deadline                                     time.Duration

	status int
	answer string
	err    error
}

// whole reports whether the client got a whole success.
func (a *attempt) whole() bool { return a.status == http.StatusOK && a.err == nil }

// send makes one attempt at a front that the directory names, on a new channel.
func (w *world) send(ctx context.Context, a *attempt) {
	addresses := w.resolve(rand.IntN(len(w.fronts)))
	if len(addresses) == 0 {
		a.err = fmt.Errorf("no directory answers")
		return
	}
	w.sendTo(ctx, a, addresses[rand.IntN(len(addresses))])
}

func (w *world) sendTo(ctx context.Context, a *attempt, address string) {
	if a.deadline == 0 {
		a.deadline = 5 * time.Second
	}
	ctx, stop := context.WithTimeout(ctx, a.deadline)
	defer stop()
	method := a.method
	if method == "" {
		method = http.MethodPost
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+a.path, bytes.NewReader(a.body))
	if err != nil {
		a.err = err
		return
	}
	r.GetBody = nil
	r.Host = host
	set := func(name, value string) {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	set("Request-Id", a.id)
	set("Deadline-Ms", fmt.Sprint(a.deadline.Milliseconds()))
	set("Program-Id", a.program)
	set("Session-Id", a.session)
	set("Previous-Turn", a.previous)
	if a.budget > 0 {
		set("Finish-Ms", "120000")
		set("Token-Budget", fmt.Sprint(a.budget))
		set("Token-Usage", fmt.Sprintf("200,%d", cmp.Or(a.tokens, eventsOfTurn*tokensPerEvent)))
	}
	for name, value := range a.header {
		set(name, value)
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := c.Do(r)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = resp.Body.Close() }()
	a.status = resp.StatusCode
	text, err := io.ReadAll(resp.Body)
	a.answer, a.err = string(text), err
}

// short returns the beginning of an answer for the record.
func short(text string) string {
	text = strings.ReplaceAll(text, "\n", " ")
	return text[:min(len(text), 200)]
}

// turn makes attempts at a turn until one is answered whole, at most tries, and returns its id;
// empty if none was. Each attempt has an id of its own.
func (w *world) turn(ctx context.Context, path, name, program, previous string, body []byte, tries int, pause time.Duration) (id string, last *attempt) {
	for n := range tries {
		a := &attempt{path: path, id: fmt.Sprintf("%s-%d", name, n), program: program, session: program + "-s", previous: previous, budget: 4000, body: body}
		w.send(ctx, a)
		if a.whole() {
			return a.id, a
		}
		last = a
		w.note("%s continues %s: status %d, %v %s, ran %d times", a.id, previous, a.status, a.err, short(a.answer), len(w.ran(a.id)))
		if n+1 < tries {
			time.Sleep(pause)
		}
	}
	return "", last
}

func turnRoutes() map[string]any {
	route := func(path, kind, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": path, "host": host, "path-prefix": "/" + path + "/", "kind": kind, "service": service,
			"timeout-ms": 5000, "target-latency-ms": 250, "max-attempts": 1, "priority": 1,
		}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	return map[string]any{
		"version": 3,
		"routes": []any{
			route("turn", "streaming", "model", map[string]any{"retain": true, "retention-s": 60.0, "session-affinity": true, "gap-aim-ms": 400}),
			route("unsafe", "unsafe", "plain", nil),
			route("safe", "safe", "plain", nil),
		},
		"services": []any{
			map[string]any{"name": "model", "health-path": "/health", "max-conns": 370, "protocol": "h1", "tls": false, "runtime": map[string]any{"max-batch": 64, "kv-capacity": 244287, "tokens-per-event": tokensPerEvent, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "plain", "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
