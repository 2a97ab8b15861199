package persimfront

import (
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// releaseWindow is the time over which the rate of released bytes is averaged.
	releaseWindow = time.Second
	// firstReadBytes is the room for a body of unknown length before its first byte.
	firstReadBytes = 32 << 10
	// smallBytes is the size up to which bytes may use the spare memory.
	smallBytes = 64 << 10
	// evictWait limits the wait for memory that is released as connections are closed.
	evictWait = 200 * time.Millisecond
)

// errMemoryFull reports that bytes were not read, since there is no memory for them.
var errMemoryFull = errors.New("front: no memory for more bytes")

// memory counts the bytes that a host holds for callers and upstreams, and bounds those that
// it takes in.
type memory struct {
	limit int64
	// spare is the room above the limit for request heads and small bodies, which long
	// bodies can't use up.
	spare int64
	// evict closes what has made the least progress. It returns false if there is nothing to
	// close.
	evict func() bool

	mu   sync.Mutex
	held int64
	// freed is closed at the next release.
	freed chan struct{}
	// released is the moving sum of the bytes released in releaseWindow, as of releasedAt.
	released   float64
	releasedAt time.Time
}

// reserve counts bytes that are about to be held. It returns false, and counts nothing, if
// they exceed the limit.
func (m *memory) reserve(bytes int64) bool {
	return m.reserveUpTo(bytes, m.limit)
}

func (m *memory) reserveUpTo(bytes, limit int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held+bytes > limit {
		return false
	}
	m.held += bytes
	return true
}

// reserveEvicting reserves bytes as reserve does, and makes room for them by closing what has
// made the least progress, as far as there is such.
func (m *memory) reserveEvicting(bytes, limit int64) bool {
	if m.reserveUpTo(bytes, limit) {
		return true
	}
	if m.evict == nil {
		return false
	}
	timeout := time.NewTimer(evictWait)
	defer timeout.Stop()
	for {
		freed := m.nextRelease()
		if m.reserveUpTo(bytes, limit) {
			return true
		}
		if !m.evict() {
			return false
		}
		select {
		case <-freed:
		case <-timeout.C:
			return m.reserveUpTo(bytes, limit)
		}
	}
}

// nextRelease returns a channel that is closed at the next release.
func (m *memory) nextRelease() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.freed == nil {
		m.freed = make(chan struct{})
	}
	return m.freed
}

// add counts bytes that are held whatever the limit.
func (m *memory) add(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held += bytes
}

// release counts bytes that are held no longer.
func (m *memory) release(now time.Time, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.held -= bytes
	m.fade(now)
	m.released += float64(bytes)
	if m.freed != nil {
		close(m.freed)
		m.freed = nil
	}
}

// fade reduces the sum of released bytes to the last releaseWindow.
func (m *memory) fade(now time.Time) {
	elapsed := now.Sub(m.releasedAt)
	m.releasedAt = now
	m.released *= max(0, 1-elapsed.Seconds()/releaseWindow.Seconds())
}

// wait returns the time until there is room for bytes, at the rate of late.
func (m *memory) wait(now time.Time, bytes int64) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fade(now)
	missing := float64(m.held + bytes - m.limit)
	if missing <= 0 {
		return minRetryAfter
	}
	if m.released <= 0 {
		return maxRetryAfter
	}
	return min(maxRetryAfter, time.Duration(missing/m.released*float64(releaseWindow)))
}

// heldBytes returns the number of bytes that are held.
func (m *memory) heldBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held
}

// holding is the share of one request in the memory.
type holding struct {
	memory *memory
	bytes  int64
}

func (h *holding) reserve(bytes int64) bool {
	if !h.memory.reserve(bytes) {
		return false
	}
	h.bytes += bytes
	return true
}

// take makes the request hold bytes that are reserved already.
func (h *holding) take(bytes int64) { h.bytes += bytes }

// maxSurplus is the number of bytes up to which a request keeps what it holds too much.
const maxSurplus = 4 << 10

// settle changes what a request holds to a number of bytes, or up to maxSurplus more. It returns
// false if there is no room for them.
func (h *holding) settle(bytes int64) bool {
	if bytes <= h.bytes {
		if h.bytes-bytes > maxSurplus {
			h.release(h.bytes - bytes)
		}
		return true
	}
	if !h.memory.reserveEvicting(bytes-h.bytes, h.memory.limit+h.memory.spare) {
		return false
	}
	h.bytes = bytes
	return true
}

// reserveEvicting reserves bytes of the body of a request of a size, or -1 if it isn't known.
// Bodies of a small known size may use the spare memory.
func (h *holding) reserveEvicting(bytes, size int64) bool {
	limit := h.memory.limit
	if size >= 0 && size <= smallBytes {
		limit += h.memory.spare
	}
	if !h.memory.reserveEvicting(bytes, limit) {
		return false
	}
	h.bytes += bytes
	return true
}

func (h *holding) add(bytes int64) {
	h.memory.add(bytes)
	h.bytes += bytes
}

func (h *holding) release(bytes int64) {
	h.memory.release(time.Now(), bytes)
	h.bytes -= bytes
}

// releaseAll releases what is left. It is called once the request has ended, on any way.
func (h *holding) releaseAll() {
	if h.bytes != 0 {
		h.release(h.bytes)
	}
}

// readAll reads until the end, or until more than limit bytes are read. Room is reserved before
// the bytes are read: for the size, if it is not negative, and else as they come. It returns
// what it has read and errMemoryFull if there is no room for more.
func (h *holding) readAll(r io.Reader, size, limit int64) ([]byte, error) {
	return h.readReserving(r, size, limit, h.reserve)
}

// readBody reads as readAll does, and makes room as reserveEvicting does.
func (h *holding) readBody(r io.Reader, size, limit int64) ([]byte, error) {
	return h.readReserving(r, size, limit, func(bytes int64) bool { return h.reserveEvicting(bytes, size) })
}

func (h *holding) readReserving(r io.Reader, size, limit int64, reserve func(int64) bool) ([]byte, error) {
	room := firstReadBytes
	if size >= 0 {
		room = int(size)
	}
	if !reserve(int64(room)) {
		return nil, errMemoryFull
	}
	data := make([]byte, 0, room)
	for {
		if len(data) == cap(data) {
			if int64(len(data)) == size || int64(len(data)) > limit {
				return data, nil
			}
			grown, ok := h.grow(data, reserve)
			if !ok {
				return data, errMemoryFull
			}
			data = grown
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
}

// grow returns a copy of data with twice the room, or false if there is none.
func (h *holding) grow(data []byte, reserve func(int64) bool) ([]byte, bool) {
	room := max(firstReadBytes, 2*cap(data))
	if !reserve(int64(room)) {
		return nil, false
	}
	grown := append(make([]byte, 0, room), data...)
	h.release(int64(cap(data)))
	return grown, true
}
