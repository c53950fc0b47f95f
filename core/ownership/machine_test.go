package ownership_test

import (
	"flag"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

func pickRandom[V any](s *simulation, m map[string]V) V {
	return sorted(m)[s.random.IntN(len(m))]
}

// eligibleCount returns the number of live entries that are not draining.
func (s *simulation) eligibleCount() (count int) {
	for _, n := range s.entries {
		if !n.dead && !n.draining {
			count++
		}
	}
	return count
}

// submitRandomKeys submits a new key and recent keys, whose starts may still be in flight, to all entries. It
// repeats itself until submitting is false.
func (s *simulation) submitRandomKeys() {
	if !s.submitting {
		return
	}
	id := task.JobID{Customer: "c", Key: fmt.Sprint(s.random.Uint32())}
	s.keys = append(s.keys, id)
	if o := pickRandom(s, s.entries).owners[id.Shard()]; o != nil && s.random.IntN(2) == 0 {
		s.tickets[id] = shard.Ticket{Shard: id.Shard(), Epoch: o.epoch}
	}
	for range 8 {
		age := min(s.random.IntN(len(s.keys)), s.random.IntN(len(s.keys)), s.random.IntN(40))
		for _, n := range sorted(s.entries) {
			s.submit(n, s.keys[len(s.keys)-1-age])
		}
	}
	s.after(s.randomDuration(100*time.Millisecond), s.submitRandomKeys)
}

func (s *simulation) kill(n *entryNode) { n.dead = true }

func (s *simulation) restart(n *entryNode) {
	if n.dead && s.entries[n.name] == n {
		s.startEntry(n.name)
	}
}

func (s *simulation) drain(n *entryNode) {
	if !n.dead && !n.draining && s.eligibleCount() > 1 {
		n.draining = true
		s.perform(n, n.ownership.Drain(s.now))
	}
}

func (s *simulation) cutLink(a, b string, later func(func())) {
	link := [2]string{min(a, b), max(a, b)}
	if s.cutLinks[link] || a == b {
		return
	}
	set := func(cut bool) {
		s.cutLinks[link] = cut
		for _, end := range [][2]string{{a, b}, {b, a}} {
			n, agent := s.entries[end[0]], s.agents[end[1]]
			switch {
			case n == nil || agent == nil:
			case cut:
				s.disconnect(n, agent)
			default:
				s.connect(n, agent)
			}
		}
	}
	set(true)
	later(func() { set(false) })
}

// stateMachine returns the rapid state machine: random failures and submissions, then a period without either, after
// which every shard must have exactly one owner.
func stateMachine(mutate func(*simulation)) func(*rapid.T) {
	return func(t *rapid.T) {
		s := newSimulation(rapid.Uint64().Draw(t, "seed"))
		mutate(s)
		for i := range rapid.IntRange(2, 5).Draw(t, "agents") {
			s.startAgent(fmt.Sprintf("agent-%d", i))
		}
		for i := range rapid.IntRange(2, 4).Draw(t, "entries") {
			s.startEntry(fmt.Sprintf("entry-%d", i))
		}
		s.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "start")) * time.Millisecond)
		s.submitting = true
		s.submitRandomKeys()
		step := func(fn func()) func(*rapid.T) {
			return func(t *rapid.T) {
				fn()
				s.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait")) * time.Millisecond)
			}
		}
		// Most failures end by themselves, so that several overlap but the region recovers.
		later := func(fn func()) { s.after(s.randomDuration(4*time.Second), fn) }
		actions := map[string]func(*rapid.T){
			"kill entry": step(func() {
				n := pickRandom(s, s.entries)
				s.kill(n)
				later(func() { s.restart(n) })
			}),
			"pause entry": step(func() {
				if n := pickRandom(s, s.entries); n.pausedUntil.Before(s.now) {
					n.pausedUntil = s.now.Add(s.randomDuration(5 * time.Second))
				}
			}),
			"drain entry": step(func() { s.drain(pickRandom(s, s.entries)) }),
			"new agent":   step(func() { s.startAgent(fmt.Sprintf("agent-%d", len(s.agents))) }),
			"drain agent": step(func() { s.drainAgent(pickRandom(s, s.agents)) }),
			"peer link":   step(func() { s.cutLink(pickRandom(s, s.entries).name, pickRandom(s, s.entries).name, later) }),
			"agent link":  step(func() { s.cutLink(pickRandom(s, s.entries).name, pickRandom(s, s.agents).name, later) }),
			"messages":    step(func() { s.lossy = true; later(func() { s.lossy = false }) }),
			"store down":  step(func() { s.storeDown = true; later(func() { s.storeDown = false }) }),
			"store slow":  step(func() { s.storeSlow = true; later(func() { s.storeSlow = false }) }),
		}
		// A lost agent keeps all recoveries incomplete, which leaves much of the protocol unused. Therefore only some
		// runs restart agents.
		if rapid.Bool().Draw(t, "agents fail") {
			actions["restart agent"] = step(func() {
				a := pickRandom(s, s.agents)
				s.stopAgent(a)
				later(func() {
					if s.agents[a.name] == a {
						s.startAgent(a.name)
					}
				})
			})
		}
		actions[""] = func(t *rapid.T) {
			if s.failure != "" {
				t.Fatal(s.failure)
			}
		}
		t.Repeat(actions)
		s.heal()
		s.checkOwners()
		if s.failure != "" {
			t.Fatal(s.failure)
		}
	}
}

