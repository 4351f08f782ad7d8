package strict

import (
	"fmt"
	"net/http"
)

// MaxHeadBytes bounds the bytes from the start of a response to the end of its head, informational responses included.
const MaxHeadBytes = 64 << 10

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
	// total is the number of bytes so far.
	total int
	// inFields is set after the status line, whose status is status.
	inFields bool
	status   int
	// start holds the first bytes of the current line, whose length so far is length, without its end.
	start  [32]byte
	length int
	// carriageReturn is set after a carriage return, which is part of the line unless a line feed follows.
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
	if one == '\n' {
		return chk.endLine()
	}
	if chk.carriageReturn {
		chk.add('\r')
	}
	chk.carriageReturn = one == '\r'
	if !chk.carriageReturn {
		chk.add(one)
	}
	return nil
}

// add adds a byte to the current line.
func (chk *headCheck) add(one byte) {
	if chk.length < len(chk.start) {
		chk.start[chk.length] = one
	}
	chk.length++
}

func (chk *headCheck) endLine() (err error) {
	empty := chk.length == 0
	switch {
	case !chk.inFields:
		err = chk.endStatusLine()
	case empty:
		chk.endHead()
	}
	chk.length, chk.carriageReturn = 0, false
	return err
}

// endStatusLine checks a status line.
func (chk *headCheck) endStatusLine() error {
	// The position of the status code is fixed: HTTP/1.1 200 OK.
	const codeAt, codeEnd = 9, 12
	line := string(chk.start[:min(chk.length, len(chk.start))])
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
	chk.inFields = true
	return nil
}

// endHead ends a head. Another one follows that of an informational response.
func (chk *headCheck) endHead() {
	chk.inFields = false
	chk.active = chk.status < http.StatusOK
}

func isDigit(one byte) bool { return '0' <= one && one <= '9' }
