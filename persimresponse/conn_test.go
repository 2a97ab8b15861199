package persimresponse

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// fakeConn is a connection that was ended by its server, or has failed, while a request is written.
type fakeConn struct {
	net.Conn
	errWrite error
	data     []string
}

func (c *fakeConn) Write([]byte) (int, error) { return 0, c.errWrite }

func (c *fakeConn) Read(p []byte) (int, error) {
	if len(c.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.data[0])
	c.data = c.data[1:]
	return n, nil
}

func wrapErrno(errno syscall.Errno) error {
	return &net.OpError{Op: "write", Err: os.NewSyscallError("write", errno)}
}

// TestFailureSeenByTheWriterEndsTheRead guards against a response without a framing that looks whole
// since the socket has returned its error to the writer.
func TestFailureSeenByTheWriterEndsTheRead(t *testing.T) {
	for _, test := range []struct {
		err  error
		want error
	}{
		{nil, nil},
		{wrapErrno(syscall.ECONNRESET), ErrConnFailed},
		{wrapErrno(syscall.ETIMEDOUT), ErrConnFailed},
		{wrapErrno(syscall.EHOSTUNREACH), ErrConnFailed},
		{wrapErrno(syscall.EPIPE), nil},
		{os.ErrDeadlineExceeded, nil},
		{net.ErrClosed, nil},
	} {
		t.Run(fmt.Sprint(test.err), func(t *testing.T) {
			conn := NewConn(&fakeConn{errWrite: test.err, data: []string{"HTTP/1.1 200 OK\r\n\r\n", "part"}})
			_, _ = conn.Write([]byte("x"))
			data, err := io.ReadAll(conn)
			require.ErrorIs(t, err, test.want)
			require.Equal(t, "HTTP/1.1 200 OK\r\n\r\npart", string(data))
		})
	}
}

// TestNothingIsReadBehindAMalformedHead guards against bytes behind a malformed head that are read as
// a response.
func TestNothingIsReadBehindAMalformedHead(t *testing.T) {
	conn := NewConn(&fakeConn{data: []string{"HTTP/1.1 000 No\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n"}})
	for range 3 {
		n, err := conn.Read(make([]byte, 100))
		require.ErrorIs(t, err, ErrMalformed)
		require.Zero(t, n)
		conn.ExpectHead()
	}
}

// TestEachHeadIsChecked guards against a head that passes unchecked as it follows the body of an
// earlier response.
func TestEachHeadIsChecked(t *testing.T) {
	conn := NewConn(&fakeConn{data: []string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "a\x00 :b", "HTTP/1.1 000 No\r\n\r\n"}})
	for range 2 {
		_, err := conn.Read(make([]byte, 100))
		require.NoError(t, err)
	}
	conn.ExpectHead()
	_, err := conn.Read(make([]byte, 100))
	require.ErrorIs(t, err, ErrMalformed)
}
