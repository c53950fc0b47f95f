package job_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodglade/core/job"
	"dogwoodglade/core/task"
)

// actions are the steps of the state machine. A step that does not apply does nothing.
var actions = map[string]func(*world){
	"submit":       (*world).stepSubmit,
	"deliver":      (*world).stepDeliver,
	"deliver more": (*world).stepDeliver,
	"deliver most": func(w *world) {
		for range 10 {
			w.stepDeliver()
		}
	},
	"duplicate":  func(w *world) { choose(w, w.net, func(i int) { w.deliverNth(i, w.net[i].from != "net") }) },
	"grant":      (*world).stepGrant,
	"grant more": (*world).stepGrant,
	"refuse ask": rarely(4, func(w *world) { choose(w, w.asks, w.refuseAsk) }),
	"end":        (*world).stepEnd,
	"end more":   (*world).stepEnd,
	"cancel": rarely(4, func(w *world) {
		w.owned(func(o *owner) { w.runOwner(o, o.Cancel(w.now, w.anyKey())) })
	}),
	"resubmit to the successor": (*world).stepResubmit,
	"advance":                   func(w *world) { w.advance(time.Duration(1+w.pick(3)) * tick) },
	"pause":                     rarely(6, func(w *world) { w.owned(func(o *owner) { o.paused = true }) }),
	"resume":                    func(w *world) { choose(w, w.owners, func(i int) { w.owners[i].paused = false }) },
	"take over":                 rarely(10, (*world).stepTakeOver),
	"kill agent":                rarely(12, func(w *world) { w.live(w.kill) }),
	"add agent": rarely(6, func(w *world) {
		if len(w.agents) < 5 {
			w.addAgent()
		}
	}),
	"advance far": rarely(20, func(w *world) { w.advance(3 * time.Second) }),
	"restart backend server": rarely(6, func(w *world) {
		w.live(func(a *agent) {
			a.inc, a.left, a.silent = a.inc+1, false, time.Time{}
			w.announce(a)
		})
	}),
	"backend server leaves": rarely(12, func(w *world) {
		w.live(func(a *agent) {
			a.left = true
			if w.fault != noLeave {
				w.runAgent(a, a.Leave(w.now, "b"+a.name, strconv.Itoa(a.inc)))
			}
		})
	}),
	"backend server is silent": rarely(12, func(w *world) {
		w.live(func(a *agent) {
			if a.silent.IsZero() {
				a.silent = w.now
			}
		})
	}),
	"drain agent": rarely(20, func(w *world) {
		w.live(func(a *agent) {
			w.runAgent(a, a.Drain(w.now))
			if w.fault == hastyExit {
				w.exit(a)
			}
		})
	}),
	"reconnect": rarely(3, func(w *world) {
		w.owned(func(o *owner) { w.live(func(a *agent) { w.reconnect(o, a) }) })
	}),
	"allocator lost": rarely(6, func(w *world) {
		w.asks = nil
		for _, o := range w.owners {
			if !o.paused && !o.dead {
				w.runOwner(o, o.AllocatorLost(w.now, "p"))
			}
		}
	}),
}

// rarely does the step once in n times.
func rarely(n int, step func(*world)) func(*world) {
	return func(w *world) {
		if w.pick(n) == 0 {
			step(w)
		}
	}
}

func (w *world) stepGrant() {
	for range 1 + w.pick(4) {
		choose(w, w.asks, func(i int) { w.live(func(a *agent) { w.grant(i, a) }) })
	}
}

func choose[T any](w *world, from []T, do func(int)) {
	if len(from) > 0 {
		do(w.pick(len(from)))
	}
}

// owned chooses an owner that runs; the latest is as likely as all others together.
func (w *world) owned(do func(*owner)) {
	o := w.owners[len(w.owners)-1]
	if w.pick(2) == 0 {
		o = w.owners[w.pick(len(w.owners))]
	}
	if !o.paused && !o.dead {
		do(o)
	}
}

func (w *world) live(do func(*agent)) {
	if a := w.agents[w.pick(len(w.agents))]; !a.dead {
		do(a)
	}
}

