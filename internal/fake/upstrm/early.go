package upstrm

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
)

// longUpload is the length from which the body of a request is long, in bytes.
const longUpload = 1 << 20

// cutsUpload reports whether the request is answered before it is read, see CutEvery.
func (u *Upstream) cutsUpload(r *http.Request) bool {
	return r.ContentLength >= longUpload && r.Header.Get("Expect-Instance") == u.ID && isNth(u.uploads.Add(1), &u.CutEvery)
}

// cutUpload sends the beginning of a response that would end with its connection, and resets that.
func (u *Upstream) cutUpload(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	u.RunLog.addRun(id)
	u.RunLog.addCut(id)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	part := "answer to"
	if r.URL.Query().Has("events") {
		first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 is the start
		part = eventText(r, id, u.Version.Load(), first+1)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s.%s.%s\r\n\r\n", id, u.ID, id)
	_, _ = io.WriteString(conn, part)
	if c, ok := conn.(*repeatConn); ok {
		conn = c.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // makes Close send a reset
	}
}
