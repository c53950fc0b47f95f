package inner

import (
	"time"

	"dogwoodglade/core/evacuation"
)

// Evacuations is the state of the evacuations as sent between processes.
type Evacuations struct {
	Position uint64            // in the store
	Versions map[string]uint64 `cbor:",omitempty"` // of the operators' rows, by data centre
	// ReadAfter is the KeepAlive.ReadStore after which an agent read the state from the store; 0 if it was not asked to.
	ReadAfter time.Duration `cbor:",omitempty"`
}

// EvacuationsOf encodes a state. It returns nil if nothing is known.
func EvacuationsOf(s evacuation.State) *Evacuations {
	if s.Position() == 0 {
		return nil
	}
	return &Evacuations{Position: s.Position(), Versions: s.Versions()}
}

// State decodes the state. That of a missing one is older than any other.
func (x *Evacuations) State() evacuation.State {
	if x == nil {
		return evacuation.State{}
	}
	return evacuation.NewState(x.Position, x.Versions)
}

// Evacuations sends an entry the evacuations that an agent knows, and the KeepAlive.ReadStore after which it read them from
// the store, or 0. Entries of earlier versions ignore the message.
func (p *Peer) Evacuations(s evacuation.State, readAfter time.Duration) bool {
	x := EvacuationsOf(s)
	if x == nil {
		return true
	}
	x.ReadAfter = readAfter
	return p.notifyCBOR(methodEvacuations, x)
}
