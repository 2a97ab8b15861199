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
	maxReadBytes     = 24 << 20
	maxConnReadBytes = 12 << 20
)

var (
	errMessageTooLong = errors.New("exchange: message too long")
	errMemoryFull     = errors.New("exchange: no memory for more of a message")
)

// readMemory bounds the memory for messages that arrive, until they are handled.
type readMemory struct {
	all, conn *semaphore.Weighted
}

// forConn returns the memory for the messages that another host sends on a new connection, or in
// response to one request.
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
// read, and before they are decoded, until release is called.
func readMessage(stream io.Reader, memory readMemory) (message *persimwire.Exchange, release func(), err error) {
	r := &reservation{memory: memory}
	message, err = r.read(stream)
	if err != nil {
		r.release()
		return nil, nil, trace.Wrap(err)
	}
	return message, r.release, nil
}

// reservation is the room that one message takes.
type reservation struct {
	memory readMemory
	bytes  int64
}

// extend reserves more bytes. It returns errMemoryFull if there is no room.
func (r *reservation) extend(bytes int64) error {
	if !r.memory.reserve(bytes) {
		return errMemoryFull
	}
	r.bytes += bytes
	return nil
}

func (r *reservation) release() {
	r.memory.release(r.bytes)
	r.bytes = 0
}

func (r *reservation) read(stream io.Reader) (*persimwire.Exchange, error) {
	data, err := r.readAll(stream)
	if err != nil {
		return nil, err
	}
	if len(data) > plainMessageBytes {
		if err := r.extend(decodedBytes(exchangeDescriptor, data)); err != nil {
			return nil, err
		}
	}
	message := &persimwire.Exchange{}
	return message, proto.Unmarshal(data, message)
}

// readAll reads the bytes of a message.
func (r *reservation) readAll(stream io.Reader) ([]byte, error) {
	var data []byte
	for {
		if len(data) == cap(data) {
			room := min(max(firstReadBytes, 2*cap(data)), maxMessageBytes+1)
			if err := r.extend(int64(room - cap(data))); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, room), data...)
		}
		n, err := stream.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if len(data) > maxMessageBytes {
			return nil, errMessageTooLong
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
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
