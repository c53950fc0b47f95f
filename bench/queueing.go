package bench

import (
	"slices"
	"strconv"

	"dogwoodglade/core/allocator"
)

func (s *server) id() string { return "server-" + strconv.Itoa(s.index) }

// queueing is the family of baselines whose tasks queue at a backend server that the owner picks.
type queueing struct {
	w      *world
	queues [][]*work
	pick   func(q *queueing, t *work, start func(*server))
	turns  []int // per owner, of round robin
}

func newQueueing(pick func(*queueing, *work, func(*server))) func(*world) policy {
	return func(w *world) policy {
		return &queueing{
			w: w, queues: make([][]*work, len(w.servers)), pick: pick, turns: make([]int, w.site.entries),
		}
	}
}

func (q *queueing) place(j *job, tasks []*work) {
	if j.never {
		q.w.refuse(j)
		return
	}
	for _, t := range tasks {
		q.pick(q, t, func(s *server) {
			if j.state == open {
				q.w.start(s, t)
			}
		})
	}
}

func (q *queueing) arrived(s *server, t *work) {
	q.queues[s.index] = append(q.queues[s.index], t)
	q.next(s)
}

func (q *queueing) released(s *server, _ *work, _ allocator.Outcome) { q.next(s) }

// next starts the tasks at the head of the queue on the free slots.
func (q *queueing) next(s *server) {
	for s.free > 0 && len(q.queues[s.index]) > 0 {
		t := q.queues[s.index][0]
		q.queues[s.index] = q.queues[s.index][1:]
		if !t.dropped {
			q.w.run(s, t)
		}
	}
}

func (q *queueing) abandon(*job) {}

// load is the number of tasks that run or wait at a backend server.
func (q *queueing) load(s *server) int { return q.w.site.slots - s.free + len(q.queues[s.index]) }

// candidates returns the backend servers that have not failed the task, or all if each has.
func (w *world) candidates(t *work) []*server {
	if len(t.avoid) == 0 {
		return w.servers
	}
	var left []*server
	for _, s := range w.servers {
		if !slices.Contains(t.avoid, s.id()) {
			left = append(left, s)
		}
	}
	return left
}

func pickRandom(q *queueing, t *work, start func(*server)) {
	all := q.w.candidates(t)
	start(all[q.w.random.IntN(len(all))])
}

func pickInTurn(q *queueing, t *work, start func(*server)) {
	all, owner := q.w.candidates(t), t.job.owner
	q.turns[owner]++
	start(all[q.turns[owner]%len(all)])
}

// pickShorter asks two random backend servers for their queue lengths and takes the shorter queue.
func pickShorter(q *queueing, t *work, start func(*server)) {
	all := q.w.candidates(t)
	first := q.w.random.IntN(len(all))
	second := (first + 1 + q.w.random.IntN(len(all)-1)) % len(all)
	var loads [2]int
	answered := 0
	for i, s := range []*server{all[first], all[second]} {
		q.w.send(func() {
			loads[i] = q.load(s)
			q.w.send(func() {
				if answered++; answered < 2 {
					return
				}
				q.w.waste(2) // probe and reply of the backend server that is not taken
				if loads[1] < loads[0] {
					start(all[second])
				} else {
					start(all[first])
				}
			})
		})
	}
}
