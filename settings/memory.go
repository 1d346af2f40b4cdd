package settings

import "time"

const (
	bytesPerMB = 1 << 20
	// bodyShare and heapShare are the parts of the memory of the VM for the bodies of requests
	// and for the heap. The collector runs when the heap has grown by half, so bodies cost up to
	// one and a half times their size. The rest is for stacks, buffers of the kernel and the program.
	bodyShare = 1.0 / 6
	heapShare = 0.7
	// defaultBodyMB holds 64 of the longest parts of bodies that a node buffers (1 MiB). A client
	// within the limits of the platform needs one of them, and another at the server's node.
	defaultBodyMB = 64
	// defaultBodyProgress exceeds the deadlines of most requests.
	defaultBodyProgress = 5 * time.Second
	// connectionShare is the part of the memory for the connections of clients, of
	// connectionBytes each: buffers of 20 KiB, two stacks and the first block of a body.
	connectionShare = 1.0 / 4
	connectionBytes = 32 << 10
	// maxDescriptors is the number of descriptors of a VM that may be used, if the limit of the
	// process is higher.
	maxDescriptors = 4_100
	// reservedDescriptors are for other nodes (two connections each in a fleet of 451),
	// the server beside the node (510), the store and the platform. Where there are
	// fewer descriptors, clients get reservedClientShare of them.
	reservedDescriptors = 1_600
	reservedClientShare = 1.0 / 4
)

// HeapBytes returns the memory up to which the heap may grow, 0 for no limit.
func (s Sidecar) HeapBytes() int64 {
	return int64(heapShare * float64(s.MemoryMB) * bytesPerMB)
}

// BodyBytes returns the memory that all request bodies may use.
func (s Sidecar) BodyBytes() int64 {
	fallback := float64(defaultBodyMB)
	if s.MemoryMB > 0 {
		fallback = bodyShare * float64(s.MemoryMB)
	}
	return int64(numberOr(s.Bounds.BodyMB, fallback) * bytesPerMB)
}

// BodyProgress returns the time within which a part of a request body must arrive.
func (s Sidecar) BodyProgress() time.Duration {
	return secondsOr(s.Bounds.BodyProgressSeconds, defaultBodyProgress)
}

// ClientConnections returns the number of open connections of clients that a process with the
// given number of descriptors accepts.
func (s Sidecar) ClientConnections(descriptors uint64) int {
	files := float64(min(descriptors, maxDescriptors))
	fallback := max(files-reservedDescriptors, reservedClientShare*files)
	if s.MemoryMB > 0 {
		fallback = min(fallback, connectionShare*float64(s.MemoryMB)*bytesPerMB/connectionBytes)
	}
	return int(numberOr(s.Bounds.ClientConnections, fallback))
}
