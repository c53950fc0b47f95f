package inner

import "dogwoodglade/core/evacuation"

// Evacuations is the state of the evacuations as sent between processes.
type Evacuations struct {
	Position uint64            // in the store
	Versions map[string]uint64 `cbor:",omitempty"` // of the operators' rows, by data centre
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

// Evacuations sends an entry the evacuations that an agent knows. Entries of earlier versions ignore the message.
func (p *Peer) Evacuations(s evacuation.State) bool {
	x := EvacuationsOf(s)
	return x == nil || p.notifyCBOR(methodEvacuations, x)
}
