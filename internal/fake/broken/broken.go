// Package broken makes broken responses of whole ones, as an upstream in trouble sends them: heads that RFC 9112
// does not allow, whatever a library makes of them.
package broken

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
)

const (
	lineEnd = "\r\n"
	headEnd = lineEnd + lineEnd

	maxRequest = 4 << 10 // bytes of a request that Connect answers
)

// names are lines in which the name of a field is broken.
var names = map[string]string{
	"blank inside": "X Y: 1", "blanks inside": "X  Y: 1", "blank before the colon": "X-Y : 1", "blank first": "A: b\r\n X-Y: 1", "blank first, behind another": " X-Y: 1", "blank only": " : 1",
	"tab inside": "X\tY: 1", "tab before the colon": "X-Y\t: 1", "tab first": "A: b\r\n\tX-Y: 1", "0x00": "X\x00Y: 1", "0x00 first": "\x00XY: 1", "0x01": "X\x01Y: 1",
	"0x0d": "X\rY: 1", "0x1b before the colon": "XY\x1b: 1", "0x7f": "X\x7fY: 1", "0x80": "X\x80Y: 1", "bracket": "X(Y): 1", "quote": "X\"Y: 1", "empty": ": 1", "no colon": "XY",
}

// Responses are broken responses in place of a whole one, by what is broken.
type Responses map[string]string

// Statuses returns responses whose status line is broken, or that have another response with such a one before
// them.
func Statuses(whole string) Responses {
	out := Responses{
		"000, then a whole one":    "HTTP/1.1 000 None" + headEnd + whole,
		"099, then a whole one":    "HTTP/1.1 099 None" + headEnd + whole,
		"000 around a whole one":   fmt.Sprintf("HTTP/1.1 000 None\r\nContent-Length: %d", len(whole)) + headEnd + whole,
		"101 that nobody asked":    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a" + headEnd + whole,
		"000 after informational":  "HTTP/1.1 103 Early Hints" + headEnd + withStatus(whole, "HTTP/1.1 000"),
		"two blanks before status": withStatus(whole, "HTTP/1.1  200"),
	}
	for _, start := range []string{"HTTP/1.1 000", "HTTP/1.1 099", "HTTP/1.1 600", "HTTP/1.1 999", "HTTP/1.1 0", "HTTP/1.1 2000", "HTTP/1.1 -20", "HTTP/1.1 2x0", "HTTP/0.9 200", "HTTP/2.0 200", "HTTP/3 200"} {
		out[start] = withStatus(whole, start)
	}
	return out
}

// Names returns responses in which the name of a field is broken, also of one that states the length of the body, and those
// with an informational response before them that is broken so.
func Names(whole string) Responses {
	out := Responses{}
	for what, line := range names {
		out[what] = withLine(whole, line)
		out[what+", informational"] = withLine("HTTP/1.1 103 Early Hints\r\nA: b"+headEnd, line) + whole
	}
	out["blank in the first name"] = strings.Replace(whole, lineEnd, lineEnd+" X-Y: 1"+lineEnd, 1)
	for _, name := range []string{"Content-Length", "Transfer-Encoding"} {
		for what, changed := range map[string]string{
			"blank before the colon": name + " ", "blank inside": strings.Replace(name, "-", " ", 1), "blank first": " " + name, "control byte": name + "\x01",
		} {
			if strings.Contains(whole, lineEnd+name+":") {
				out[name+", "+what] = strings.Replace(whole, lineEnd+name+":", lineEnd+changed+":", 1)
			}
		}
	}
	return out
}

// Values returns responses in which the value of a field, or the reason, holds a control byte.
func Values(whole string) Responses {
	return Responses{
		"0x00 in a value": withLine(whole, "X-Y: a\x00b"), "0x0d in a value": withLine(whole, "X-Y: a\rb"), "0x1b in a value": withLine(whole, "X-Y: \x1b"),
		"0x01 in the reason": strings.Replace(whole, lineEnd, "\x01"+lineEnd, 1),
	}
}

// Nth returns one of the broken responses in place of a whole one, each of which comes in turn.
func Nth(whole string, n int64) string {
	all := Statuses(whole)
	maps.Copy(all, Names(whole))
	maps.Copy(all, Values(whole))
	kinds := slices.Sorted(maps.Keys(all))
	return all[kinds[int(n)%len(kinds)]]
}

// Trailers returns responses in chunks, of which a field behind the last chunk is broken.
func Trailers(whole string) Responses {
	out := Responses{}
	for what, line := range names {
		out[what] = strings.TrimSuffix(whole, lineEnd) + line + headEnd
	}
	return out
}

// withStatus returns the response with another beginning of its status line.
func withStatus(whole, start string) string { return start + whole[len("HTTP/1.1 200"):] }

// withLine returns the response with a further line as the last one of its head.
func withLine(whole, line string) string {
	return strings.Replace(whole, headEnd, lineEnd+line+headEnd, 1)
}

// Connect returns what connects to an upstream that answers a short request with these bytes and closes the
// connection.
func Connect(response string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer func() { _ = far.Close() }()
			_, _ = far.Read(make([]byte, maxRequest))
			_, _ = io.WriteString(far, response) // fails if the reader has given up
		}()
		return near, nil
	}
}

// Serve answers each request with these bytes, over connections that stay open, until the listener is closed.
func Serve(ln net.Listener, response string) {
	for {
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		go answer(nc, response)
	}
}

func answer(nc net.Conn, response string) {
	defer func() { _ = nc.Close() }()
	br := bufio.NewReader(nc)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if _, err = io.WriteString(nc, response); err != nil {
			return
		}
	}
}
