package bench

import (
	"slices"

	"dogwoodglade/core/allocator"
)

// credits is the baseline in which every entry asks every agent for slots, and an agent gives a free slot
// to the first that asked. An entry gives credits that it cannot use back.
type credits struct {
	w       *world
	waiting [][]*work // per entry
	asked   [][]int   // per entry and agent: credits asked for, not received, not withdrawn
	queues  [][]int   // per agent: entries in the order of their asks, one element per slot
}

func newCredits(w *world) policy {
	c := &credits{w: w, waiting: make([][]*work, w.site.entries), queues: make([][]int, len(w.servers))}
	for range w.site.entries {
		c.asked = append(c.asked, make([]int, len(w.servers)))
	}
	return c
}

func (c *credits) place(j *job, tasks []*work) {
	if j.never {
		c.w.refuse(j)
		return
	}
	c.waiting[j.owner] = append(c.waiting[j.owner], tasks...)
	c.ask(j.owner)
}

// ask raises the demand at every agent to the number of waiting tasks, at most all its slots.
func (c *credits) ask(entry int) {
	for _, s := range c.w.servers {
		more := min(len(c.waiting[entry]), c.w.site.slots) - c.asked[entry][s.index]
		if more <= 0 {
			continue
		}
		c.asked[entry][s.index] += more
		c.w.send(func() {
			for range more {
				c.queues[s.index] = append(c.queues[s.index], entry)
			}
			c.next(s)
		})
	}
}

// next gives each free slot to the entry that asked first. The slot is held until it is used or returned.
func (c *credits) next(s *server) {
	for s.free > 0 && len(c.queues[s.index]) > 0 {
		entry := c.queues[s.index][0]
		c.queues[s.index] = c.queues[s.index][1:]
		s.free--
		c.w.send(func() { c.credit(entry, s) })
	}
}

// credit uses a slot at an entry.
func (c *credits) credit(entry int, s *server) {
	c.asked[entry][s.index] = max(c.asked[entry][s.index]-1, 0) // 0 if a withdrawal crossed it
	for len(c.waiting[entry]) > 0 {
		t := c.waiting[entry][0]
		c.waiting[entry] = c.waiting[entry][1:]
		if t.job.state == open {
			c.w.start(s, t)
			c.ask(entry)
			c.withdraw(entry)
			return
		}
	}
	c.w.waste(2) // the credit and its return
	c.w.send(func() {
		s.free++
		c.next(s)
	})
}

// withdraw takes back demand that is no longer needed once no task waits.
func (c *credits) withdraw(entry int) {
	if len(c.waiting[entry]) > 0 {
		return
	}
	for _, s := range c.w.servers {
		if c.asked[entry][s.index] > 0 {
			c.asked[entry][s.index] = 0
			c.w.waste(1)
			c.w.send(func() { c.forget(entry, s) })
		}
	}
}

// forget removes the demand of an entry from the queue of an agent, when the withdrawal arrives. Credits
// that crossed it are returned one by one.
func (c *credits) forget(entry int, s *server) {
	c.queues[s.index] = slices.DeleteFunc(c.queues[s.index], func(e int) bool { return e == entry })
}

func (c *credits) arrived(s *server, t *work) {
	s.free++ // it was held for this task
	if t.dropped {
		c.next(s)
		return
	}
	c.w.run(s, t)
}

func (c *credits) released(s *server, _ *work, _ allocator.Outcome) { c.next(s) }

func (c *credits) abandon(*job) {}
