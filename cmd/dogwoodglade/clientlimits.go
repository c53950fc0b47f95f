package main

import (
	"dogwoodglade/core/batch"
	"dogwoodglade/io/httpserver"
	"dogwoodglade/io/inner"
	"dogwoodglade/platform"
)

const (
	// defaultMemory and defaultDescriptors replace missing settings. They are the smallest that a process on the
	// platform gets.
	defaultMemory      = 144 << 20
	defaultDescriptors = 3075
	// reservedForFiles is the number of descriptors that the platform reserves for files.
	reservedForFiles = 200
	// callerDescriptorShare is the share of the other descriptors that callers may use. The rest is for entries, agents
	// and the store.
	callerDescriptorShare = 0.5
	// callerMemoryShare, bodyMemoryShare and taskMemoryShare are shares of the memory. The rest is for the program and
	// its own state, about 25 MB, for garbage that has not been collected yet, and for received bytes where the kernel
	// does not keep to the receive buffer that httpserver asks for.
	callerMemoryShare = 0.2
	bodyMemoryShare   = 0.15
	taskMemoryShare   = 0.1
	// frameMemoryShare is for unfinished frames of the inner protocol. pendingMemoryShare and pendingDescriptorShare are
	// for its connections without a handshake, each of which may need pendingBytes: a small frame, goroutines and buffers.
	frameMemoryShare       = 0.1
	pendingMemoryShare     = 0.05
	pendingDescriptorShare = 0.125
	pendingBytes           = 32 << 10
	// maxOwnConnections is the number of connections at each address for the platform itself and for the backend server
	// of the host, which use one or two.
	maxOwnConnections = 32
)

// clientLimits are the limits on clients, derived from the limits of the process.
type clientLimits struct {
	callerConnections int
	ownConnections    int   // at each other address
	bodyBytes         int64 // unfinished request bodies
	openTasks         int   // tasks of callers' open jobs
	incoming          inner.IncomingLimits
}

// newClientLimits returns the limits for a process with the given memory in bytes and number of descriptors. Zero means
// that a limit is not known.
func newClientLimits(memory int64, descriptors int) clientLimits {
	if memory <= 0 {
		memory = defaultMemory
	}
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	forSockets := max(descriptors-reservedForFiles, 0)
	byDescriptors := int(callerDescriptorShare * float64(forSockets))
	byMemory := int(callerMemoryShare * float64(memory) / httpserver.ConnectionBytes)
	pendingByMemory := int(pendingMemoryShare * float64(memory) / pendingBytes)
	pendingByDescriptors := int(pendingDescriptorShare * float64(forSockets))
	return clientLimits{
		incoming: inner.IncomingLimits{
			FrameBytes: int64(frameMemoryShare * float64(memory)), MaxPending: max(min(pendingByMemory, pendingByDescriptors), 1),
		},
		callerConnections: max(min(byDescriptors, byMemory), 1),
		ownConnections:    max(min(maxOwnConnections, byDescriptors/4), 1),
		bodyBytes:         int64(bodyMemoryShare * float64(memory)),
		openTasks:         max(int(taskMemoryShare*float64(memory)/platform.TaskBytes), batch.MaxTasks),
	}
}

// maxBody returns the size below which a body can be read. The sizes of buffers are powers of two, and while a body
// grows, the previous buffer is kept.
func (l clientLimits) maxBody() int64 {
	size := int64(1)
	for size*2*3/2 <= l.bodyBytes {
		size *= 2
	}
	return size
}
