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

func pick[V any](w *world, m map[string]V) V {
	return sorted(m)[w.random.IntN(len(m))]
}

func (w *world) heirs() (count int) {
	for _, n := range w.nodes {
		if !n.dead && !n.draining {
			count++
		}
	}
	return count
}

// submitSome sends a new key, and resubmits recent ones, whose starts may be in flight, to all entries.
func (w *world) submitSome() {
	if !w.submitting {
		return
	}
	id := task.JobID{Customer: "c", Key: fmt.Sprint(w.random.Uint32())}
	w.keys = append(w.keys, id)
	if j := pick(w, w.nodes).jobs[id.Shard()]; j != nil && w.random.IntN(2) == 0 {
		w.tickets[id] = shard.Ticket{Shard: id.Shard(), Epoch: j.epoch}
	}
	for range 8 {
		age := min(w.random.IntN(len(w.keys)), w.random.IntN(len(w.keys)), w.random.IntN(40))
		for _, n := range sorted(w.nodes) {
			w.submit(n, w.keys[len(w.keys)-1-age])
		}
	}
	w.after(w.upTo(100*time.Millisecond), w.submitSome)
}

func (w *world) kill(n *node) { n.dead = true }

func (w *world) restart(n *node) {
	if n.dead && w.nodes[n.name] == n {
		w.startEntry(n.name)
	}
}

func (w *world) drain(n *node) {
	if !n.dead && !n.draining && w.heirs() > 1 {
		n.draining = true
		w.perform(n, n.own.Drain(w.now))
	}
}

func (w *world) cutLink(a, b string, later func(func())) {
	link := [2]string{min(a, b), max(a, b)}
	if w.cut[link] || a == b {
		return
	}
	set := func(cut bool) {
		w.cut[link] = cut
		for _, end := range [][2]string{{a, b}, {b, a}} {
			n, agent := w.nodes[end[0]], w.agents[end[1]]
			switch {
			case n == nil || agent == nil:
			case cut:
				w.disconnect(n, agent)
			default:
				w.connect(n, agent)
			}
		}
	}
	set(true)
	later(func() { set(false) })
}

// machine is the rapid state machine: random failures and submissions, then a quiet time after which every
// shard has one owner.
func machine(mutate func(*world)) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		mutate(w)
		for i := range rapid.IntRange(2, 5).Draw(t, "agents") {
			w.startAgent(fmt.Sprintf("agent-%d", i))
		}
		for i := range rapid.IntRange(2, 4).Draw(t, "entries") {
			w.startEntry(fmt.Sprintf("entry-%d", i))
		}
		w.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "start")) * time.Millisecond)
		w.submitting = true
		w.submitSome()
		step := func(fn func()) func(*rapid.T) {
			return func(t *rapid.T) {
				fn()
				w.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait")) * time.Millisecond)
			}
		}
		// Most failures end by themselves, so that several of them overlap but the region comes back.
		later := func(fn func()) { w.after(w.upTo(4*time.Second), fn) }
		actions := map[string]func(*rapid.T){
			"kill entry": step(func() {
				n := pick(w, w.nodes)
				w.kill(n)
				later(func() { w.restart(n) })
			}),
			"pause entry": step(func() {
				if n := pick(w, w.nodes); n.paused.Before(w.now) {
					n.paused = w.now.Add(w.upTo(5 * time.Second))
				}
			}),
			"drain entry": step(func() { w.drain(pick(w, w.nodes)) }),
			"new agent":   step(func() { w.startAgent(fmt.Sprintf("agent-%d", len(w.agents))) }),
			"drain agent": step(func() { w.drainAgent(pick(w, w.agents)) }),
			"peer link":   step(func() { w.cutLink(pick(w, w.nodes).name, pick(w, w.nodes).name, later) }),
			"agent link":  step(func() { w.cutLink(pick(w, w.nodes).name, pick(w, w.agents).name, later) }),
			"messages":    step(func() { w.lossy = true; later(func() { w.lossy = false }) }),
			"store down":  step(func() { w.down = true; later(func() { w.down = false }) }),
			"store slow":  step(func() { w.slow = true; later(func() { w.slow = false }) }),
		}
		// A lost agent makes all recoveries incomplete, so that little else can happen.
		if rapid.Bool().Draw(t, "agents fail") {
			actions["restart agent"] = step(func() {
				a := pick(w, w.agents)
				w.stopAgent(a)
				later(func() {
					if w.agents[a.name] == a {
						w.startAgent(a.name)
					}
				})
			})
		}
		actions[""] = func(t *rapid.T) {
			if w.fault != "" {
				t.Fatal(w.fault)
			}
		}
		t.Repeat(actions)
		w.heal()
		w.checkOwners()
		if w.fault != "" {
			t.Fatal(w.fault)
		}
	}
}

