// Package crowd plays many clients at a time that misbehave: their requests are legal, or nearly, but made
// to have the server hold as much as possible for as long as possible. They send heads of very many lines,
// large bodies whole or piece by piece, stop just short of the end and stay, send requests ahead, or read no
// response. Loads go to addresses of this machine only.
package crowd

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	dialTimeout = 5 * time.Second
	// writeSize is how much of a body one write takes, in bytes.
	writeSize = 64 << 10
	// pieceBytes is the least that one write takes of a body in small chunks, in bytes.
	pieceBytes = 8 << 10
	// receiveBuffer is that of clients that read no response, in bytes.
	receiveBuffer = 4 << 10
	idFormat      = "crowd-%d-%d" // of a client and its requests
	lineLetters   = "abcdefghijklmnopqrstuvwxyz"
)

type (
	// Crowd is the clients, each with one connection. Set the exported fields, then call Play once.
	Crowd struct {
		Address string // IP address and port, of this machine
		Clients int
		First   int // number of the first client
		Request
		Before int  // requests that each client sends whole, one after the response to another, before the last one
		Ahead  int  // requests that each client sends whole at once before the last one
		Silent bool // clients send nothing at all
		NoRead bool // clients read no response

		mu       sync.Mutex
		requests []Result
		closed   int
	}

	// Request is what a client sends.
	Request struct {
		Method     string // POST if empty
		Path       string // {id} in it stands for the request's id, {client} for the client, {before} for the id of its request before
		Host       string
		Header     []string // lines, without their ends; {id} and the others as in Path. One with {before} is left out at first
		HeadBytes  int      // the head is filled up with lines to this length; 0 for no more lines
		LineBytes  int      // length of such a line with its end, 5 at least
		DistinctIn int      // letters of the names of such lines, which are distinct if there are enough letters; 0 for 1
		NoEnd      bool     // the last head has no end
		BodyBytes  int
		ChunkBytes int // length of the chunks that the body is sent in; 0 if it is sent with its length
		// ChunkExtension is the length of the extension of each chunk, and TrailerBytes that of the trailers after them.
		ChunkExtension int
		TrailerBytes   int
		Missing        int // bytes of the last body that are not sent; its last chunk is not either
	}

	// Result is one request that got a response.
	Result struct {
		ID     string
		Status int
	}
)

// Play has all clients connect and send at once, and stay until ctx ends.
func (c *Crowd) Play(ctx context.Context) {
	var work sync.WaitGroup
	for i := range c.Clients {
		work.Go(func() { _ = c.client(ctx, c.First+i) }) // closed by the server at any moment: that is allowed
	}
	work.Wait()
}

// Results returns the requests that got a response so far.
func (c *Crowd) Results() []Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Result(nil), c.requests...)
}

// Summary returns how many responses there were so far, by status, and how many connections the server has closed.
func (c *Crowd) Summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := map[int]int{}
	for _, r := range c.requests {
		n[r.Status]++
	}
	return fmt.Sprintf("responses %v, closed %d of %d", n, c.closed, c.Clients)
}

