package upstrm

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

const (
	endlessBlock = 64 << 10
	// mostEndless bounds what one response without end sends, in bytes, so that it ends in any case.
	mostEndless = 4 << 30
	okHead      = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s\r\n"
	chunkedHead = okHead + "Transfer-Encoding: chunked\r\nContent-Type: %s\r\n\r\n"
)

// endless sends bytes without end in place of a response, in a way that the query names, until the connection is closed. It
// returns false if the query names none.
func endless(w http.ResponseWriter, r *http.Request, id string) bool {
	first, again := "", ""
	switch chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }; r.URL.Query().Get("endless") {
	case "status":
		first, again = "HTTP/1.1 200 ", "x"
	case "header":
		first, again = fmt.Sprintf(okHead+"A: ", id), "x"
	case "headers":
		first, again = fmt.Sprintf(okHead, id), "A: b\r\n"
	case "noise":
		again = "\x16\x03\x01"
	case "informational":
		again = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
	case "chunks":
		first, again = fmt.Sprintf(chunkedHead, id, "text/plain"), chunk("xxxxxxxxxxxxxxxx")
	case "length":
		first, again = fmt.Sprintf(okHead+"Content-Length: %d\r\n\r\n", id, int64(1)<<40), "x"
	case "close":
		first, again = fmt.Sprintf(okHead+"Connection: close\r\n\r\n", id), "x"
	case "event":
		first, again = fmt.Sprintf(chunkedHead, id, "text/event-stream")+chunk("id: 1\ndata: "), chunk("xxxxxxxxxxxxxxxx")
	case "events":
		first, again = fmt.Sprintf(chunkedHead, id, "text/event-stream"), chunk("id: 1\ndata: xxxxxxxxxxxxxxxx\n\n")
	default:
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, first)
	block := bytes.Repeat([]byte(again), endlessBlock/len(again))
	for sent := 0; err == nil && sent < mostEndless; sent += len(block) {
		_, err = conn.Write(block)
	}
	return true
}
