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
	return history{heads: make([]Heads, 1), snapshots: []Snapshot{NewSnapshot(Versions{}, nil, nil)}}
}

func (h *history) last() (Heads, Snapshot) {
	return h.heads[len(h.heads)-1], h.snapshots[len(h.snapshots)-1]
}

// apply appends the state after an edit if the edit is accepted.
func (h *history) apply(e Edit) error {
	heads, snapshot := h.last()
	decision, err := Prepare(snapshot, heads, PendingEdit{Edit: e})
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

// drawHistory draws edits of only a few rows, so that many of them change the same row.
func drawHistory(t *rapid.T) history {
	h := newHistory()
	n := rapid.IntRange(1, 3*MaxRecentEdits).Draw(t, "edits")
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
		_ = h.apply(e) // refused edits are not part of the history
	}
	return h
}

// deliver updates the replica to one state of the history, by heads, by a snapshot or by a pull from a peer.
func (h history) deliver(t *rapid.T, r *Replica, index int) {
	heads, snapshot := h.heads[index], h.snapshots[index]
	switch rapid.IntRange(0, 2).Draw(t, "way") {
	case 0:
		if _, gap := r.ApplyHeads(heads); gap {
			r.Merge(snapshot)
		}
	case 1:
		r.Merge(snapshot)
	case 2:
		peer := NewReplica()
		if _, gap := peer.ApplyHeads(heads); gap {
			peer.Merge(snapshot)
		}
		if _, err := r.ApplyPull(peer.PullResponse(r.Snapshot().Versions)); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against versions that decrease, and against applied edits that give other rows than a full read.
func TestReplicaNeverRevertsAndDeltasMatchFullReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		r := NewReplica()
		newest := 0
		for range rapid.IntRange(1, 20).Draw(t, "deliveries") {
			index := rapid.IntRange(0, len(h.heads)-1).Draw(t, "index")
			h.deliver(t, r, index)
			newest = max(newest, index)
			if got, want := r.Snapshot(), h.snapshots[newest]; !reflect.DeepEqual(got, want) {
				t.Fatalf("after state %d: got %v, want %v", index, got, want)
			}
		}
		if n := r.Notification(); len(n.Previous.TablesNewerThan(n.Versions)) > 0 {
			t.Fatalf("previous versions are newer in %v", n)
		}
	})
}

type mergeFunc func(current, candidate Snapshot) (Snapshot, []Name)

// checkVersionsNeverDecrease returns an error if merging the candidates in the given order lowers a version.
func checkVersionsNeverDecrease(merge mergeFunc, candidates []Snapshot) error {
	current := NewSnapshot(Versions{}, nil, nil)
	for _, c := range candidates {
		after, _ := merge(current, c)
		if lower := current.Versions.TablesNewerThan(after.Versions); len(lower) > 0 {
			return errors.Newf("%v went from %v to %v", lower, current.Versions, after.Versions)
		}
		current = after
	}
	return nil
}

// Guards against a merge that takes an older version of a table. To show that the check detects this, it must reject
// each of several faulty merge functions.
func TestMergeTakesOnlyHigherVersions(t *testing.T) {
	mutants := map[string]mergeFunc{
		"any version": func(_, candidate Snapshot) (Snapshot, []Name) {
			return candidate, []Name{Routes, Pools}
		},
		"both tables if one is higher": func(current, candidate Snapshot) (Snapshot, []Name) {
			if changed := candidate.Versions.TablesNewerThan(current.Versions); len(changed) > 0 {
				return candidate, changed
			}
			return current, nil
		},
	}
	rejected := map[string]bool{}
	rapid.Check(t, func(t *rapid.T) {
		candidates := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Snapshot {
			version := rapid.Uint64Range(0, 5)
			return NewSnapshot(Versions{Routes: version.Draw(t, "routes"), Pools: version.Draw(t, "pools")}, nil, nil)
		})).Draw(t, "candidates")
		if err := checkVersionsNeverDecrease(Merge, candidates); err != nil {
			t.Fatal(err)
		}
		for name, mutant := range mutants {
			rejected[name] = rejected[name] || checkVersionsNeverDecrease(mutant, candidates) != nil
		}
	})
	for name := range mutants {
		if !rejected[name] {
			t.Errorf("the check accepts a merge that takes %s", name)
		}
	}
}
