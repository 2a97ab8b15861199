package persimexchange

import (
	"errors"
	"io"

	"github.com/gravitational/trace"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/proto"

	"persimmonport.example/persimwire"
)

const (
	// maxMessageBytes is the largest message accepted; a configuration has at most 1 MB.
	maxMessageBytes = 4 << 20
	// firstReadBytes is the room for a message before its first byte.
	firstReadBytes = 4 << 10
	// maxReadBytes is the memory for messages that arrive, in bytes, on all connections together,
	// and maxConnReadBytes that on one, so that a faulty host leaves room for the others.
	maxReadBytes     = 16 << 20
	maxConnReadBytes = 6 << 20
)

var (
	errMessageTooLong = errors.New("exchange: message too long")
	errMemoryFull     = errors.New("exchange: no memory for more of a message")
)

// readMemory bounds the memory for messages that arrive.
type readMemory struct {
	all, conn *semaphore.Weighted
}

// forConn returns the memory for the messages that another host sends on a new connection.
func (m readMemory) forConn() readMemory {
	return readMemory{all: m.all, conn: semaphore.NewWeighted(maxConnReadBytes)}
}

func newReadMemory() readMemory { return readMemory{all: semaphore.NewWeighted(maxReadBytes)} }

// reserve reports whether there is room for bytes, which are in use until they are released.
func (m readMemory) reserve(bytes int64) bool {
	if m.conn != nil && !m.conn.TryAcquire(bytes) {
		return false
	}
	if m.all.TryAcquire(bytes) {
		return true
	}
	if m.conn != nil {
		m.conn.Release(bytes)
	}
	return false
}

func (m readMemory) release(bytes int64) {
	m.all.Release(bytes)
	if m.conn != nil {
		m.conn.Release(bytes)
	}
}

// readMessage reads a message to the end of its stream. Room is reserved before the bytes are
// read, and released once they are decoded.
func readMessage(stream io.Reader, memory readMemory) (*persimwire.Exchange, error) {
	var data []byte
	reserved := int64(0)
	defer func() { memory.release(reserved) }()
	for {
		if len(data) == cap(data) {
			room := min(max(firstReadBytes, 2*cap(data)), maxMessageBytes+1)
			if !memory.reserve(int64(room) - reserved) {
				return nil, trace.Wrap(errMemoryFull)
			}
			reserved = int64(room)
			data = append(make([]byte, 0, room), data...)
		}
		n, err := stream.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if len(data) > maxMessageBytes {
			return nil, trace.Wrap(errMessageTooLong)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, trace.Wrap(err)
		}
	}
	message := &persimwire.Exchange{}
	return message, trace.Wrap(proto.Unmarshal(data, message))
}

func writeMessage(stream io.WriteCloser, message *persimwire.Exchange) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return trace.Wrap(err)
	}
	if _, err := stream.Write(data); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(stream.Close())
}
