package strict

import (
	"fmt"
	"net/http"
	"strings"
)

const (
	// MaxHeadBytes bounds the bytes from the start of a response to the end of its head, informational responses included.
	MaxHeadBytes = 64 << 10
	// MaxFields bounds the fields in these bytes.
	MaxFields = 256
	// byteCost and fieldCost are the memory in bytes that package net/http takes for a byte and for a field of a head, in strings,
	// buffers and maps. costStep is the memory that is reserved at once; the first step is free.
	byteCost  = 3
	fieldCost = 200
	costStep  = 16 << 10
)

// maxStatus is the highest status code of RFC 9110.
const maxStatus = 599

// MalformedError reports the defect of a malformed response.
type MalformedError struct {
	// Defect is what is wrong with the response.
	Defect string
}

// Error returns the defect.
func (err *MalformedError) Error() string { return "malformed response: " + err.Defect }

func malformed(format string, args ...any) *MalformedError {
	return &MalformedError{Defect: fmt.Sprintf(format, args...)}
}

// headCheck checks the heads of the responses to one request byte by byte.
type headCheck struct {
	// active is set until the head of the final response has ended.
	active bool
	// total is the number of bytes so far, and fields that of fields.
	total, fields int
	// reserve, if not nil, reserves memory beyond the bytes in reserved, of which costStep are free.
	reserve  func(num int) error
	reserved int
	// inFields is set after the status line, whose status is status.
	inFields bool
	status   int
	// oldVersion is set if the version of HTTP is 1.0.
	oldVersion bool
	// start holds the first bytes of the current line, whose length so far is length, without its end.
	start  [32]byte
	length int
	// inValue is set after the colon of a field.
	inValue bool
	// carriageReturn is set after a carriage return, which a line feed must follow.
	carriageReturn bool
}

// check checks the next bytes of a connection, and returns the number of those before a defect with the defect.
func (chk *headCheck) check(buf []byte) (sound int, err error) {
	for idx, one := range buf {
		if !chk.active {
			break
		}
		if err := chk.next(one); err != nil {
			return idx, err
		}
	}
	return len(buf), nil
}

func (chk *headCheck) next(one byte) error {
	if chk.total++; chk.total > MaxHeadBytes {
		return malformed("its head exceeds %d bytes", MaxHeadBytes)
	}
	if err := chk.reserveMemory(); err != nil {
		return err
	}
	if one == '\n' {
		return chk.endLine()
	}
	if chk.carriageReturn {
		return malformed("a line of its head holds a carriage return")
	}
	if one == '\r' {
		chk.carriageReturn = true
		return nil
	}
	if chk.length < len(chk.start) {
		chk.start[chk.length] = one
	}
	chk.length++
	if chk.inFields && !chk.inValue {
		return chk.nextOfName(one)
	}
	if isControl(one) {
		return malformed("a line of its head holds the control byte %#02x", one)
	}
	return nil
}

// reserveMemory reserves the memory for the head so far.
func (chk *headCheck) reserveMemory() error {
	if chk.reserve == nil || byteCost*chk.total+fieldCost*chk.fields <= costStep+chk.reserved {
		return nil
	}
	chk.reserved += costStep
	return chk.reserve(costStep)
}

// nextOfName checks a byte of the name of a field, or the colon after it. A line that begins with a blank would continue the value of
// the field before. No sender may do so (RFC 9112, section 5.2), and it may be a field with a malformed name.
func (chk *headCheck) nextOfName(one byte) error {
	if one == ':' && chk.length > 1 {
		chk.inValue = true
		return chk.endName()
	}
	if !isToken(one) {
		return malformed("the name of a field holds the byte %#02x after %q", one, chk.line())
	}
	return nil
}

// endName counts a field and checks its name. HTTP/1.0 has no transfer codings, and package net/http ignores the field there, although an
// upstream that states one sends its body in chunks (RFC 9112, section 6.1).
func (chk *headCheck) endName() error {
	if chk.fields++; chk.fields > MaxFields {
		return malformed("its head has more than %d fields", MaxFields)
	}
	if chk.oldVersion && strings.EqualFold(chk.line(), "Transfer-Encoding:") {
		return malformed("it states a transfer coding in HTTP/1.0")
	}
	return nil
}

// line returns the first bytes of the current line.
func (chk *headCheck) line() string {
	return string(chk.start[:min(chk.length, len(chk.start))])
}

func (chk *headCheck) endLine() (err error) {
	switch {
	case !chk.inFields:
		err = chk.endStatusLine()
	case chk.length == 0:
		chk.endHead()
	case !chk.inValue:
		err = malformed("a field without a colon begins with %q", chk.line())
	}
	chk.length, chk.inValue, chk.carriageReturn = 0, false, false
	return err
}

// endStatusLine checks a status line.
func (chk *headCheck) endStatusLine() error {
	// The position of the status code is fixed: HTTP/1.1 200 OK.
	const codeAt, codeEnd = 9, 12
	line := chk.line()
	if len(line) < codeEnd || line[:7] != "HTTP/1." || !isDigit(line[7]) || line[8] != ' ' || len(line) > codeEnd && line[codeEnd] != ' ' {
		return malformed("its status line begins with %q", line)
	}
	chk.status = 0
	for idx := codeAt; idx < codeEnd; idx++ {
		if !isDigit(line[idx]) {
			return malformed("its status line begins with %q", line)
		}
		chk.status = 10*chk.status + int(line[idx]-'0')
	}
	if chk.status < http.StatusContinue || chk.status > maxStatus {
		return malformed("its status is %03d", chk.status)
	}
	// No request asks for another protocol.
	if chk.status == http.StatusSwitchingProtocols {
		return malformed("it switches protocols")
	}
	chk.inFields, chk.oldVersion = true, line[7] == '0'
	return nil
}

// endHead ends a head. Another one follows that of an informational response.
func (chk *headCheck) endHead() {
	chk.inFields = false
	chk.active = chk.status < http.StatusOK
}

func isDigit(one byte) bool { return '0' <= one && one <= '9' }

// isControl reports whether a byte is a control byte other than a tab.
func isControl(one byte) bool { return one < ' ' && one != '\t' || one == 0x7f }

// isToken reports whether a byte may be part of a field's name (RFC 9110, section 5.6.2).
func isToken(one byte) bool {
	return isDigit(one) || 'a' <= one && one <= 'z' || 'A' <= one && one <= 'Z' || strings.IndexByte("!#$%&'*+-.^_`|~", one) >= 0
}
