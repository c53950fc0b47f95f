package bench

import (
	"slices"
	"strconv"

	"dogwoodglade/core/allocator"
)

func (s *server) id() string { return "server-" + strconv.Itoa(s.index) }

// queueingPolicy is a baseline in which the owner picks a backend server for each task, and the task waits in
// the queue of that server.
type queueingPolicy struct {
	sim        *simulation
	queues     [][]*task
	pick       func(q *queueingPolicy, t *task, start func(*server))
	lastPicked []int // per owner: position of the latest pick by round robin
}

func newQueueingPolicy(pick func(*queueingPolicy, *task, func(*server))) func(*simulation) policy {
	return func(sim *simulation) policy {
		return &queueingPolicy{
			sim: sim, queues: make([][]*task, len(sim.servers)), pick: pick, lastPicked: make([]int, sim.site.entries),
		}
	}
}

func (q *queueingPolicy) place(j *job, tasks []*task) {
	if j.emptyPool {
		q.sim.refuseJob(j)
		return
	}
	for _, t := range tasks {
		q.pick(q, t, func(s *server) {
			if j.state == open {
				q.sim.startTask(s, t)
			}
		})
	}
}

func (q *queueingPolicy) handleStart(s *server, t *task) {
	q.queues[s.index] = append(q.queues[s.index], t)
	q.startQueued(s)
}

func (q *queueingPolicy) slotFreed(s *server, _ *task, _ allocator.Outcome) { q.startQueued(s) }

// startQueued runs tasks from the head of the queue while the backend server has free slots.
func (q *queueingPolicy) startQueued(s *server) {
	for s.free > 0 && len(q.queues[s.index]) > 0 {
		t := q.queues[s.index][0]
		q.queues[s.index] = q.queues[s.index][1:]
		if !t.cancelled {
			q.sim.runTask(s, t)
		}
	}
}

func (q *queueingPolicy) jobClosed(*job) {}

// load returns the number of tasks that run or wait at a backend server.
func (q *queueingPolicy) load(s *server) int {
	return q.sim.site.slots - s.free + len(q.queues[s.index])
}

// candidates returns the backend servers on which the task has not failed yet.
func (sim *simulation) candidates(t *task) []*server {
	if len(t.avoid) == 0 {
		return sim.servers
	}
	var left []*server
	for _, s := range sim.servers {
		if !slices.Contains(t.avoid, s.id()) {
			left = append(left, s)
		}
	}
	return left
}

func pickRandom(q *queueingPolicy, t *task, start func(*server)) {
	all := q.sim.candidates(t)
	start(all[q.sim.random.IntN(len(all))])
}

func pickRoundRobin(q *queueingPolicy, t *task, start func(*server)) {
	all, owner := q.sim.candidates(t), t.job.owner
	q.lastPicked[owner]++
	start(all[q.lastPicked[owner]%len(all)])
}

// pickShorterOfTwo probes two random backend servers and picks the one with fewer running and waiting tasks
// (the power of two choices).
func pickShorterOfTwo(q *queueingPolicy, t *task, start func(*server)) {
	all := q.sim.candidates(t)
	first := q.sim.random.IntN(len(all))
	second := (first + 1 + q.sim.random.IntN(len(all)-1)) % len(all)
	var loads [2]int
	answered := 0
	for i, s := range []*server{all[first], all[second]} {
		q.sim.send(func() {
			loads[i] = q.load(s)
			q.sim.send(func() {
				if answered++; answered < 2 {
					return
				}
				q.sim.countWasted(2) // probe and reply of the backend server that is not picked
				if loads[1] < loads[0] {
					start(all[second])
				} else {
					start(all[first])
				}
			})
		})
	}
}
