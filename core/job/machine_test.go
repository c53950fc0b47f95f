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

// steps are the steps of the simulation. A step that does not apply does nothing.
var steps = map[string]func(*simulation){
	"submit":       (*simulation).stepSubmit,
	"deliver":      (*simulation).stepDeliver,
	"deliver more": (*simulation).stepDeliver,
	"deliver most": func(sim *simulation) {
		for range 10 {
			sim.stepDeliver()
		}
	},
	"duplicate": func(sim *simulation) {
		withRandomIndex(sim, sim.messages, func(i int) { sim.deliverNth(i, sim.messages[i].from != "net") })
	},
	"grant":      (*simulation).stepGrant,
	"grant more": (*simulation).stepGrant,
	"refuse slot request": oneIn(4, func(sim *simulation) {
		withRandomIndex(sim, sim.slotRequests, sim.refuseSlotRequest)
	}),
	"end":      (*simulation).stepEnd,
	"end more": (*simulation).stepEnd,
	"cancel": oneIn(4, func(sim *simulation) {
		sim.withRandomOwner(func(o *owner) { sim.performOwnerActions(o, o.Cancel(sim.now, sim.randomKey())) })
	}),
	"resubmit to the successor": (*simulation).stepResubmit,
	"advance":                   func(sim *simulation) { sim.advance(time.Duration(1+sim.randomInt(3)) * tick) },
	"pause": oneIn(6, func(sim *simulation) {
		sim.withRandomOwner(func(o *owner) { o.paused = true })
	}),
	"resume": func(sim *simulation) {
		withRandomIndex(sim, sim.owners, func(i int) { sim.owners[i].paused = false })
	},
	"take over":  oneIn(10, (*simulation).stepTakeOver),
	"kill agent": oneIn(12, func(sim *simulation) { sim.withRandomAgent(sim.killAgent) }),
	"add agent": oneIn(6, func(sim *simulation) {
		if len(sim.agents) < 5 {
			sim.addAgent()
		}
	}),
	"advance far": oneIn(20, func(sim *simulation) { sim.advance(3 * time.Second) }),
	"restart backend server": oneIn(6, func(sim *simulation) {
		sim.withRandomAgent(func(a *agent) {
			a.incarnation, a.left, a.noHeartbeatSince = a.incarnation+1, false, time.Time{}
			sim.announce(a)
		})
	}),
	"backend server leaves": oneIn(12, func(sim *simulation) {
		sim.withRandomAgent(func(a *agent) {
			a.left = true
			if sim.defect != ignoreLeave {
				sim.performAgentActions(a, a.Leave(sim.now, "b"+a.name, strconv.Itoa(a.incarnation)))
			}
		})
	}),
	"backend server heartbeats stop": oneIn(12, func(sim *simulation) {
		sim.withRandomAgent(func(a *agent) {
			if a.noHeartbeatSince.IsZero() {
				a.noHeartbeatSince = sim.now
			}
		})
	}),
	"drain agent": oneIn(20, func(sim *simulation) {
		sim.withRandomAgent(func(a *agent) {
			sim.performAgentActions(a, a.Drain(sim.now))
			if sim.defect == exitBeforeDrained {
				sim.exitAgent(a)
			}
		})
	}),
	"reconnect": oneIn(3, func(sim *simulation) {
		sim.withRandomOwner(func(o *owner) { sim.withRandomAgent(func(a *agent) { sim.reconnect(o, a) }) })
	}),
	"allocator lost": oneIn(6, func(sim *simulation) {
		sim.slotRequests = nil
		for _, o := range sim.owners {
			if !o.paused && !o.dead {
				sim.performOwnerActions(o, o.AllocatorLost(sim.now, "p"))
			}
		}
	}),
}

// oneIn returns a step that runs the given step with probability 1/n.
func oneIn(n int, step func(*simulation)) func(*simulation) {
	return func(sim *simulation) {
		if sim.randomInt(n) == 0 {
			step(sim)
		}
	}
}

func (sim *simulation) stepGrant() {
	for range 1 + sim.randomInt(4) {
		withRandomIndex(sim, sim.slotRequests, func(i int) { sim.withRandomAgent(func(a *agent) { sim.grant(i, a) }) })
	}
}

func withRandomIndex[T any](sim *simulation, from []T, do func(int)) {
	if len(from) > 0 {
		do(sim.randomInt(len(from)))
	}
}

// withRandomOwner picks the latest owner or, in half of the cases, any owner, and calls do unless that owner is
// paused or dead.
func (sim *simulation) withRandomOwner(do func(*owner)) {
	o := sim.owners[len(sim.owners)-1]
	if sim.randomInt(2) == 0 {
		o = sim.owners[sim.randomInt(len(sim.owners))]
	}
	if !o.paused && !o.dead {
		do(o)
	}
}

