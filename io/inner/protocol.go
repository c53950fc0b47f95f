// Package inner speaks the protocol between the project's own processes: JSON-RPC 2.0 over TCP in frames of
// bounded size, after a versioned handshake.
//
// It owns the connections to the other processes and the form of their messages. Entries and agents call
// the methods of Peer to send, and implement EntryHandler or AgentHandler to receive. Notifications of one
// connection are handled in the order in which they were sent; calls are handled concurrently. If the peer
// fails, its connection closes, the handler's Disconnected is called, and calls in progress end with an
// UnreachableError.
package inner

import (
	"fmt"
	"time"
)

// Version is the version of the protocol. Processes of different versions refuse each other.
const Version = 3

// Bounds of the protocol.
const (
	MaxFrame         = 16 << 20 // bytes of one message; a job of 160 bodies of 64 KiB in base64 fits
	handshakeTimeout = 5 * time.Second
	outboxCapacity   = 1 << 16 // messages that wait for a slow peer before its connection is closed
)

// Role is the kind of a process.
type Role string

// Roles of processes.
const (
	RoleEntry Role = "Entry"
	RoleAgent Role = "Agent"
)

// Identity is what a process tells its peers about itself.
type Identity struct {
	Role        Role
	Name        string
	Incarnation string // unique to one run of the process
	Region      string
	DataCentre  string
	Rack        string
	Address     string // where an entry listens for its peers
}

// VersionError reports a peer that speaks another version of the protocol.
type VersionError struct {
	Peer string
	Got  int
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("connect to %s: it speaks protocol version %d, this process speaks version %d; "+
		"upgrade the older of the two", e.Peer, e.Got, Version)
}

// FrameError reports a message over the bound of the protocol.
type FrameError struct{ Size uint64 }

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds %d bytes", e.Size, MaxFrame)
}

// HandshakeError reports a connection whose first message was not a valid Hello.
type HandshakeError struct {
	Peer string
	Want string
}

// Error implements error.
func (e *HandshakeError) Error() string {
	return fmt.Sprintf("handshake with %s: want %s", e.Peer, e.Want)
}

// UnreachableError reports a call whose answer cannot arrive any more. The call may have taken effect.
type UnreachableError struct {
	Peer   string
	Method string
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("call %s of %s: the connection was lost", e.Method, e.Peer)
}

// RemoteError reports a call that the peer refused.
type RemoteError struct {
	Peer    string
	Method  string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("call %s of %s: %s", e.Method, e.Peer, e.Message)
}
