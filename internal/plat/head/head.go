// Package head says what the head of an HTTP/1.1 response is, and checks it byte by byte before a library reads it, and so the
// fields behind the last chunk of a body.
//
// Libraries take heads that the standard does not allow, and each makes something else of them: a status of 000 is skipped
// like an informational one, or read as 200; a field whose name holds a blank is kept, renamed or left out, and with it what
// it says of the body's length. What a library has changed can't be seen behind it. So each connection has a Checker for what
// it receives, and a response with a broken head is none.
package head

import (
	"fmt"
	"io"
	"strings"
)

const (
	minStatus          = 100
	maxStatus          = 599
	minFinalStatus     = 200
	switchingProtocols = 101

	versionPrefix = "HTTP/1."
	minorVersion  = len(versionPrefix) // offsets in the status line
	statusBegin   = minorVersion + 2
	statusEnd     = statusBegin + 3

	// markBytes are the bytes of a token (RFC 9110, 5.6.2) beside letters and digits.
	markBytes = "!#$%&'*+-.^_`|~"
)

// The parts of a head that can be broken.
const (
	StatusLine Part = "status_line"
	Status     Part = "status"
	Reason     Part = "reason"
	FieldName  Part = "field_name"
	FieldValue Part = "field_value"
	LineEnd    Part = "line_end"
	Trailer    Part = "trailer" // a field behind the last chunk
)

const (
	inStatusLine state = iota // up to the status
	inReason
	atLineStart
	inName
	inValue
	inLineEnd
	inLastLineEnd
	inChunkSize
	inChunkExtension
	inChunk
	inChunkEnd
	unchecked
)

type (
	// Checker checks the head of one response, those of the informational ones before it, and the fields behind the
	// last chunk of its body. What follows is not checked. The zero value expects a head.
	Checker struct {
		NoBody bool // the response has no body whatever its head says: the request's method is HEAD

		state   state
		offset  int  // in the status line
		minor   byte // of the version, as a digit
		status  int
		coding  coding
		chunk   chunk
		trailer bool  // the last chunk is over
		found   error // what is broken in the line
		err     error // found, once the line has ended
	}

	// Error reports a response with a broken head. The request may have run.
	Error struct {
		Part   Part
		Byte   byte // at which the part is broken
		Status int  // if Part is Status
	}

	// Part names a part of a head.
	Part string

	state uint8
)

// Error tells what is broken.
func (e *Error) Error() string {
	if e.Part == Status {
		return fmt.Sprintf("head of the response is broken: status %03d", e.Status)
	}
	return fmt.Sprintf("head of the response is broken: byte %#02x in %s", e.Byte, e.Part)
}

// Check checks the next bytes that were received. It fails with an *Error at the end of a line that is broken, and from
// then on. Before is the number of bytes before the part of that line which p has: nothing that comes after them may be used.
func (c *Checker) Check(p []byte) (before int, err error) {
	for i := 0; i < len(p) && c.err == nil && c.state != unchecked; {
		if c.state == inChunk {
			i += c.skipChunk(len(p) - i)
			before = i
			continue
		}
		if c.found == nil {
			c.found = c.step(p[i])
		}
		i++
		if p[i-1] == '\n' && c.found == nil {
			before = i
		} else if p[i-1] == '\n' {
			c.err = c.found
		}
	}
	if c.err == nil {
		before = len(p)
	}
	return before, c.err
}

// Read reads from r and checks what it has read. It returns what comes before a broken line, and then the error of
// Check, without reading on: r may have nothing further to give.
func (c *Checker) Read(r io.Reader, p []byte) (n int, err error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err = r.Read(p)
	before, broken := c.Check(p[:n])
	if broken != nil && before == 0 {
		return 0, broken
	}
	if broken != nil {
		err = nil // the next read tells
	}
	return before, err
}

// Err returns the error that Check has returned, if any.
func (c *Checker) Err() error { return c.err }

func (c *Checker) step(b byte) error {
	switch c.state {
	case inStatusLine:
		return c.stepStatusLine(b)
	case atLineStart:
		switch b {
		case '\r':
			c.state = inLastLineEnd
		case '\n':
			c.endHead()
		default:
			return c.stepName(b, isTokenByte(b))
		}
	case inName:
		return c.stepName(b, isTokenByte(b) || b == ':')
	case inReason:
		return c.stepText(b, Reason)
	case inValue:
		c.coding.stepValue(b)
		return c.stepText(b, FieldValue)
	case inChunkSize, inChunkExtension, inChunkEnd:
		c.stepChunk(b)
	case inLineEnd, inLastLineEnd:
		if b != '\n' {
			return &Error{Part: LineEnd, Byte: b}
		}
		if c.state == inLineEnd {
			c.state = atLineStart
			return nil
		}
		c.endHead()
	}
	return nil
}

func (c *Checker) stepStatusLine(b byte) error {
	at := c.offset
	c.offset++
	switch {
	case at < minorVersion && b == versionPrefix[at], at == statusBegin-1 && b == ' ':
		return nil
	case at == minorVersion && isDigit(b):
		c.minor = b
		return nil
	case at >= statusBegin && at < statusEnd && isDigit(b):
		c.status = c.status*10 + int(b-'0')
		if c.offset < statusEnd || isStatus(c.status) {
			return nil
		}
		return &Error{Part: Status, Status: c.status}
	case at == statusEnd && (b == ' ' || b == '\r' || b == '\n'):
		c.state = inReason
		return c.step(b)
	default:
		return &Error{Part: StatusLine, Byte: b}
	}
}

// stepName takes a byte of a field's name, or the colon behind it. A line that begins with a blank, to go on with the
// value before, is broken as well: the standard has no such lines any more.
func (c *Checker) stepName(b byte, valid bool) error {
	if !valid {
		return c.fieldError(FieldName, b)
	}
	if c.state == atLineStart {
		c.coding.begin()
	}
	c.coding.stepName(b)
	c.state = inName
	if b == ':' {
		c.state = inValue
	}
	return nil
}

// stepText takes a byte of a field's value, or of the reason, or the line's end behind it.
func (c *Checker) stepText(b byte, part Part) error {
	switch {
	case b == '\r':
		c.state = inLineEnd
	case b == '\n': // alone is a line's end, too
		c.state = atLineStart
	case !isTextByte(b):
		return c.fieldError(part, b)
	}
	return nil
}

func (c *Checker) fieldError(part Part, b byte) error {
	if c.trailer {
		part = Trailer
	}
	return &Error{Part: part, Byte: b}
}

// endHead ends a head, or the fields behind the last chunk. Another head follows an informational one.
func (c *Checker) endHead() {
	switch {
	case c.trailer:
		c.state = unchecked
	case c.status < minFinalStatus:
		*c = Checker{NoBody: c.NoBody}
	case c.isChunked():
		c.state = inChunkSize
	default:
		c.state = unchecked
	}
}

// isStatus reports whether a response may have the status. Nobody here asks for a switch of protocols.
func isStatus(n int) bool { return n >= minStatus && n <= maxStatus && n != switchingProtocols }

func isTokenByte(b byte) bool {
	return b|0x20 >= 'a' && b|0x20 <= 'z' || isDigit(b) || strings.IndexByte(markBytes, b) >= 0
}

// isTextByte reports whether b is no control byte but a tab. Bytes from 0x80 on are text.
func isTextByte(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
