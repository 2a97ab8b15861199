package persimsoak

import (
	"fmt"
	"net"
	"os"
)

const (
	firstNetwork = 1
	networkCount = 250
	// A run listens on claimHost and claimPort of its network to reserve it.
	claimHost = 254
	claimPort = 7499
)

// network is a range of loopback addresses that no other run uses.
type network struct {
	prefix string
	claim  net.Listener
}

// claimNetwork reserves a free network and returns it with its clean-up function.
// Without the reservation, concurrent runs would answer each other's callers.
func claimNetwork() (network, func(), error) {
	for i := range networkCount {
		prefix := fmt.Sprintf("127.1.%d", firstNetwork+(os.Getpid()+i)%networkCount)
		claim, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", prefix, claimHost, claimPort))
		if err == nil {
			return network{prefix: prefix, claim: claim}, func() { _ = claim.Close() }, nil
		}
	}
	return network{}, nil, fmt.Errorf("none of %d loopback networks is free", networkCount)
}

// address returns the address of the host with the given index.
func (n network) address(index int) string { return fmt.Sprintf("%s.%d", n.prefix, index+1) }
