package persimfront

import (
	"bytes"
	"errors"
	"net/http"
)

const (
	// headLineCost is the memory that a header line takes besides its bytes, in bytes: entries
	// of the maps of the request as read, as forwarded and as sent by an attempt, and the
	// strings and slices in them. TestHeadCostCoversItsLines measures it.
	headLineCost = 384
	// headByteCost is how often each byte of a head is held: as read and as written.
	headByteCost = 2
	// plainHeadCost is the memory for the head of a response that is held whatever the limit, so
	// that an ordinary response is never dropped for lack of memory.
	plainHeadCost = 16 << 10
	// maxResponseHeadCost is the largest memory that the head of one response may take, in bytes,
	// so that a faulty upstream can't fill the memory with a few.
	maxResponseHeadCost = 256 << 10
)

// errHeadTooCostly reports a response whose head has too many lines or bytes.
var errHeadTooCostly = errors.New("front: head of response takes too much memory")

// headEnd is the end of a head.
var headEnd = []byte("\r\n\r\n")

// headCost returns the memory that lines with a number of bytes take once they are parsed.
func headCost(lines, size int) int64 {
	return int64(lines)*headLineCost + int64(size)*headByteCost
}

// unparsedCost returns the memory that a part of a head will take.
func unparsedCost(part []byte) int64 { return headCost(bytes.Count(part, []byte{'\n'}), len(part)) }

// requestCost returns the memory that the head of a request takes.
func requestCost(r *http.Request) int64 {
	return headCost(1+headerLines(r.Header), headerBytes(r))
}

// responseCost returns the memory that the head of a response takes.
func responseCost(r *http.Response) int64 {
	return headCost(1+headerLines(r.Header), len(r.Proto)+len(r.Status)+fieldBytes(r.Header))
}

// headerLines returns the number of lines of header fields.
func headerLines(header http.Header) int {
	lines := 0
	for _, values := range header {
		lines += len(values)
	}
	return lines
}

// responseHead reserves the memory for the head of a response in the memory of its request.
type responseHead struct {
	held     *holding
	reserved int64
}

// reserve reserves memory for a part of the head before it is parsed. It returns errMemoryFull if
// there is none, and errHeadTooCostly above maxResponseHeadCost.
func (h *responseHead) reserve(part []byte) error {
	if end := bytes.Index(part, headEnd); end >= 0 {
		part = part[:end+len(headEnd)]
	}
	cost := unparsedCost(part)
	switch {
	case h.reserved+cost > maxResponseHeadCost:
		return errHeadTooCostly
	case h.reserved+cost <= plainHeadCost:
		h.held.add(cost)
	case !h.held.reserve(cost):
		return errMemoryFull
	}
	h.reserved += cost
	return nil
}

// settle releases what was reserved beyond the memory that the parsed response takes, or all if
// there is no response.
func (h *responseHead) settle(response *http.Response) {
	cost := int64(0)
	if response != nil {
		cost = responseCost(response)
	}
	if h.reserved > cost {
		h.held.release(h.reserved - cost)
		h.reserved = cost
	}
}
