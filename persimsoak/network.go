package persimsoak

import (
	"fmt"
	"net"
	"os"
)

const (
	firstNetwork = 1
	networks     = 250
	// claimedHost and claimPort are where a run holds a socket as long as it uses a network.
	claimedHost = 254
	claimPort   = 7499
)

// A network is a range of loopback addresses that no other run uses.
type network struct {
	prefix string
	claim  net.Listener
}

// claimNetwork returns a network that is free, and its clean-up function. Runs beside
// each other would else answer each other's callers.
func claimNetwork() (network, func(), error) {
	for i := range networks {
		prefix := fmt.Sprintf("127.1.%d", firstNetwork+(os.Getpid()+i)%networks)
		claim, err := net.Listen("tcp4", fmt.Sprintf("%s.%d:%d", prefix, claimedHost, claimPort))
		if err == nil {
			return network{prefix: prefix, claim: claim}, func() { _ = claim.Close() }, nil
		}
	}
	return network{}, nil, fmt.Errorf("none of %d loopback networks is free", networks)
}

// address returns the address of a host by its index.
func (n network) address(index int) string { return fmt.Sprintf("%s.%d", n.prefix, index+1) }
