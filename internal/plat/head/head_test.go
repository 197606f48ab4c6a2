package head

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/slaterock/slaterock/internal/fake/broken"
)

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nab"

// Guards against whole responses that are taken for broken ones.
func TestWholeHeads(t *testing.T) {
	for name, response := range map[string]string{
		"usual": whole, "no fields": "HTTP/1.1 204 No Content\r\n\r\n", "no reason": "HTTP/1.0 200\r\n\r\n", "empty reason": "HTTP/1.1 200 \r\n\r\n",
		"line feeds only": "HTTP/1.1 200 OK\nA: b\n\nbody", "informational": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + whole,
		"lowest": "HTTP/1.1 100 A\r\n\r\n" + whole, "highest": "HTTP/1.1 599 A\r\n\r\n", "body like a broken head": "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000\r\nA B: c\r\n\r\n",
		"values": "HTTP/1.1 200 \xe9t\xe9\r\nA:\r\nB:c\r\nD: \t e f\t \r\nG: \xff:\"()\r\n\r\n", "names": "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { is.New(t).NoErr(check(t, response)) })
	}
}

// Guards against broken heads that are taken for whole ones, in whatever pieces they come.
func TestBrokenHeads(t *testing.T) {
	for kind, list := range map[string]broken.Responses{"status": broken.Statuses(whole), "name": broken.Names(whole), "value": broken.Values(whole)} {
		for name, response := range list {
			t.Run(kind+", "+name, func(t *testing.T) {
				var broken *Error
				is.New(t).True(errors.As(check(t, response), &broken))
			})
		}
	}
}

// Guards against an error that does not tell what is broken.
func TestError(t *testing.T) {
	for response, want := range map[string]string{
		"HTTP/1.1 000 None\r\n":          "head of the response is broken: status 000",
		"HTTP/1.1 600 A\r\n":             "head of the response is broken: status 600",
		"HTTP/2.0 200 OK\r\n":            "head of the response is broken: byte 0x32 in status_line",
		"HTTP/1.1 200 OK\r\nA: b\rc\r\n": "head of the response is broken: byte 0x63 in line_end",
		"HTTP/1.1 200 OK\r\nA : b\r\n":   "head of the response is broken: byte 0x20 in field_name",
		"HTTP/1.1 200 OK\r\nAB\r\n":      "head of the response is broken: byte 0x0d in field_name",
		"HTTP/1.1 200 OK\r\nA: \x00\r\n": "head of the response is broken: byte 0x00 in field_value",
		"HTTP/1.1 200 \x7f\r\n":          "head of the response is broken: byte 0x7f in reason",
	} {
		is.New(t).Equal(check(t, response).Error(), want)
	}
}

// check returns what a checker says of a response, which is the same in whatever two pieces it comes.
func check(t *testing.T, response string) error {
	t.Helper()
	is := is.New(t)
	var c Checker
	err := c.Check([]byte(response))
	is.Equal(c.Err(), err)
	for i := range response {
		var c Checker
		_ = c.Check([]byte(response[:i])) // the next one tells
		is.Equal(c.Check([]byte(response[i:])), err)
	}
	return err
}