func (sim *simulation) withRandomAgent(do func(*agent)) {
	if a := sim.agents[sim.randomInt(len(sim.agents))]; !a.dead {
		do(a)
	}
}

func (sim *simulation) stepSubmit() {
	sim.withRandomOwner(func(o *owner) {
		options := jobOptions{idempotent: sim.randomInt(2) == 0, tasks: 1 + sim.randomInt(3)}
		if sim.randomInt(2) == 0 {
			options.ticket = sim.owners[sim.randomInt(len(sim.owners))].IssueTicket()
		}
		s := job.Submission{Route: "r"}
		if sim.randomInt(8) == 0 {
			s.Bodies = [][]byte{[]byte("other")}
		}
		sim.submit(o, sim.randomKey(), s, options)
	})
}

// stepResubmit submits to the latest owner a key that an earlier owner has accepted.
func (sim *simulation) stepResubmit() {
	latest := sim.owners[len(sim.owners)-1]
	id := sim.randomKey()
	earlier := func(o *owner) bool { return o != latest && o.firstSubmission[id] != 0 }
	if !latest.paused && !latest.dead && slices.ContainsFunc(sim.owners, earlier) {
		sim.submit(latest, id, job.Submission{Route: "r"}, jobOptions{})
	}
}

func (sim *simulation) stepDeliver() {
	withRandomIndex(sim, sim.messages, func(i int) { sim.deliverNth(i, false) })
}

func (sim *simulation) stepEnd() {
	sim.withRandomAgent(func(a *agent) {
		withRandomIndex(sim, a.running, func(i int) {
			sim.endTask(a, a.running[i], []int{200, 200, 200, 500, 0}[sim.randomInt(5)])
		})
	})
}

// stepTakeOver replaces the latest owner, which may be dead, paused or merely suspected.
func (sim *simulation) stepTakeOver() {
	if len(sim.owners) >= 4 {
		return
	}
	o := sim.owners[len(sim.owners)-1]
	o.dead, o.paused = sim.randomInt(2) == 0, sim.randomInt(2) == 0
	sim.takeOver()
}

func (sim *simulation) randomKey() task.JobID { return keys[sim.randomInt(len(keys))] }

// No sequence of failures, delays and resubmissions may violate the guarantees P1 to P5 (see core/invariant).
func TestGuaranteesHoldUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(
			func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") },
			func(text string) { t.Fatal(text) }, noDefect)
		rapidSteps := map[string]func(*rapid.T){}
		for name, step := range steps {
			rapidSteps[name] = func(*rapid.T) { step(sim) }
		}
		t.Repeat(rapidSteps)
		sim.finish()
	})
}

// runSeed runs a random schedule and returns the first violation, if any.
func runSeed(seed uint64, d defect) (violation string, sim *simulation) {
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
	sim = newSimulation(random.IntN, func(text string) { panic(violated(text)) }, d)
	names := slices.Sorted(maps.Keys(steps))
	for range 250 {
		steps[names[random.IntN(len(names))]](sim)
	}
	sim.finish()
	return "", sim
}

// The simulation must find every deliberate defect, and must report no violation without one.
func TestChecksFindDefects(t *testing.T) {
	const seeds, defectSeeds = 3000, 20_000
	for _, d := range []defect{
		ignoreFences, earlyRecovery, skipConfirmation, confirmStaleEpoch, repeatNotRun, acceptLateConfirmation,
		skipReconcile, earlyRefusal, earlyResult, swappedResults, duplicateReply, treatAllAsIdempotent,
		acceptRepeatedStart, ignoreLeave, keepHeartbeats, exitBeforeDrained,
	} {
		t.Run(string(d), func(t *testing.T) {
			for seed := range uint64(defectSeeds) {
				if violation, _ := runSeed(seed, d); violation != "" {
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
			violation, sim := runSeed(seed, noDefect)
			if violation != "" {
				t.Fatalf("seed %d: %s", seed, violation)
			}
			for _, line := range sim.log { // the line of an answer begins with a waiter, such as "w1: "
				if len(line) > 0 && line[0] == 'w' {
					states[line[slices.Index([]byte(line), ':')+2:]]++
				}
			}
		}
		t.Logf("answers: %v", states)
		for _, state := range []string{
			"Complete ", "NotRun Cancelled", "NotRun Overloaded", "Failed TaskFailed", "Failed KeyReused",
		} {
			if states[state] == 0 {
				t.Errorf("no schedule reached %q", state)
			}
		}
	})
}
