package head

import (
	"errors"
	"regexp"
	"strings"
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

// Guards against bodies that are taken for chunks, and refused for what looks like a field behind the last one.
func TestUncheckedBodies(t *testing.T) {
	const (
		coded  = "Transfer-Encoding: chunked\r\n\r\n"
		chunks = "4;a=\"b\"\r\nA B:\r\n0\r\n"
		broken = "A B: c\r\n\r\n"
	)
	for name, c := range map[string]struct {
		checker  Checker
		response string
		broken   bool
	}{
		"chunks":              {Checker{}, "HTTP/1.1 200 OK\r\ntransfer-ENCODING:\tChunked \r\n\r\n" + chunks + broken, true},
		"upper case size":     {Checker{}, "HTTP/1.1 200 OK\r\n" + coded + "0A\r\n0123456789\r\n" + chunks + broken, true},
		"a field behind":      {Checker{}, "HTTP/1.1 200 OK\r\n" + coded + chunks + "A: b\r\n" + broken, true},
		"whole":               {Checker{}, "HTTP/1.1 200 OK\r\n" + coded + chunks + "A: b\r\n\r\n" + broken, false},
		"a HEAD request":      {Checker{NoBody: true}, "HTTP/1.1 200 OK\r\n" + coded + chunks + broken, false},
		"no content":          {Checker{}, "HTTP/1.1 204 None\r\n" + coded + chunks + broken, false},
		"HTTP/1.0":            {Checker{}, "HTTP/1.0 200 OK\r\n" + coded + chunks + broken, false},
		"another coding":      {Checker{}, "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n" + chunks + broken, false},
		"of an earlier head":  {Checker{}, "HTTP/1.1 103 Early\r\n" + coded + "HTTP/1.1 200 OK\r\n\r\n" + chunks + broken, false},
		"another field":       {Checker{}, "HTTP/1.1 200 OK\r\nTransfer-Encodings: chunked\r\nTransfer-Encodin: chunked\r\n\r\n" + chunks + broken, false},
		"a size that is none": {Checker{}, "HTTP/1.1 200 OK\r\n" + coded + "\r\n" + chunks + broken, false},
		"a size too large":    {Checker{}, "HTTP/1.1 200 OK\r\n" + coded + "ffffffffffffffff\r\n" + broken, false},
		"no end of a chunk":   {Checker{}, "HTTP/1.1 200 OK\r\n" + coded + "1\r\nab0\r\n" + broken, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range c.response {
				checker := c.checker
				_, _ = checker.Check([]byte(c.response[:i])) // the next one tells
				_, err := checker.Check([]byte(c.response[i:]))
				is.Equal(err != nil, c.broken)
			}
		})
	}
}

// Guards against what comes before a broken line, and is lost with it.
func TestReadBeforeBrokenLine(t *testing.T) {
	is := is.New(t)
	const before = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\nA: b\r\n"
	in := strings.NewReader(before + "A B: c\r\n\r\nmore")
	var c Checker
	p := make([]byte, 1000)
	n, err := c.Read(in, p)
	is.NoErr(err)
	is.Equal(string(p[:n]), before)
	n, err = c.Read(in, p)
	is.Equal(n, 0)
	is.Equal(err, c.Err())
}

// FuzzCheck compares the checker with the grammar of RFC 9112 as an expression.
func FuzzCheck(f *testing.F) {
	const (
		text = `[\t\x20-\x7e\x80-\xff]*`
		line = `\r?\n`
		rest = `( ` + text + `)?` + line + `([!#$%&'*+\-.^_` + "`" + `|~0-9A-Za-z]+:` + text + line + `)*` + line
	)
	// (?s-u) would be bytes; the heads are made of runes of one byte each.
	grammar := regexp.MustCompile(`^(HTTP/1\.[0-9] 1(0[02-9]|[1-9][0-9])` + rest + `)*HTTP/1\.[0-9] [2-5][0-9][0-9]` + rest)
	f.Add([]byte(whole))
	for _, list := range []broken.Responses{broken.Statuses(whole), broken.Names(whole), broken.Values(whole)} {
		for _, response := range list {
			f.Add([]byte(response))
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		runes := make([]rune, len(data))
		for i, b := range data {
			runes[i] = rune(b)
		}
		matched := grammar.FindString(string(runes))
		head := data[:len([]rune(matched))]
		var c Checker
		before, err := c.Check(head)
		is.New(t).NoErr(err)
		is.New(t).Equal(before, len(head))
		is.New(t).Equal(len(head) > 0, c.state == inChunkSize || c.state == unchecked)
		var all Checker
		_, err = all.Check(data)
		taken := err == nil && all.state >= inChunkSize
		is.New(t).True(!taken || len(head) > 0) // nothing else is taken
	})
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
		"HTTP/1.1 000 None\r\n":                             "head of the response is broken: status 000",
		"HTTP/1.1 600 A\r\n":                                "head of the response is broken: status 600",
		"HTTP/2.0 200 OK\r\n":                               "head of the response is broken: byte 0x32 in status_line",
		"HTTP/1.1 200 OK\r\nA: b\rc\r\n":                    "head of the response is broken: byte 0x63 in line_end",
		"HTTP/1.1 200 OK\r\nA : b\r\n":                      "head of the response is broken: byte 0x20 in field_name",
		"HTTP/1.1 200 OK\r\nAB\r\n":                         "head of the response is broken: byte 0x0d in field_name",
		"HTTP/1.1 200 OK\r\nA: \x00\r\n":                    "head of the response is broken: byte 0x00 in field_value",
		strings.TrimSuffix(whole, "ab") + "0\r\nA B: c\r\n": "head of the response is broken: byte 0x20 in trailer",
		"HTTP/1.1 200 \x7f\r\n":                             "head of the response is broken: byte 0x7f in reason",
	} {
		is.New(t).Equal(check(t, response).Error(), want)
	}
}

// check returns what a checker says of a response, which is the same in whatever two pieces it comes.
func check(t *testing.T, response string) error {
	t.Helper()
	is := is.New(t)
	var c Checker
	before, err := c.Check([]byte(response))
	is.Equal(c.Err(), err)
	is.Equal(before < len(response), err != nil)
	for i := range response {
		var c Checker
		n, first := c.Check([]byte(response[:i]))
		is.True(first != nil || n == i)
		_, second := c.Check([]byte(response[i:]))
		is.Equal(second, err)
	}
	return err
}
