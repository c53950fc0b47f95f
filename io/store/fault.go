package store

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Limits are the rate limits that Memory enforces. A rate of 0 means no limit.
type Limits struct {
	WritesPerSecond int // rows and objects written
	ReadsPerSecond  int // rows read by Get, objects read, lists, and each 100 rows listed
}

// DefaultLimits are the rate limits of the platform: several hundred writes and about 2,000 reads a second.
var DefaultLimits = Limits{WritesPerSecond: 500, ReadsPerSecond: 2000}

// rowsPerRead is the number of rows returned by List that count as one read, in addition to the one of the call.
const rowsPerRead = 100

// Faults configures the faults that Memory injects. The zero value injects none.
type Faults struct {
	Down          bool          // every operation fails without effect
	Delay         time.Duration // before every operation, which takes effect even if its context has ended
	LostResponses float64       // share of the operations, from 0 to 1, that take effect but whose response is lost
}

// Validate returns a RequestError if a value is out of range.
func (f Faults) Validate() error {
	switch {
	case f.LostResponses < 0 || f.LostResponses > 1:
		return errors.WithStack(&RequestError{Operation: "set faults", Reason: "LostAnswers must be from 0 to 1"})
	case f.Delay < 0 || f.Delay > time.Minute:
		return errors.WithStack(&RequestError{Operation: "set faults", Reason: "Delay must be from 0 to 1m"})
	}
	return nil
}
