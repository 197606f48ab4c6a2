package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	oldHead  = 16384
	newHead  = 32768
	longHead = 24 << 10 // bytes of one header of a request, within the new limit
	requests = 40
	configMs = 2 * time.Second
)

// limits: a new version of the configuration raises the limit on request headers, and clients
// send what it allows.
func limits(ctx context.Context, w *world, trouble bool) (int, error) {
	w.config = turnRoutes()
	bound := w.config["limits"].(map[string]any)
	bound["max-header-bytes"] = oldHead
	head := oldHead * 3 / 4 // what the present configuration allows
	for i := range 4 {
		w.workers = append(w.workers, &worker{id: fmt.Sprintf("i-%d", i), service: []string{"model", "plain"}[i%2], zone: i, delay: 5 * time.Millisecond, slots: 64})
	}
	if err := w.start(ctx, 2, 3); err != nil {
		return 0, err
	}
	before := 0
	for i := range 20 {
		a := &attempt{path: "/safe/a", id: fmt.Sprintf("before-%d", i), header: map[string]string{"Prompt-Prefix": prefix(8 << 10)}}
		if w.send(ctx, a); a.whole() {
			before++
		}
	}
	w.note("headers of 8 KiB: %d of 20 requests are answered whole", before)
	if before < 20 {
		return 0, fmt.Errorf("requests failed without trouble")
	}
	if trouble {
		bound["max-header-bytes"] = newHead
		w.config["version"] = 7
		w.store.Put("op/config", w.config)
		w.note("version 7 is confirmed: max-header-bytes %d", newHead)
		head = longHead
	}
	time.Sleep(settleGap)
	denied, whole := 0, 0
	for i := range requests {
		a := &attempt{path: "/safe/a", id: fmt.Sprintf("long-%d", i), header: map[string]string{"Prompt-Prefix": prefix(head)}}
		w.send(ctx, a)
		switch {
		case a.whole():
			whole++
		case a.status >= 400 && a.status < 500 && a.status != http.StatusTooManyRequests && a.status != http.StatusRequestTimeout && a.status != http.StatusMisdirectedRequest:
			denied++
			w.note("%s: status %d %s", a.id, a.status, short(a.answer))
		default:
			w.note("%s: status %d, %v %s", a.id, a.status, a.err, short(a.answer))
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.note("headers of %d bytes, sent later than %v after the confirmation: %d of %d requests answered whole, %d ended with a 4xx of the system's own", head, configMs, whole, requests, denied)
	if denied > 5+requests/500 {
		return broken, nil
	}
	return held, nil
}

// prefix returns parts of a prompt, about n bytes long.
func prefix(n int) string {
	var parts []string
	for i := 0; 13*len(parts) < n; i++ {
		parts = append(parts, fmt.Sprintf("%08x:10", 0x5c1e07a2+i))
	}
	return strings.Join(parts, ",")
}
