package persimconn

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

var errNotTCP = errors.New("not a TCP connection")

// HasUnread reports whether bytes have arrived on a TCP connection that were not read yet.
// It is false for other connections.
func HasUnread(conn net.Conn) bool {
	n, err := peek(conn)
	return err == nil && n > 0
}

// readable reports whether a read of a TCP connection would return at once, with bytes, the
// end of the stream or an error. It is false for other connections.
func readable(conn net.Conn) bool {
	_, err := peek(conn)
	return !errors.Is(err, unix.EAGAIN) && !errors.Is(err, errNotTCP)
}

// peek returns the number of bytes, at most one, that can be read from a TCP connection, or
// the error of reading them. It does not wait for a read that is in progress.
func peek(conn net.Conn) (int, error) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0, errNotTCP
	}
	control, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var errPeek error
	var next [1]byte
	err = control.Control(func(fd uintptr) {
		n, _, errPeek = unix.Recvfrom(int(fd), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, errors.Join(err, errPeek)
}
