// Package early is an upstream that responds to a request before it has read the body, over TCP, and then ends the
// connection in one of several ways.
package early

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
)

const (
	// Reset resets the connection.
	Reset End = iota
	// CloseAndReset closes its side of the connection, and then resets it.
	CloseAndReset
	// ReadThenClose closes its side, and the connection once it has read the rest of the request.
	ReadThenClose
	// ReadOn keeps the connection, reads the rest of the request, and takes further ones.
	ReadOn
)

// receiveBuffer is what the kernel takes of a request that nobody reads, in bytes.
const receiveBuffer = 16 << 10

type (
	// Upstream responds as soon as the head of a request has come. Set the exported fields before Listen.
	Upstream struct {
		IDField string   // of a request that holds its id; empty for none
		Answers []Answer // in the order in which requests come; the last one repeats

		mu       sync.Mutex
		answered int
		received [][]byte
		conns    sync.WaitGroup
		ln       net.Listener
	}

	// Answer is the answer to one request.
	Answer struct {
		Response  string // raw bytes, in which "ID" stands for the id of the request
		ReadFirst int64  // bytes of the body that are read between response and end
		End       End
	}

	// End is how an Upstream ends the connection after its response.
	End int

	// recorder keeps what is read.
	recorder struct {
		net.Conn
		received bytes.Buffer
	}
)

// Listen accepts connections on the loopback interface and returns its address.
func (u *Upstream) Listen(ctx context.Context) (address string, err error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer) // larger ones only take more
		})
	}}
	if u.ln, err = lc.Listen(ctx, "tcp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	u.conns.Go(u.accept)
	return u.ln.Addr().String(), nil
}

// Close ends the listener, and waits until the connections have ended.
func (u *Upstream) Close() {
	_ = u.ln.Close()
	u.conns.Wait()
}

// Answered returns how many requests have come.
func (u *Upstream) Answered() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.answered
}

// Received returns what came over each connection. It is complete after Close.
func (u *Upstream) Received() [][]byte {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.received
}

func (u *Upstream) next() Answer {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.answered++
	return u.Answers[min(u.answered, len(u.Answers))-1]
}

func (u *Upstream) accept() {
	for {
		nc, err := u.ln.Accept()
		if err != nil {
			return
		}
		u.conns.Go(func() { u.serve(nc.(*net.TCPConn)) })
	}
}

func (u *Upstream) serve(nc *net.TCPConn) {
	defer func() { _ = nc.Close() }()
	rec := &recorder{Conn: nc}
	defer u.note(rec)
	br := bufio.NewReader(rec)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		a := u.next()
		if _, err = io.WriteString(nc, strings.ReplaceAll(a.Response, "ID", r.Header.Get(u.IDField))); err != nil {
			return
		}
		if _, err = io.CopyN(io.Discard, r.Body, a.ReadFirst); err != nil {
			return
		}
		if !a.end(nc, r.Body) {
			return
		}
	}
}

// end reports whether the connection goes on.
func (a Answer) end(nc *net.TCPConn, body io.Reader) (goesOn bool) {
	switch a.End {
	case Reset:
		_ = nc.SetLinger(0)
	case CloseAndReset:
		_ = nc.CloseWrite()
		_ = nc.SetLinger(0)
	case ReadThenClose:
		_ = nc.CloseWrite()
		_, _ = io.Copy(io.Discard, body) // fails if the other end has given up
	case ReadOn:
		_, err := io.Copy(io.Discard, body)
		return err == nil
	}
	return false
}

func (u *Upstream) note(rec *recorder) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.received = append(u.received, rec.received.Bytes())
}

func (r *recorder) Read(p []byte) (n int, err error) {
	n, err = r.Conn.Read(p)
	r.received.Write(p[:n])
	return n, err
}
