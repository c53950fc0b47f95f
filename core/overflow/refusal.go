package overflow

import (
	"slices"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
)

// maxOffers limits how many entries a job is offered to before its caller is told that it is refused. Each offer costs
// two messages and a round trip, and under a general overload the last ones fail as well.
const maxOffers = 3

// Refusals are the entries that have refused a job as Overloaded. The entry that received the job from its caller keeps
// them. It offers the job to no entry twice, so that a job cannot circulate.
type Refusals struct{ entries []string }

// With returns the refusals with one more.
func (r Refusals) With(entry string) Refusals {
	return Refusals{entries: append(slices.Clone(r.entries), entry)}
}

// ChooseAfterRefusal returns another peer for a job that the given entries have refused: one that can start it at once,
// or else one where nothing waits. The excepted ones are not chosen. An entry with a queue is not chosen: it would
// refuse the job as well, or make other jobs late.
func (p *Peers) ChooseAfterRefusal(
	now time.Time, j batch.Job, refused Refusals, except ...string,
) (best string, ok bool) {
	if len(refused.entries) >= maxOffers {
		return "", false
	}
	need := demandOf(j)
	except = slices.Concat(refused.entries, except)
	best, ok = p.draw(now, j.ID, need, capacityWeight, except...)
	if !ok {
		best, ok = p.draw(now, j.ID, need, idleWeight, except...)
	}
	if ok {
		p.countForwarded(best, need)
	}
	return best, ok
}

// idleWeight returns the cores of a peer where nothing waits, and otherwise 0.
func idleWeight(all dispatch.Load, need demand) float64 {
	if predictWait(all, need) > 0 {
		return 0
	}
	return all.Pools[need.pool].Cores
}
