// Package inner implements the protocol between entries and agents: JSON-RPC 2.0 over TCP in frames of limited size,
// after a handshake that checks the protocol version.
//
// An entry accepts jobs, owns shards of the key space and allocates the slots of pools. An agent runs on a host with
// backend servers.
//
// The package manages the connections and defines the messages. To send messages, entries and agents call the methods
// of Peer; to receive them, they implement EntryHandler, AgentHandler, BatchEntryHandler or BatchAgentHandler.
// Notifications of one connection are handled in the order in which they were sent; calls are handled concurrently. If
// the peer fails, its connection is closed, the handler's Disconnected is called, and calls in progress return an
// UnreachableError.
package inner

import (
	"fmt"
	"time"
)

// Version is the protocol version. Processes with different versions do not connect.
const Version = 3

// Limits of the protocol.
const (
	MaxFrame         = 16 << 20 // bytes of a message and its attachment; fits a job of 160 base64-encoded bodies of 64 KiB
	handshakeTimeout = 5 * time.Second
	outboxCapacity   = 1 << 16 // maximum of unsent notifications to a peer; one more closes the connection
)

// Role is the kind of a process.
type Role string

// Roles of processes.
const (
	RoleEntry Role = "Entry"
	RoleAgent Role = "Agent"
)

// Identity describes a process to its peers.
type Identity struct {
	Role        Role
	Name        string
	Incarnation string // unique to one run of the process
	Region      string
	DataCentre  string
	Rack        string
	Address     string // where an entry listens for its peers
}

// VersionError reports a peer with another protocol version.
type VersionError struct {
	Peer string
	Got  int
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("connect to %s: peer uses protocol version %d, this process uses version %d; "+
		"upgrade the older one", e.Peer, e.Got, Version)
}

// SelfError reports an address at which the process reaches itself.
type SelfError struct{ Address string }

// Error implements error.
func (e *SelfError) Error() string {
	return fmt.Sprintf("connect to %s: it is an address of this process", e.Address)
}

// FrameTooLargeError reports a message that is larger than the limit. The sender's is MaxFrame; a receiver's is lower in a
// process with little memory, and before the handshake.
type FrameTooLargeError struct{ Size, Limit uint64 }

// Error implements error.
func (e *FrameTooLargeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d bytes", e.Size, e.Limit)
}

// HandshakeError reports a connection whose first message was not a valid Hello.
type HandshakeError struct {
	Peer string
	Want string
}

// Error implements error.
func (e *HandshakeError) Error() string {
	return fmt.Sprintf("handshake with %s: invalid first message, want %s", e.Peer, e.Want)
}

// UnreachableError reports a call whose connection was lost before the response arrived. The call may have taken
// effect.
type UnreachableError struct {
	Peer   string
	Method string
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("call %s of %s: connection lost", e.Method, e.Peer)
}

// RemoteError reports a call to which the peer replied with an error.
type RemoteError struct {
	Peer    string
	Method  string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("call %s of %s: %s", e.Method, e.Peer, e.Message)
}