func (c *Crowd) client(ctx context.Context, i int) (err error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", c.Address)
	if err != nil {
		c.noteClosed()
		return err
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	if c.NoRead {
		_ = conn.(*net.TCPConn).SetReadBuffer(receiveBuffer)
	}
	answered := make(chan struct{}, c.Before+c.Ahead+1)
	gone := make(chan struct{})
	if !c.NoRead {
		go c.read(ctx, conn, i, answered, gone)
	}
	if err = c.sendAll(ctx, conn, i, answered); errors.Is(err, io.EOF) {
		return err
	}
	select {
	case <-gone:
	case <-ctx.Done():
	}
	return err
}

// sendAll sends the client's requests; it returns io.EOF if the server closed the connection while a response was due.
func (c *Crowd) sendAll(ctx context.Context, conn net.Conn, i int, answered <-chan struct{}) error {
	if c.Silent {
		return nil
	}
	for n := range c.Before {
		if err := c.Request.whole().send(conn, idOf(i, n)); err != nil {
			return err
		}
		select {
		case _, ok := <-answered:
			if !ok {
				return io.EOF
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	for n := range c.Ahead {
		if err := c.Request.whole().send(conn, idOf(i, c.Before+n)); err != nil {
			return err
		}
	}
	return c.send(conn, idOf(i, c.Before+c.Ahead))
}

// read notes the responses until the server closes the connection.
func (c *Crowd) read(ctx context.Context, conn net.Conn, i int, answered chan<- struct{}, gone chan<- struct{}) {
	defer close(gone)
	defer close(answered)
	r := bufio.NewReader(conn)
	for n := 0; ; n++ {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			break
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			break
		}
		c.mu.Lock()
		c.requests = append(c.requests, Result{ID: idOf(i, n), Status: resp.StatusCode})
		c.mu.Unlock()
		if n < cap(answered) {
			answered <- struct{}{}
		}
	}
	if ctx.Err() == nil {
		c.noteClosed()
	}
}

func (c *Crowd) noteClosed() {
	c.mu.Lock()
	c.closed++
	c.mu.Unlock()
}

// idOf returns the id of a client's request.
func idOf(client, n int) string { return fmt.Sprintf(idFormat, client, n) }

// relatives returns the number of the request's client and the id of its request before, empty for the first one.
func relatives(id string) (client, before string) {
	var c, n int
	if _, err := fmt.Sscanf(id, idFormat, &c, &n); err != nil || n == 0 {
		return fmt.Sprint(c), ""
	}
	return fmt.Sprint(c), idOf(c, n-1)
}

// whole returns the request with all that the last one lacks.
func (r Request) whole() Request {
	r.NoEnd, r.Missing = false, 0
	return r
}

func (r Request) send(w io.Writer, id string) error {
	if _, err := w.Write(r.head(id)); err != nil || r.NoEnd || r.BodyBytes == 0 {
		return err
	}
	if r.ChunkBytes == 0 {
		return repeat(w, bytes.Repeat([]byte("b"), writeSize), r.BodyBytes-r.Missing)
	}
	chunk := fmt.Appendf(nil, "%x%s\r\n%s\r\n", r.ChunkBytes, r.extension(), strings.Repeat("b", r.ChunkBytes))
	piece := bytes.Repeat(chunk, max(pieceBytes/len(chunk), 1))
	if err := repeat(w, piece, r.BodyBytes/r.ChunkBytes*len(chunk)-r.Missing); err != nil || r.Missing > 0 {
		return err
	}
	if _, err := io.WriteString(w, "0\r\n"); err != nil {
		return err
	}
	const trailer = "Trailing: value\r\n"
	if err := repeat(w, []byte(trailer), r.TrailerBytes/len(trailer)*len(trailer)); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}

// extension returns the extension of a chunk.
func (r Request) extension() string {
	if r.ChunkExtension == 0 {
		return ""
	}
	return ";x=" + strings.Repeat("e", r.ChunkExtension)
}

// repeat writes n bytes, of the piece again and again.
func repeat(w io.Writer, piece []byte, n int) error {
	for n > 0 {
		m, err := w.Write(piece[:min(n, len(piece))])
		if err != nil {
			return err
		}
		n -= m
	}
	return nil
}

func (r Request) head(id string) []byte {
	method := r.Method
	if method == "" {
		method = http.MethodPost
	}
	client, before := relatives(id)
	names := strings.NewReplacer("{id}", id, "{client}", client, "{before}", before)
	b := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n", method, names.Replace(r.Path), r.Host, id)
	for _, line := range r.Header {
		if before != "" || !strings.Contains(line, "{before}") {
			b = append(append(b, names.Replace(line)...), "\r\n"...)
		}
	}
	switch {
	case r.BodyBytes > 0 && r.ChunkBytes > 0:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	case r.BodyBytes > 0:
		b = fmt.Appendf(b, "Content-Length: %d\r\n", r.BodyBytes)
	}
	const end = "\r\n"
	for n := 0; len(b)+r.LineBytes+len(end) <= r.HeadBytes; n++ {
		b = r.appendLine(b, n)
	}
	if r.NoEnd {
		return b
	}
	return append(b, end...)
}

// appendLine appends line n of those that fill the head up.
func (r Request) appendLine(b []byte, n int) []byte {
	began, letters := len(b), max(r.DistinctIn, 1)
	for range letters {
		b = append(b, lineLetters[n%len(lineLetters)])
		n /= len(lineLetters)
	}
	b = append(b, ':')
	for len(b)-began < r.LineBytes-len("\r\n") {
		b = append(b, 'v')
	}
	return append(b, "\r\n"...)
}
