package table

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
)

// history is a sequence of accepted edits with the state after each.
type history struct {
	heads     []Heads
	snapshots []Snapshot
}

func newHistory() history {
	return history{heads: make([]Heads, 1), snapshots: []Snapshot{New(Versions{}, nil, nil)}}
}

func (h *history) last() (Heads, Snapshot) {
	return h.heads[len(h.heads)-1], h.snapshots[len(h.snapshots)-1]
}

// edit appends the state after an edit, if it is accepted.
func (h *history) edit(e Edit) error {
	heads, snapshot := h.last()
	decision, err := Prepare(snapshot, heads, Draft{Edit: e})
	if err != nil {
		return err
	}
	commit, ok := decision.(Commit)
	if !ok {
		return nil
	}
	if e.Table == Routes {
		heads.Routes = commit.Head
	} else {
		heads.Pools = commit.Head
	}
	after, err := snapshot.Apply(commit.Edit)
	if err != nil {
		return err
	}
	h.heads = append(h.heads, heads)
	h.snapshots = append(h.snapshots, after)
	return nil
}

// drawHistory draws edits of few rows, so that many of them touch the same row.
func drawHistory(t *rapid.T) history {
	h := newHistory()
	n := rapid.IntRange(1, 3*RecentEdits).Draw(t, "edits")
	for i := range n {
		id := fmt.Sprintf("e%d", i)
		poolName := rapid.SampledFrom([]string{"p1", "p2", "p3"}).Draw(t, "pool")
		routeName := rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "route")
		e := rapid.SampledFrom([]Edit{
			SetPool(id, pool.New(poolName).WithSlots(i)),
			SetRoute(id, route.New(routeName, poolName)),
			Delete(id, Pools, poolName),
			Delete(id, Routes, routeName),
		}).Draw(t, "edit")
		_ = h.edit(e) // a refused edit is no part of the history
	}
	return h
}

// deliver offers the state at one moment of the history to the replica.
func (h history) deliver(t *rapid.T, r *Replica, moment int) {
	heads, snapshot := h.heads[moment], h.snapshots[moment]
	switch rapid.IntRange(0, 2).Draw(t, "way") {
	case 0:
		if _, gap := r.Polled(heads); gap {
			r.Adopt(snapshot)
		}
	case 1:
		r.Adopt(snapshot)
	case 2:
		peer := NewReplica()
		if _, gap := peer.Polled(heads); gap {
			peer.Adopt(snapshot)
		}
		if _, err := r.Pulled(peer.Answer(r.Snapshot().Versions)); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against versions that revert, and against deltas that lead to other rows than a full read.
func TestAdoptionNeverRevertsAndDeltasAgreeWithFullReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		r := NewReplica()
		at := 0
		for range rapid.IntRange(1, 20).Draw(t, "deliveries") {
			moment := rapid.IntRange(0, len(h.heads)-1).Draw(t, "moment")
			h.deliver(t, r, moment)
			at = max(at, moment)
			if got, want := r.Snapshot(), h.snapshots[at]; !reflect.DeepEqual(got, want) {
				t.Fatalf("after moment %d: got %v, want %v", moment, got, want)
			}
		}
		if n := r.Notification(); len(n.Previous.Newer(n.Versions)) > 0 {
			t.Fatalf("previous versions are newer in %v", n)
		}
	})
}

type adoption func(current, candidate Snapshot) (Snapshot, []Name)

// reverted reports whether adopting the candidates in their order ever lowers a version.
func reverted(adopt adoption, candidates []Snapshot) error {
	current := New(Versions{}, nil, nil)
	for _, c := range candidates {
		after, _ := adopt(current, c)
		if lower := current.Versions.Newer(after.Versions); len(lower) > 0 {
			return errors.Newf("%v went from %v to %v", lower, current.Versions, after.Versions)
		}
		current = after
	}
	return nil
}

// Guards against adoption rules that take an older version. The check itself is proved by mutations of
// the rule, each of which it must reject.
func TestAdoptTakesOnlyHigherVersions(t *testing.T) {
	mutants := map[string]adoption{
		"any version": func(_, candidate Snapshot) (Snapshot, []Name) {
			return candidate, []Name{Routes, Pools}
		},
		"both tables if one is higher": func(current, candidate Snapshot) (Snapshot, []Name) {
			if changed := candidate.Versions.Newer(current.Versions); len(changed) > 0 {
				return candidate, changed
			}
			return current, nil
		},
	}
	rejected := map[string]bool{}
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Snapshot {
			version := rapid.Uint64Range(0, 5)
			return New(Versions{Routes: version.Draw(t, "routes"), Pools: version.Draw(t, "pools")}, nil, nil)
		})).Draw(t, "candidates")
		if err := reverted(Adopt, candidates); err != nil {
			t.Fatal(err)
		}
		for name, mutant := range mutants {
			rejected[name] = rejected[name] || reverted(mutant, candidates) != nil
		}
	})
	for name := range mutants {
		if !rejected[name] {
			t.Errorf("the check accepts adoption of %s", name)
		}
	}
}
