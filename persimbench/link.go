package persimbench

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"persimmonport.example/persimkeys"
	"persimmonport.example/persimmember"
	"persimmonport.example/persimpeer"
	"persimmonport.example/persimwire"
)

// emptyPeer is a host that answers every exchange with an empty response.
type emptyPeer struct {
	persimwire.UnimplementedPeerServiceHandler
}

func (emptyPeer) Exchange(context.Context, *connect.Request[persimwire.ExchangeRequest]) (*connect.Response[persimwire.ExchangeResponse], error) {
	return connect.NewResponse(&persimwire.ExchangeResponse{}), nil
}

// selfCPUTime returns the CPU time that this process has used.
func selfCPUTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// linkCostModel measures the CPU time of exchanges over a real connection, of both sides
// and with the handling of the connection.
func linkCostModel() CostModel {
	return fitCostModel("link: exchanges with 8 changed rows, time", "us", "exchange", []int{64, 256, 512, 1024}, exchangeCPUMicros)
}

// exchangeCPUMicros returns the CPU time of count exchanges in microseconds.
func exchangeCPUMicros(count int) float64 {
	dir, err := os.MkdirTemp("", "persimbench")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	links, address, cleanup := startLoopbackPeer(dir)
	defer cleanup()
	var delta persimmember.Delta
	for i := range 8 {
		delta.Hosts = append(delta.Hosts, hostRow(i))
	}
	start := selfCPUTime()
	for range count {
		_, err := links.Client(address).Exchange(context.Background(), connect.NewRequest(&persimwire.ExchangeRequest{Hosts: delta.Hosts}))
		if err != nil {
			panic(err)
		}
	}
	return float64((selfCPUTime() - start).Microseconds())
}

// startLoopbackPeer starts an emptyPeer on loopback and returns the links to reach it,
// its address and a function that stops it.
func startLoopbackPeer(dir string) (persimpeer.Links, string, func()) {
	if err := persimkeys.CreateAuthority(dir); err != nil {
		panic(err)
	}
	files, err := persimkeys.CreateHostCertificate(dir, "entry-0", []net.IP{net.IPv4(127, 0, 0, 1)})
	if err != nil {
		panic(err)
	}
	keys, err := persimkeys.NewSource(filepath.Join(dir, persimkeys.AuthorityCert), files)
	if err != nil {
		panic(err)
	}
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	address := conn.LocalAddr().String()
	_ = conn.Close()
	links, closeLinks := persimpeer.New(keys)
	mux := http.NewServeMux()
	mux.Handle(persimwire.NewPeerServiceHandler(emptyPeer{}))
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = links.Serve(ctx, address, mux) }()
	return links, address, func() {
		cancel()
		closeLinks()
	}
}
