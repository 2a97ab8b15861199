package persimresponse

import (
	"errors"
	"fmt"
	"strings"
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

// Fields that tell where a body ends.
const (
	fieldLength   = "content-length"
	fieldEncoding = "transfer-encoding"
	// maxNameBytes is how much of a name is kept, enough to know these.
	maxNameBytes = len(fieldEncoding) + 1
)

// headState is the part of a head in which the next byte belongs.
type headState int

const (
	stateVersion headState = iota
	stateMinorVersion
	// stateBlank expects the blank between the version and the status.
	stateBlank
	stateStatus
	// stateStatusEnd expects what ends the status: a blank or the end of the line.
	stateStatusEnd
	// stateText is the text behind a status or the value of a field.
	stateText
	// stateTextCR expects the line feed behind the carriage return that ends a line.
	stateTextCR
	// stateLineStart expects a field, the continuation of one, or the empty line.
	stateLineStart
	stateName
	// stateEndCR expects the line feed of the empty line.
	stateEndCR
	// stateBody follows the final head.
	stateBody
)

// head checks the heads of a response, byte by byte: interim ones and the final one. Its zero value
// expects the first byte.
type head struct {
	state headState
	// position is the number of bytes of the version, or of digits of the status, so far.
	position     int
	minorVersion byte
	status       int
	// name is the start of the name of the current field, in lower case.
	name []byte
	// length and encoding are set once the head has such a field.
	length, encoding bool
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

// next checks the next byte of the head.
func (h *head) next(b byte) error {
	switch h.state {
	case stateVersion, stateMinorVersion, stateBlank, stateStatus, stateStatusEnd:
		return h.nextOfStatusLine(b)
	case stateText:
		return h.nextOfText(b)
	case stateName:
		return h.nextOfName(b)
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
		h.minorVersion, h.state = b, stateBlank
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

// checkStatus checks the value of the status.
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

// beginLine checks the first byte of a line behind the status line. One that begins with a blank
// continues the line before it.
func (h *head) beginLine(b byte) error {
	switch b {
	case '\r':
		h.state = stateEndCR
		return nil
	case '\n':
		return h.end()
	case ' ', '\t':
		h.state = stateText
		return nil
	default:
		h.state = stateName
		h.name = h.name[:0]
		return h.nextOfName(b)
	}
}

// nextOfName checks a byte of a field's name or the colon behind it.
func (h *head) nextOfName(b byte) error {
	if b == ':' {
		return h.endName()
	}
	if !isToken(b) {
		return malformed("byte %#x in the name of a field", b)
	}
	if len(h.name) < maxNameBytes {
		h.name = append(h.name, lower(b))
	}
	return nil
}

// endName notes the name of a field that tells where the body ends.
func (h *head) endName() error {
	switch string(h.name) {
	case "":
		return malformed("field without a name")
	case fieldLength:
		h.length = true
	case fieldEncoding:
		h.encoding = true
	}
	h.state = stateText
	return nil
}

// endLine ends the head behind its empty line, and another line otherwise.
func (h *head) endLine() error {
	if h.state == stateEndCR {
		return h.end()
	}
	h.state = stateLineStart
	return nil
}

// end ends the head. It returns an error if its fields leave open where the body ends. Another head
// follows an interim one.
func (h *head) end() error {
	if h.encoding && h.length {
		return malformed("both a length and a transfer encoding")
	}
	if h.encoding && h.minorVersion == '0' {
		return malformed("transfer encoding in HTTP/1.0")
	}
	if h.status >= minFinalStatus {
		h.state = stateBody
		return nil
	}
	*h = head{name: h.name}
	return nil
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

func lower(b byte) byte {
	if 'A' <= b && b <= 'Z' {
		return b + 'a' - 'A'
	}
	return b
}

// isToken reports whether a byte may stand in the name of a field (tchar of RFC 9110, 5.6.2).
func isToken(b byte) bool {
	return isDigit(b) || 'a' <= lower(b) && lower(b) <= 'z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
