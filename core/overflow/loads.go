package overflow

import (
	"time"

	"dogwoodglade/core/dispatch"
)

const (
	// MinLoadInterval is the least time between two loads to the same entry.
	MinLoadInterval = 25 * time.Millisecond
	// minWaitChange is the change of a predicted wait that other entries have to know at once.
	minWaitChange = 2 * forwardCost
	// promptLoadRefill is the time in which an entry may send one further prompt load, and maxPromptLoads the number that it
	// may send in a row. Each goes to all other entries. Queues that begin and end all the time would otherwise send four
	// times as many messages as the regular loads.
	promptLoadRefill = 100 * time.Millisecond
	maxPromptLoads   = 4
)

// SentLoads decides when an entry sends its load to the others before the regular interval. The zero value has sent
// nothing.
type SentLoads struct {
	latest   dispatch.Load
	latestAt time.Time
	spent    time.Duration // of the budget for prompt loads when the latest one was sent
}

// Latest returns the load that was last sent, and when.
func (s SentLoads) Latest() (dispatch.Load, time.Time) { return s.latest, s.latestAt }

// WithRegular returns the sent loads with one that was due.
func (s SentLoads) WithRegular(now time.Time, l dispatch.Load) SentLoads {
	return SentLoads{latest: l, latestAt: now, spent: s.spentAt(now)}
}

// WithPrompt returns the sent loads with one that was sent before it was due.
func (s SentLoads) WithPrompt(now time.Time, l dispatch.Load) SentLoads {
	return SentLoads{latest: l, latestAt: now, spent: s.spentAt(now) + promptLoadRefill}
}

// MaySendPrompt reports whether the load may be sent before the regular interval: the other entries would choose
// differently by it, and the budget allows it.
func (s SentLoads) MaySendPrompt(now time.Time, current dispatch.Load) bool {
	return now.Sub(s.latestAt) >= MinLoadInterval && s.spentAt(now) <= (maxPromptLoads-1)*promptLoadRefill &&
		Differs(s.latest, current)
}

func (s SentLoads) spentAt(now time.Time) time.Duration { return max(s.spent-now.Sub(s.latestAt), 0) }

// Differs reports whether a load differs so much from the one that was last sent that other entries would choose
// differently: jobs have begun to wait in a pool or wait no more, or the predicted wait has changed much.
func Differs(sent, current dispatch.Load) bool {
	for name, l := range current.Pools {
		before := sent.Pools[name]
		if (before.Queued > 0) != (l.Queued > 0) || (before.PredictedWait()-l.PredictedWait()).Abs() > minWaitChange {
			return true
		}
	}
	return false
}
