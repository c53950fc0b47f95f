package home

import (
	"time"

	"dogwoodglade/internal/uniform"
)

const (
	// moveDelay is how long an agent that has a home prefers another entry before it moves there. The entries that it knows
	// change several times while entries start or are lost.
	moveDelay = 2 * time.Second
	// evacuationMoveSpread is the time over which agents move after a change of the evacuations. All of them learn of it
	// within some 100 ms, and an agent that moves is not available until its new home has its first report.
	evacuationMoveSpread = 4 * time.Second
)

// MoveDelay returns how long an agent that has a home prefers another entry before it moves there, given whether that is
// because a data centre was evacuated or an evacuation was taken back.
func MoveDelay(agent string, evacuationsChanged bool) time.Duration {
	if !evacuationsChanged {
		return moveDelay
	}
	return moveDelay + time.Duration(uniform.FromString(agent+"\x00move")*float64(evacuationMoveSpread))
}
