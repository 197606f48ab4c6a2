// Package head says what the head of an HTTP/1.1 response is, and checks it byte by byte before a library reads it.
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
)

const (
	inStatusLine state = iota // up to the status
	inReason
	atLineStart
	inName
	inValue
	inLineEnd
	inLastLineEnd
	behindHead
)

type (
	// Checker checks the head of one response, and of the informational ones before it. What follows the head is
	// not checked. The zero value expects a head.
	Checker struct {
		state  state
		offset int // in the status line
		status int
		found  error // what is broken in the line
		err    error // found, once the line has ended
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
// then on: nothing that comes over the connection may be used.
func (c *Checker) Check(p []byte) error {
	for _, b := range p {
		switch {
		case c.err != nil || c.state == behindHead:
			return c.err
		case c.found == nil:
			c.found = c.step(b)
		}
		if b == '\n' {
			c.err = c.found
		}
	}
	return c.err
}

// Read reads from r and checks what it has read. After an error of Check it reads no more: a library may go on after
// it, and r may have nothing further to give.
func (c *Checker) Read(r io.Reader, p []byte) (n int, err error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err = r.Read(p)
	if broken := c.Check(p[:n]); broken != nil {
		return 0, broken
	}
	return n, err
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
		return c.stepText(b, FieldValue)
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
	case at < minorVersion && b == versionPrefix[at], at == minorVersion && isDigit(b), at == statusBegin-1 && b == ' ':
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
		return &Error{Part: FieldName, Byte: b}
	}
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
		return &Error{Part: part, Byte: b}
	}
	return nil
}

// endHead ends a head. Another one follows an informational one.
func (c *Checker) endHead() {
	if c.status >= minFinalStatus {
		c.state = behindHead
		return
	}
	*c = Checker{}
}

// isStatus reports whether a response may have the status. Nobody here asks for a switch of protocols.
func isStatus(n int) bool { return n >= minStatus && n <= maxStatus && n != switchingProtocols }

func isTokenByte(b byte) bool {
	return b|0x20 >= 'a' && b|0x20 <= 'z' || isDigit(b) || strings.IndexByte(markBytes, b) >= 0
}

// isTextByte reports whether b is no control byte but a tab. Bytes from 0x80 on are text.
func isTextByte(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' }

func isDigit(b byte) bool { return b >= '0' && b <= '9' }
