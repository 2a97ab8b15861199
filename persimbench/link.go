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

// answering is a host that answers exchanges with nothing.
type answering struct {
	persimwire.UnimplementedPeerServiceHandler
}

func (answering) Exchange(context.Context, *connect.Request[persimwire.ExchangeRequest]) (*connect.Response[persimwire.ExchangeResponse], error) {
	return connect.NewResponse(&persimwire.ExchangeResponse{}), nil
}

// ownProcessorTime returns the processor time of this process so far.
func ownProcessorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// linkSlope measures the processor time of exchanges over a real link, both sides
// and the handling of the connection together.
func linkSlope() Slope {
	return newSlope("link: exchanges with 8 changed rows, time", "us", "exchange", []int{64, 256, 512, 1024}, exchangeTime)
}

func exchangeTime(count int) float64 {
	folder, err := os.MkdirTemp("", "persimbench")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	links, address, cleanup := newLink(folder)
	defer cleanup()
	var delta persimmember.Delta
	for i := range 8 {
		delta.Hosts = append(delta.Hosts, hostRow(i))
	}
	begin := ownProcessorTime()
	for range count {
		_, err := links.Client(address).Exchange(context.Background(), connect.NewRequest(&persimwire.ExchangeRequest{Hosts: delta.Hosts}))
		if err != nil {
			panic(err)
		}
	}
	return float64((ownProcessorTime() - begin).Microseconds())
}

// newLink returns a link to a host that answers on loopback.
func newLink(folder string) (persimpeer.Links, string, func()) {
	if err := persimkeys.MakeAuthority(folder); err != nil {
		panic(err)
	}
	files, err := persimkeys.MakeHost(folder, "entry-0", []net.IP{net.IPv4(127, 0, 0, 1)})
	if err != nil {
		panic(err)
	}
	keys, err := persimkeys.NewSource(filepath.Join(folder, persimkeys.AuthorityCert), files)
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
	mux.Handle(persimwire.NewPeerServiceHandler(answering{}))
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = links.Serve(ctx, address, mux) }()
	return links, address, func() {
		cancel()
		closeLinks()
	}
}
