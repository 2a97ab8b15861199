// Package persimbroken is a stand-in for servers that send broken responses, for tests of
// clients.
package persimbroken

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// End tells how a server ends a connection after a response.
type End int

// Ways to end a connection.
const (
	// EndNone keeps the connection open for the next request.
	EndNone End = iota
	// EndFIN closes the server's direction and reads on until the client closes its own.
	EndFIN
	// EndFINThenClose closes the server's direction and then the connection, without reading
	// the rest of the request.
	EndFINThenClose
	// EndReset resets the connection.
	EndReset
)

// Response is what a server sends in response to one request.
type Response struct {
	// Text holds the bytes of the response.
	Text string
	End  End
	// Delay is the time between the text and the end of the connection.
	Delay time.Duration
	// Early sends the response after the head of the request, whose body is not read before.
	Early bool
}

// Server serves requests on a loopback address.
type Server struct {
	listener net.Listener
	respond  func(req *http.Request) Response
	requests atomic.Int64
}

// New returns a server that sends the responses of a function, and a function that stops it.
func New(respond func(req *http.Request) Response) (*Server, func(), error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	s := &Server{listener: listener, respond: respond}
	go s.serve()
	return s, func() { _ = listener.Close() }, nil
}

// Address returns the host and the port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests whose heads were read.
func (s *Server) Requests() int { return int(s.requests.Load()) }

func (s *Server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			_ = conn.Close()
			continue
		}
		go s.serveConn(tcp)
	}
}

func (s *Server) serveConn(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.requests.Add(1)
		response := s.respond(req)
		if !response.Early && discardBody(req) != nil {
			return
		}
		if _, err := io.WriteString(conn, response.Text); err != nil {
			return
		}
		time.Sleep(response.Delay)
		if response.End != EndNone {
			end(conn, response.End)
			return
		}
		if discardBody(req) != nil {
			return
		}
	}
}

func discardBody(req *http.Request) error {
	_, err := io.Copy(io.Discard, req.Body)
	return err
}

func end(conn *net.TCPConn, how End) {
	switch how {
	case EndNone:
	case EndFIN:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, conn)
	case EndFINThenClose:
		_ = conn.CloseWrite()
	case EndReset:
		_ = conn.SetLinger(0)
	}
}
