package table

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
)

func exampleHistory(t *testing.T) history {
	t.Helper()
	h := newHistory()
	for _, e := range []Edit{
		SetPool("e1", pool.New("p1")), SetPool("e2", pool.New("p2")), SetRoute("e3", route.New("r1", "p1")),
		SetRoute("e4", route.New("r2", "p1")),
	} {
		if err := h.apply(e); err != nil {
			t.Fatal(err)
		}
	}
	return h
}

// Guards against edits that leave a route without its pool, overwrite an edit that the operator has not seen, or are
// applied twice.
func TestPrepare(t *testing.T) {
	newRoute := SetRoute("n", route.New("r3", "p2"))
	changed := SetRoute("n", route.New("r2", "p2"))
	tests := map[string]struct {
		pending PendingEdit
		want    any // the version of a Commit, AlreadyAccepted or an error
	}{
		"add":              {PendingEdit{Edit: newRoute}, uint64(3)},
		"expected version": {PendingEdit{Edit: newRoute, ExpectedVersion: 2}, uint64(3)},
		"outdated version": {PendingEdit{Edit: newRoute, ExpectedVersion: 1}, &ConflictError{Routes, "r3", 1, 2}},
		"same row edited since": {
			PendingEdit{Edit: changed, HasBase: true, BaseVersion: 1},
			&ConflictError{Routes, "r2", 1, 2},
		},
		"other row edited":  {PendingEdit{Edit: newRoute, HasBase: true, BaseVersion: 1}, uint64(3)},
		"missing pool":      {PendingEdit{Edit: SetRoute("n", route.New("r1", "p9"))}, &MissingPoolError{"r1", "p9"}},
		"pool in use":       {PendingEdit{Edit: Delete("n", Pools, "p1")}, &PoolInUseError{"p1", []string{"r1", "r2"}}},
		"unused pool":       {PendingEdit{Edit: Delete("n", Pools, "p2")}, uint64(3)},
		"delete absent row": {PendingEdit{Edit: Delete("n", Routes, "r9")}, &RowNotFoundError{Routes, "r9"}},
		"accepted before":   {PendingEdit{Edit: SetPool("e1", pool.New("p1")), OutcomeUnknown: true}, AlreadyAccepted{}},
		"edit ID reused":    {PendingEdit{Edit: SetPool("e1", pool.New("p3"))}, &EditIDReusedError{"e1"}},
		"row of another table": {
			PendingEdit{Edit: Edit{ID: "n", Table: Pools, Row: "r3", Route: newRoute.Route}},
			&EditError{},
		},
		"no edit ID": {PendingEdit{Edit: Delete("", Routes, "r1")}, &EditError{}},
		"invalid column": {
			PendingEdit{Edit: SetRoute("n", route.New("r3", "p1").WithAttempts(99))},
			&route.ColumnError{},
		},
		"outcome unknown": {
			PendingEdit{Edit: newRoute, OutcomeUnknown: true, HasBase: true, BaseVersion: 1},
			uint64(3),
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			heads, snapshot := func() (Heads, Snapshot) { h := exampleHistory(t); return h.last() }()
			decision, err := Prepare(snapshot, heads, test.pending)
			checkDecision(t, decision, err, test.want)
		})
	}
}

func checkDecision(t *testing.T, decision Decision, err error, want any) {
	t.Helper()
	switch want := want.(type) {
	case uint64:
		commit, ok := decision.(Commit)
		if !ok || commit.Edit.Version != want || commit.Head.Version != want {
			t.Fatalf("got %+v, %v, want a commit of version %d", decision, err, want)
		}
	case AlreadyAccepted:
		if accepted, ok := decision.(AlreadyAccepted); !ok || accepted.Edit.Version != 1 {
			t.Fatalf("got %+v, %v, want the accepted edit", decision, err)
		}
	case error:
		if !errors.As(err, reflect.New(reflect.TypeOf(want)).Interface()) {
			t.Fatalf("got %+v, %v, want error %T", decision, err, want)
		}
		if !reflect.ValueOf(want).Elem().IsZero() && err.Error() != want.Error() {
			t.Fatalf("got %v, want %v", err, want)
		}
	}
}

// Guards against heads that grow without limit, and against reads of recent edits that silently omit dropped ones.
func TestHeadIsBoundedAndReportsGaps(t *testing.T) {
	h := exampleHistory(t)
	for i := range 2 * MaxRecentEdits {
		if err := h.apply(SetRoute(fmt.Sprintf("n%d", i), route.New("r1", "p2"))); err != nil {
			t.Fatal(err)
		}
	}
	heads, snapshot := h.last()
	if n := len(heads.Routes.Recent); n != MaxRecentEdits {
		t.Fatalf("the head has %d edits", n)
	}
	if _, ok := heads.Since(Versions{Routes: heads.Routes.Version - MaxRecentEdits - 1, Pools: 2}); ok {
		t.Fatal("a gap was not reported")
	}
	_, err := Prepare(snapshot, heads, PendingEdit{Edit: SetPool("n", pool.New("p4")), OutcomeUnknown: true})
	if err != nil {
		t.Fatal(err)
	}
	_, err = Prepare(snapshot, heads,
		PendingEdit{Edit: SetRoute("x", route.New("r9", "p1")), HasBase: true, OutcomeUnknown: true})
	checkDecision(t, nil, err, &OutcomeUnknownError{"x", 0})
	wide := pool.New("p5")
	for i := range 3000 {
		wide = wide.WithShare(fmt.Sprintf("customer-%d", i), 1)
	}
	for i := range 10 {
		if err := h.apply(SetPool(fmt.Sprintf("w%d", i), wide)); err != nil {
			t.Fatal(err)
		}
	}
	heads, _ = h.last()
	if n := len(heads.Pools.Recent); n < 1 || n > 4 {
		t.Fatalf("the head has %d wide edits", n)
	}
}

// Guards against pulls from a peer that is not ahead, and against a missed notification that is not detected.
func TestChoosePull(t *testing.T) {
	h := exampleHistory(t)
	r := NewReplica()
	r.ApplyHeads(h.heads[3])
	at := r.Snapshot().Versions
	r.RecordNotification("behind", Notification{Versions: h.snapshots[1].Versions})
	if pull, ok := r.ChoosePull(); ok {
		t.Fatalf("chose %+v although no peer is ahead", pull)
	}
	next := Notification{Versions: h.snapshots[4].Versions, Previous: at}
	r.RecordNotification("next", next)
	if pull, _ := r.ChoosePull(); pull != (Pull{Peer: "next", Since: at}) {
		t.Fatalf("chose %+v", pull)
	}
	r.RecordNotification("far", Notification{
		Versions: Versions{Routes: 9, Pools: 9}, Previous: Versions{Routes: 8, Pools: 9},
	})
	if pull, _ := r.ChoosePull(); pull != (Pull{Peer: "far", Since: at, Gap: true}) {
		t.Fatalf("chose %+v", pull)
	}
	r.ForgetPeer("far")
	if pull, _ := r.ChoosePull(); pull.Peer != "next" {
		t.Fatalf("chose %+v", pull)
	}
}
