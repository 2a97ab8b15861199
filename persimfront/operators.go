package persimfront

import (
	"errors"
	"net"
	"net/http"
	"time"

	"persimmonport.example/persimcatalog"
)

// operatorTimeout limits the time to send a request to a server for operators, and the time
// between two.
const operatorTimeout = 10 * time.Second

func (f *front) ServeOperators(server *http.Server, listener net.Listener) error {
	conns := newCallerConns(func() persimcatalog.Limits {
		return persimcatalog.Limits{HeaderTimeout: operatorTimeout, IdleTimeout: operatorTimeout}
	})
	conns.memory, conns.metrics = f.memory, f.metrics
	conns.maxOpen, conns.unreadBytes = f.maxOperatorConnections, f.unreadMemory
	server.Handler = operatorHandler(f.memory, server.Handler)
	server.ConnState = onConnState
	server.ConnContext = withConn
	return conns.serve(server, listener)
}

// operatorHandler refuses requests with a body, and holds the memory of heads.
func operatorHandler(memory *memory, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !beginServing(r) {
			panic(http.ErrAbortHandler)
		}
		held := holding{memory: memory}
		defer held.releaseAll()
		if conn := connOf(r); conn != nil {
			held.take(conn.takeHead())
		}
		if !held.settle(requestCost(r)) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			// The server would read the body before it sends the response.
			_ = errors.Join(http.NewResponseController(w).EnableFullDuplex(), http.NewResponseController(w).Flush())
			panic(http.ErrAbortHandler)
		}
		handler.ServeHTTP(w, r)
	})
}
