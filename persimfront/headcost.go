package persimfront

import (
	"bytes"
	"net/http"
)

const (
	// headLineCost is the memory that a header line takes besides its bytes, in bytes: entries
	// of the maps of the request as read, as forwarded and as sent by an attempt, and the
	// strings and slices in them. TestHeadCostCoversItsLines measures it.
	headLineCost = 384
	// headByteCost is how often each byte of a head is held: as read and as written.
	headByteCost = 2
)

// headCost returns the memory that lines with a number of bytes take once they are parsed.
func headCost(lines, size int) int64 {
	return int64(lines)*headLineCost + int64(size)*headByteCost
}

// unparsedCost returns the memory that a part of a head will take.
func unparsedCost(part []byte) int64 { return headCost(bytes.Count(part, []byte{'\n'}), len(part)) }

// requestCost returns the memory that the head of a request takes.
func requestCost(r *http.Request) int64 {
	lines := 1
	for _, values := range r.Header {
		lines += len(values)
	}
	return headCost(lines, headerBytes(r))
}