// heal waits for the end of all failures. Rows of dead agents are removed, as they are after the retention
// window.
func (w *world) heal() {
	w.submitting = false
	w.run(6 * time.Second)
	for key, row := range w.registry {
		if a := w.agents[row.Agent]; !row.Left && (a.dead || a.inc != row.Incarnation) {
			delete(w.registry, key)
		}
	}
	w.run(15 * time.Second)
	w.probe()
	w.run(5 * time.Second)
}

// probe tells each owner which agents would refuse its starts: an entry that died may have fenced some of
// them after the owner's recovery.
func (w *world) probe() {
	for _, n := range sorted(w.nodes) {
		for _, id := range slices.Sorted(maps.Keys(n.jobs)) {
			for _, a := range sorted(w.agents) {
				if j := n.jobs[id]; j != nil && !a.dead && !n.dead && j.epoch.Less(a.epochs[id]) {
					w.perform(n, n.own.Superseded(w.now, id, a.epochs[id]))
				}
			}
		}
	}
}

func (w *world) checkOwners() {
	for i := range shard.Count {
		id := shard.ID(i)
		var owners []string
		for _, n := range w.nodes {
			if j := n.jobs[id]; j != nil && !n.dead {
				owners = append(owners, n.name)
				for _, a := range w.agents {
					if !a.dead && j.epoch.Less(a.epochs[id]) {
						w.fail("agent %s refuses the owner of shard %d: %v, %v", a.name, id, j.epoch, a.epochs[id])
					}
				}
				if !j.complete || j.drained || len(j.forward) > 0 {
					w.fail("%s owns shard %d: complete %t, drained %t, forwards %v", n.name, id, j.complete, j.drained, j.forward)
				}
			}
		}
		if len(owners) != 1 {
			w.fail("shard %d has owners %v", id, owners)
			continue
		}
		for _, n := range w.nodes {
			if entry, _, ok := n.own.Owner(id); !n.dead && (!ok || entry != owners[0]) {
				w.fail("%s takes %q, %t for the owner of shard %d, want %s", n.name, entry, ok, id, owners[0])
			}
		}
	}
	for _, n := range w.nodes {
		if n.draining && !n.dead {
			w.fail("%s does not finish its drain", n.name)
		}
	}
}

// A second start of a key duplicates a customer's task; a shard without an owner refuses its customers.
func TestNoSecondStartAndOneOwnerAtLast(t *testing.T) {
	rapid.Check(t, machine(func(*world) {}))
}

// Without these parts of the protocol keys start twice. If the machine did not see it, it would prove nothing.
func TestMachineRejectsMutations(t *testing.T) {
	for name, mutate := range map[string]func(*world){
		"agents without the registration handshake": func(w *world) { w.noHandshake = true },
		"owner that ignores fences":                 func(w *world) { w.ignoreFences = true },
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
			probe := &failureProbe{TB: t}
			done := make(chan struct{})
			go func() {
				defer close(done)
				rapid.Check(probe, machine(mutate))
			}()
			<-done
			if !probe.failed {
				t.Error("the mutation passes")
			}
			t.Log(probe.text)
		})
	}
}

// failureProbe takes the failure of a property that must fail.
type failureProbe struct {
	rapid.TB
	failed bool
	text   string
}

func (p *failureProbe) Errorf(format string, args ...any) {
	p.failed, p.text = true, p.text+fmt.Sprintf(format, args...)
}
func (p *failureProbe) Fatalf(format string, args ...any) { p.Errorf(format, args...); p.FailNow() }
func (p *failureProbe) Fail()                             { p.failed = true }
func (p *failureProbe) FailNow()                          { p.failed = true; runtime.Goexit() }
func (p *failureProbe) Failed() bool                      { return p.failed }
