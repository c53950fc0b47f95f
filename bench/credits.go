package bench

import (
	"slices"

	"dogwoodglade/core/allocator"
)

// creditPolicy is a baseline in which every entry requests credits from every agent, and each agent grants a
// credit for a free slot to the entry that requested first. Entries return credits that they cannot use.
type creditPolicy struct {
	sim       *simulation
	waiting   [][]*task // per entry
	requested [][]int   // per entry and agent: credits requested and neither received nor withdrawn
	queues    [][]int   // per agent: entries in the order of their requests, one element per credit
}

func newCreditPolicy(sim *simulation) policy {
	c := &creditPolicy{sim: sim, waiting: make([][]*task, sim.site.entries), queues: make([][]int, len(sim.servers))}
	for range sim.site.entries {
		c.requested = append(c.requested, make([]int, len(sim.servers)))
	}
	return c
}

func (c *creditPolicy) place(j *job, tasks []*task) {
	if j.emptyPool {
		c.sim.refuseJob(j)
		return
	}
	c.waiting[j.owner] = append(c.waiting[j.owner], tasks...)
	c.requestCredits(j.owner)
}

// requestCredits requests credits from every agent for the waiting tasks of the entry, up to the number of
// slots of each agent.
func (c *creditPolicy) requestCredits(entry int) {
	for _, s := range c.sim.servers {
		more := min(len(c.waiting[entry]), c.sim.site.slots) - c.requested[entry][s.index]
		if more <= 0 {
			continue
		}
		c.requested[entry][s.index] += more
		c.sim.send(func() {
			for range more {
				c.queues[s.index] = append(c.queues[s.index], entry)
			}
			c.grantNext(s)
		})
	}
}

// grantNext grants a credit for each free slot to the entries that requested first. The slot is reserved
// until the credit is used or returned.
func (c *creditPolicy) grantNext(s *server) {
	for s.free > 0 && len(c.queues[s.index]) > 0 {
		entry := c.queues[s.index][0]
		c.queues[s.index] = c.queues[s.index][1:]
		s.free--
		c.sim.send(func() { c.useCredit(entry, s) })
	}
}

// useCredit handles a credit at an entry: it starts the first waiting task of an open job, or returns the
// credit if there is none.
func (c *creditPolicy) useCredit(entry int, s *server) {
	c.requested[entry][s.index] = max(c.requested[entry][s.index]-1, 0) // already 0 if a withdrawal was in transit
	for len(c.waiting[entry]) > 0 {
		t := c.waiting[entry][0]
		c.waiting[entry] = c.waiting[entry][1:]
		if t.job.state == open {
			c.sim.startTask(s, t)
			c.requestCredits(entry)
			c.withdrawRequests(entry)
			return
		}
	}
	c.sim.countWasted(2) // the credit and its return
	c.sim.send(func() {
		s.free++
		c.grantNext(s)
	})
}

// withdrawRequests withdraws the credit requests of an entry when none of its tasks wait any more.
func (c *creditPolicy) withdrawRequests(entry int) {
	if len(c.waiting[entry]) > 0 {
		return
	}
	for _, s := range c.sim.servers {
		if c.requested[entry][s.index] > 0 {
			c.requested[entry][s.index] = 0
			c.sim.countWasted(1)
			c.sim.send(func() { c.removeRequests(entry, s) })
		}
	}
}

// removeRequests handles a withdrawal at an agent: it removes the requests of the entry from the queue. The
// entry returns credits that were in transit.
func (c *creditPolicy) removeRequests(entry int, s *server) {
	c.queues[s.index] = slices.DeleteFunc(c.queues[s.index], func(e int) bool { return e == entry })
}

func (c *creditPolicy) handleStart(s *server, t *task) {
	s.free++ // the slot was reserved for this task
	if t.cancelled {
		c.grantNext(s)
		return
	}
	c.sim.runTask(s, t)
}

func (c *creditPolicy) slotFreed(s *server, _ *task, _ allocator.Outcome) { c.grantNext(s) }

func (c *creditPolicy) jobClosed(*job) {}
