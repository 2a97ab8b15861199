package persimresponse

import (
	"errors"
	"fmt"
)

// ErrMalformed reports bytes that are no head of an HTTP/1.1 response.
var ErrMalformed = errors.New("malformed response")

// malformed returns ErrMalformed with what is wrong.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, args...)...)
}

const (
	// minStatus and maxStatus limit the status of a response, minFinalStatus that of one which no
	// other response to the same request follows.
	minStatus      = 100
	minFinalStatus = 200
	maxStatus      = 599
	// statusSwitchingProtocols ends HTTP on a connection, which no request asks for.
	statusSwitchingProtocols = 101
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// versionPrefix begins a status line. The minor version, a blank and the status follow.
	versionPrefix = "HTTP/1."
)

// headState is the part of a head in which the next byte belongs.
type headState int

const (
	stateVersion headState = iota
	stateMinorVersion
	stateBlank
	stateStatus
	stateStatusEnd
	stateText
	stateTextCR
	stateLineStart
	stateEndCR
	// stateBody means that the head has ended.
	stateBody
)

// head checks the heads of a response, byte by byte: interim ones and the final one. Its zero value
// expects the first byte.
type head struct {
	state headState
	// position is the number of bytes of the version, or of digits of the status, so far.
	position int
	status   int
}

// scan checks the bytes that follow. It ignores those behind the final head.
func (h *head) scan(data []byte) error {
	for _, b := range data {
		if h.state == stateBody {
			return nil
		}
		if err := h.next(b); err != nil {
			return err
		}
	}
	return nil
}

func (h *head) next(b byte) error {
	switch h.state {
	case stateVersion, stateMinorVersion, stateBlank, stateStatus, stateStatusEnd:
		return h.nextOfStatusLine(b)
	case stateText:
		return h.nextOfText(b)
	case stateTextCR, stateEndCR:
		if b != '\n' {
			return malformed("carriage return within a line")
		}
		return h.endLine()
	case stateLineStart:
		return h.beginLine(b)
	case stateBody:
	}
	return nil
}

// nextOfStatusLine checks a byte of the status line up to its text.
func (h *head) nextOfStatusLine(b byte) error {
	switch {
	case h.state == stateVersion && b == versionPrefix[h.position]:
		h.position++
		if h.position == len(versionPrefix) {
			h.state, h.position = stateMinorVersion, 0
		}
	case h.state == stateMinorVersion && isDigit(b):
		h.state = stateBlank
	case h.state == stateBlank && b == ' ':
		h.state = stateStatus
	case h.state == stateStatus && isDigit(b):
		h.status = 10*h.status + int(b-'0')
		h.position++
		if h.position == statusDigits {
			h.state, h.position = stateStatusEnd, 0
			return h.checkStatus()
		}
	case h.state == stateStatusEnd && (b == ' ' || b == '\r' || b == '\n'):
		return h.nextOfText(b)
	default:
		return malformed("byte %#x in the status line", b)
	}
	return nil
}

func (h *head) checkStatus() error {
	if h.status < minStatus || h.status > maxStatus {
		return malformed("status %03d", h.status)
	}
	if h.status == statusSwitchingProtocols {
		return malformed("connection upgraded without being asked")
	}
	return nil
}

// nextOfText checks a byte of the value of a field or of the text behind a status.
func (h *head) nextOfText(b byte) error {
	switch {
	case b == '\r':
		h.state = stateTextCR
	case b == '\n':
		return h.endLine()
	case b < ' ' && b != '\t' || b == 0x7f:
		return malformed("control byte %#x", b)
	default:
		h.state = stateText
	}
	return nil
}

// beginLine checks the first byte of a line behind the status line.
func (h *head) beginLine(b byte) error {
	switch b {
	case '\r':
		h.state = stateEndCR
		return nil
	case '\n':
		return h.end()
	default:
		return h.nextOfText(b)
	}
}

// endLine ends the head behind its empty line, and another line otherwise.
func (h *head) endLine() error {
	if h.state == stateEndCR {
		return h.end()
	}
	h.state = stateLineStart
	return nil
}

// end ends the head. An interim head is followed by another one.
func (h *head) end() error {
	if h.status >= minFinalStatus {
		h.state = stateBody
		return nil
	}
	*h = head{}
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