// heal stops submissions and waits until all failures have ended. It removes the rows of dead agents, as happens in
// production after the retention window.
func (s *simulation) heal() {
	s.submitting = false
	s.run(6 * time.Second)
	for key, row := range s.registry {
		if a := s.agents[row.Agent]; !row.Left && (a.dead || a.incarnation != row.Incarnation) {
			delete(s.registry, key)
		}
	}
	s.run(15 * time.Second)
	s.reportHigherEpochs()
	s.run(5 * time.Second)
}

// reportHigherEpochs reports to each owner the epochs of agents that are higher than its own. Such an agent would
// refuse the owner's starts: an entry that has since died may have fenced it after the owner's recovery.
func (s *simulation) reportHigherEpochs() {
	for _, n := range sorted(s.entries) {
		for _, id := range slices.Sorted(maps.Keys(n.owners)) {
			for _, a := range sorted(s.agents) {
				if o := n.owners[id]; o != nil && !a.dead && !n.dead && o.epoch.Less(a.epochs[id]) {
					s.perform(n, n.ownership.ObserveEpoch(s.now, id, a.epochs[id]))
				}
			}
		}
	}
}

// checkOwners requires that every shard has one owner with complete recovery, which all entries and agents accept.
func (s *simulation) checkOwners() {
	for i := range shard.Count {
		id := shard.ID(i)
		var owners []string
		for _, n := range s.entries {
			if o := n.owners[id]; o != nil && !n.dead {
				owners = append(owners, n.name)
				for _, a := range s.agents {
					if !a.dead && o.epoch.Less(a.epochs[id]) {
						s.fail("agent %s refuses the owner of shard %d: owner's epoch %v, agent's %v",
							a.name, id, o.epoch, a.epochs[id])
					}
				}
				if !o.complete || o.drained || len(o.forward) > 0 {
					s.fail("%s owns shard %d: complete %t, drained %t, forwarded keys %v; want complete, not drained, none",
						n.name, id, o.complete, o.drained, o.forward)
				}
			}
		}
		if len(owners) != 1 {
			s.fail("shard %d has owners %v", id, owners)
			continue
		}
		for _, n := range s.entries {
			if entry, _, ok := n.ownership.Owner(id); !n.dead && (!ok || entry != owners[0]) {
				s.fail("%s reports %q, %t as the owner of shard %d, want %s", n.name, entry, ok, id, owners[0])
			}
		}
	}
	for _, n := range s.entries {
		if n.draining && !n.dead {
			s.fail("%s did not finish draining", n.name)
		}
	}
}

// Guards against a key that starts twice, which runs a customer's task twice, and against a shard without an owner,
// whose submissions are refused.
func TestNoKeyStartsTwiceAndEveryShardGetsOneOwner(t *testing.T) {
	rapid.Check(t, stateMachine(func(*simulation) {}))
}

// Guards against a state machine test that passes although the protocol is broken: without either of these two parts
// of the protocol, keys start twice.
func TestStateMachineDetectsProtocolMutations(t *testing.T) {
	for name, mutate := range map[string]func(*simulation){
		"agents without the registration handshake": func(s *simulation) { s.skipRegistration = true },
		"owner that ignores fences":                 func(s *simulation) { s.ignoreFences = true },
	} {
		t.Run(name, func(t *testing.T) {
			for flagName, value := range map[string]string{
				"rapid.nofailfile": "true", "rapid.shrinktime": "0s", "rapid.seed": "1", "rapid.checks": "1000",
			} {
				before := flag.Lookup(flagName).Value.String()
				if err := flag.Set(flagName, value); err != nil {
					t.Fatal(err)
				}
				defer func() { _ = flag.Set(flagName, before) }()
			}
			recorder := &failureRecorder{TB: t}
			done := make(chan struct{})
			go func() {
				defer close(done)
				rapid.Check(recorder, stateMachine(mutate))
			}()
			<-done
			if !recorder.failed {
				t.Error("the state machine did not detect the mutation")
			}
			t.Log(recorder.text)
		})
	}
}

// failureRecorder records the failure of a property that is expected to fail, without failing the test.
type failureRecorder struct {
	rapid.TB
	failed bool
	text   string
}

func (r *failureRecorder) Errorf(format string, args ...any) {
	r.failed, r.text = true, r.text+fmt.Sprintf(format, args...)
}

func (r *failureRecorder) Fatalf(format string, args ...any) { r.Errorf(format, args...); r.FailNow() }
func (r *failureRecorder) Fail()                             { r.failed = true }
func (r *failureRecorder) FailNow()                          { r.failed = true; runtime.Goexit() }
func (r *failureRecorder) Failed() bool                      { return r.failed }
