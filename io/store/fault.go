package store

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Limits are the rates that the stand-in accepts. A rate of 0 means no limit.
type Limits struct {
	WritesPerSecond int // rows and objects written
	ReadsPerSecond  int // rows read by Get, objects read, or started hundreds of listed rows
}

// DefaultLimits are the rates of the platform: several hundred writes and about 2,000 reads a second.
var DefaultLimits = Limits{WritesPerSecond: 500, ReadsPerSecond: 2000}

// rowsPerRead is the number of listed rows that count as one read.
const rowsPerRead = 100

// Faults are the faults of the stand-in. The zero value is a service without faults.
type Faults struct {
	Down        bool          // every operation fails without effect
	Delay       time.Duration // before every operation; it takes effect even if the caller has gone
	LostAnswers float64       // share of the operations, from 0 to 1, whose answer is lost after the effect
}

// Validate reports faults out of range.
func (f Faults) Validate() error {
	switch {
	case f.LostAnswers < 0 || f.LostAnswers > 1:
		return errors.WithStack(&RequestError{Operation: "set faults", Reason: "LostAnswers must be from 0 to 1"})
	case f.Delay < 0 || f.Delay > time.Minute:
		return errors.WithStack(&RequestError{Operation: "set faults", Reason: "Delay must be from 0 to 1m"})
	}
	return nil
}
