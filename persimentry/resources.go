package persimentry

import (
	"persimmonport.example/persimfront"
	"persimmonport.example/persimsettings"
)

// Shares of the host's memory. The runtime may use 0.7 of it; beyond the shares below that is
// garbage and what the program itself holds.
const (
	// bodyMemoryShare is for bytes that are held for callers and upstreams.
	bodyMemoryShare = 0.3
	// spareMemoryShare is for request heads and small bodies while bodies fill their share.
	spareMemoryShare = 0.1
	// connectionMemoryShare is for the connections of callers, at connectionBytes each: the
	// stack of a goroutine, two buffers of 4 KiB, and what describes a request.
	connectionMemoryShare = 0.15
	connectionBytes       = 20 << 10
	// unreadMemoryShare is for bytes that have arrived and were not read, outside the runtime.
	unreadMemoryShare = 0.05
)

const (
	// fileDescriptors is the number of descriptors that are kept for files.
	fileDescriptors = 200
	// Shares of the other descriptors; the rest is for other hosts, the platform, readiness
	// checks and metrics.
	callerDescriptorShare   = 0.6
	upstreamDescriptorShare = 0.3
	operatorDescriptorShare = 0.02
	minOperatorConnections  = 4
)

// resources are the parts of a host's memory and descriptors. Zero connections mean no limit.
type resources struct {
	body, spare, unread int64
	callerConnections   int
	upstreamConnections int
	operatorConnections int
}

// newResources divides the memory and the descriptors of a host, where they are known.
func newResources(deployment persimsettings.Deployment) resources {
	r := resources{body: persimfront.DefaultBodyMemory, spare: persimfront.DefaultSpareMemory}
	if memory := float64(deployment.MemoryBytes); memory > 0 {
		r.body = int64(memory * bodyMemoryShare)
		r.spare = int64(memory * spareMemoryShare)
		r.unread = int64(memory * unreadMemoryShare)
		r.callerConnections = int(memory * connectionMemoryShare / connectionBytes)
	}
	sockets := float64(deployment.Descriptors - fileDescriptors)
	if sockets <= 0 {
		return r
	}
	callers := int(sockets * callerDescriptorShare)
	if r.callerConnections == 0 || callers < r.callerConnections {
		r.callerConnections = callers
	}
	r.upstreamConnections = int(sockets * upstreamDescriptorShare)
	r.operatorConnections = max(minOperatorConnections, int(sockets*operatorDescriptorShare))
	return r
}