func (w *world) stepSubmit() {
	w.owned(func(o *owner) {
		c := client{idempotent: w.pick(2) == 0, tasks: 1 + w.pick(3)}
		if w.pick(2) == 0 {
			c.ticket = w.owners[w.pick(len(w.owners))].IssueTicket()
		}
		s := job.Submission{Route: "r"}
		if w.pick(8) == 0 {
			s.Bodies = [][]byte{[]byte("other")}
		}
		w.submit(o, w.anyKey(), s, c)
	})
}

// stepResubmit submits a key that an earlier owner works on to the latest owner.
func (w *world) stepResubmit() {
	latest := w.owners[len(w.owners)-1]
	id := w.anyKey()
	earlier := func(o *owner) bool { return o != latest && o.taken[id] != 0 }
	if !latest.paused && !latest.dead && slices.ContainsFunc(w.owners, earlier) {
		w.submit(latest, id, job.Submission{Route: "r"}, client{})
	}
}

func (w *world) stepDeliver() { choose(w, w.net, func(i int) { w.deliverNth(i, false) }) }

func (w *world) stepEnd() {
	w.live(func(a *agent) {
		choose(w, a.running, func(i int) { w.end(a, a.running[i], []int{200, 200, 200, 500, 0}[w.pick(5)]) })
	})
}

// stepTakeOver replaces the latest owner, which may be dead, paused or merely suspected.
func (w *world) stepTakeOver() {
	if len(w.owners) >= 4 {
		return
	}
	o := w.owners[len(w.owners)-1]
	o.dead, o.paused = w.pick(2) == 0, w.pick(2) == 0
	w.takeOver()
}

func (w *world) anyKey() task.JobID { return keys[w.pick(len(keys))] }

// A schedule of failures, delays and resubmissions must not break P1 to P5.
func TestPromisesHoldUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(
			func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") },
			func(text string) { t.Fatal(text) }, noFault)
		steps := map[string]func(*rapid.T){}
		for name, step := range actions {
			steps[name] = func(*rapid.T) { step(w) }
		}
		t.Repeat(steps)
		w.settle()
	})
}

// runSeed runs a random schedule and returns the first violation, if any.
func runSeed(seed uint64, f fault) (violation string, w *world) {
	random := rand.New(rand.NewPCG(seed, 0))
	type violated string
	defer func() {
		if r := recover(); r != nil {
			text, ok := r.(violated)
			if !ok {
				panic(r)
			}
			violation = string(text)
		}
	}()
	w = newWorld(random.IntN, func(text string) { panic(violated(text)) }, f)
	names := slices.Sorted(maps.Keys(actions))
	for range 250 {
		actions[names[random.IntN(len(names))]](w)
	}
	w.settle()
	return "", w
}

// A check that no defect can fail proves nothing: each defect must be found, and none without a defect.
func TestChecksFindDefects(t *testing.T) {
	const seeds, defectSeeds = 3000, 20_000
	for _, f := range []fault{
		noFences, earlyRecovery, noConfirmation, staleConfirm, stickyNotRun, lateConfirm, noReconcile, earlyRefusal, earlyResult, swappedResults, secondReply, retryAll, startTwice,
		noLeave, noSilence, hastyExit,
	} {
		t.Run(string(f), func(t *testing.T) {
			for seed := range uint64(defectSeeds) {
				if violation, _ := runSeed(seed, f); violation != "" {
					t.Logf("seed %d: %s", seed, violation)
					return
				}
			}
			t.Fatalf("no violation in %d seeds", defectSeeds)
		})
	}
	t.Run("no defect", func(t *testing.T) {
		states := map[string]int{}
		for seed := range uint64(seeds) {
			violation, w := runSeed(seed, noFault)
			if violation != "" {
				t.Fatalf("seed %d: %s", seed, violation)
			}
			for _, line := range w.log {
				if len(line) > 0 && line[0] == 'w' {
					states[line[slices.Index([]byte(line), ':')+2:]]++
				}
			}
		}
		t.Logf("answers: %v", states)
		for _, state := range []string{"Complete ", "NotRun Cancelled", "NotRun Overloaded", "Failed TaskFailed", "Failed KeyReused"} {
			if states[state] == 0 {
				t.Errorf("no schedule reached %q", state)
			}
		}
	})
}
