package tables

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	"dogwoodglade/core/table"
	"dogwoodglade/io/store"
)

// model is the sequential specification of the tables: three routes to the pools p and q, of which q may
// be deleted. A route is 0 if absent, else 2*Attempts, plus 1 if it goes to q.
type model struct {
	routes, pools uint64 // versions
	rows          [3]int
	q             bool
}

type input struct {
	read     bool
	edit     table.Edit
	expected uint64
}

type output struct {
	state   model // of a read
	version uint64
	reason  string // "" for an accepted edit
	current uint64 // named by a conflict
}

func rowIndex(name string) int { return int(name[1] - '0') }

func (m model) version(n table.Name) uint64 {
	return table.Versions{Routes: m.routes, Pools: m.pools}.Of(n)
}

// verdict returns why the model refuses an edit, or "".
func (m model) verdict(in input) string {
	e := in.edit
	switch {
	case in.expected > 0 && in.expected != m.version(e.Table):
		return "Conflict"
	case e.Route != nil && e.Route.Pool == "q" && !m.q:
		return "MissingPool"
	case e.Table == table.Routes && e.Deletes() && m.rows[rowIndex(e.Row)] == 0,
		e.Table == table.Pools && e.Deletes() && !m.q:
		return "NotFound"
	case e.Table == table.Pools && e.Deletes():
		for _, row := range m.rows {
			if row%2 == 1 {
				return "PoolInUse"
			}
		}
	}
	return ""
}

func (m model) apply(e table.Edit) model {
	switch {
	case e.Table == table.Pools:
		m.q = !e.Deletes()
		m.pools++
		return m
	case e.Deletes():
		m.rows[rowIndex(e.Row)] = 0
	default:
		m.rows[rowIndex(e.Row)] = encodeRoute(*e.Route)
	}
	m.routes++
	return m
}

func encodeRoute(r route.Route) int {
	if r.Pool == "q" {
		return 2*r.Attempts + 1
	}
	return 2 * r.Attempts
}

func step(state, in, out any) (bool, any) {
	m, i, o := state.(model), in.(input), out.(output)
	verdict := ""
	if !i.read {
		verdict = m.verdict(i)
	}
	switch o.reason {
	case "":
		if i.read {
			return m == o.state, m
		}
		after := m.apply(i.edit)
		return verdict == "" && after.version(i.edit.Table) == o.version, after
	case "OutcomeUnknown": // linearized at the end if it had no effect
		if verdict == "" {
			return true, m.apply(i.edit)
		}
		return true, m
	case "Unavailable", "RateLimited":
		return true, m
	case "Conflict": // without an expected version: another edit of the same row came first
		return i.expected == 0 || verdict == "Conflict" && m.version(i.edit.Table) == o.current, m
	}
	return verdict == o.reason, m
}

// race runs operators on several entries while the store fails, and returns the history.
type race struct {
	site    *site
	clock   atomic.Int64
	mu      sync.Mutex
	history []porcupine.Operation
}

func (r *race) record(client int, in input, call int64, out output) {
	ends := r.clock.Add(1)
	if out.reason == "OutcomeUnknown" {
		ends = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: ends})
}

func (r *race) operator(client int, random *rand.Rand) {
	entry := r.site.entries[client%len(r.site.entries)]
	for i := range 12 {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		call := r.clock.Add(1)
		if random.IntN(4) == 0 {
			r.read(client, call)
			continue
		}
		in := drawInput(fmt.Sprintf("c%d-%d", client, i), random, entry.Current().Versions)
		ctx, cancel := context.WithTimeout(r.site.t.Context(), time.Duration(100+random.IntN(3000))*time.Millisecond)
		accepted, err := entry.Edit(ctx, in.edit, in.expected)
		cancel()
		out := output{version: accepted.Version}
		if err != nil {
			out.reason = Reason(err)
		}
		var conflict *table.ConflictError
		if errors.As(err, &conflict) {
			out.current = conflict.Current
		}
		r.record(client, in, call, out)
	}
}

func drawInput(id string, random *rand.Rand, seen table.Versions) input {
	row := fmt.Sprintf("r%d", random.IntN(3))
	target := []string{"p", "q"}[random.IntN(2)]
	e := []table.Edit{
		table.SetRoute(id, route.New(row, target).WithAttempts(1+random.IntN(10))),
		table.SetRoute(id, route.New(row, target).WithAttempts(1+random.IntN(10))),
		table.Delete(id, table.Routes, row),
		table.SetPool(id, pool.New("q")),
		table.Delete(id, table.Pools, "q"),
	}[random.IntN(5)]
	in := input{edit: e}
	if random.IntN(2) == 0 {
		in.expected = seen.Of(e.Table)
	}
	return in
}

// read reads the rows from the store, past the entries. A read that fails is no part of the history.
func (r *race) read(client int, call int64) {
	rows, err := r.site.store.List(r.site.t.Context(), store.TablesPrefix)
	if err != nil {
		return
	}
	s, err := decodeAll(rows)
	if err != nil {
		r.site.t.Error(err)
		return
	}
	m := model{routes: s.state.Versions.Routes, pools: s.state.Versions.Pools}
	_, m.q = s.state.Pools["q"]
	for name, row := range s.state.Routes {
		m.rows[rowIndex(name)] = encodeRoute(row)
	}
	r.record(client, input{read: true}, call, output{state: m})
}

// fail injects faults at random until the context ends.
func (r *race) fail(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, time.Duration(random.IntN(1500))*time.Millisecond) {
		r.site.fault([]store.Faults{
			{},
			{Down: true},
			{LostAnswers: 0.5},
			{Delay: time.Duration(random.IntN(800)) * time.Millisecond},
			{Delay: 200 * time.Millisecond, LostAnswers: 0.3},
		}[random.IntN(5)])
	}
}

// runRace returns the history of one race over the table service that wrap makes of the store.
func runRace(t *testing.T, seed uint64, wrap func(store.Table) store.Table) (history []porcupine.Operation) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, seed, true)
		s.service = wrap(s.store)
		s.startMany(3)
		s.edit(s.entries[0], table.SetPool("p", pool.New("p")))
		r := &race{site: s}
		ctx, cancel := context.WithCancel(t.Context())
		go r.fail(ctx, rand.New(rand.NewPCG(seed, 1)))
		var operators sync.WaitGroup
		for client := range 5 {
			random := rand.New(rand.NewPCG(seed, uint64(client+2)))
			operators.Go(func() { r.operator(client, random) })
		}
		operators.Wait()
		cancel()
		synctest.Wait()
		s.fault(store.Faults{})
		time.Sleep(5 * time.Second)
		r.read(0, r.clock.Add(1))
		history = r.history
	})
	return history
}

func linearizable(history []porcupine.Operation) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(porcupine.Model{
		Init: func() any { return model{pools: 1} },
		Step: step,
	}, history, time.Minute)
}

// Guards against edits that are lost, applied twice or reported falsely when operators race and the
// store's answers get lost.
func TestEditHistoryIsLinearizable(t *testing.T) {
	reasons := map[string]int{}
	for seed := range uint64(60) {
		history := runRace(t, seed, func(store store.Table) store.Table { return store })
		for _, op := range history {
			if !op.Input.(input).read {
				reasons[op.Output.(output).reason]++
			}
		}
		if result := linearizable(history); result != porcupine.Ok {
			for _, op := range history {
				t.Logf("%d %d %+v %+v", op.Call, op.Return, op.Input, op.Output)
			}
			t.Fatalf("seed %d: the check of the history says %s", seed, result)
		}
	}
	t.Logf("edits by outcome: %v", reasons)
	for _, reason := range []string{"", "Conflict", "OutcomeUnknown", "Unavailable", "MissingPool", "PoolInUse"} {
		if reasons[reason] == 0 {
			t.Errorf("no edit ended with %q, so the race does not test it", reason)
		}
	}
}

// uncheckedTable commits transactions without their checks.
type uncheckedTable struct{ store.Table }

func (u uncheckedTable) Commit(ctx context.Context, t store.Transaction) (uint64, error) {
	t.Checks = nil
	return u.Table.Commit(ctx, t)
}

// forgetfulTable commits heads without edit IDs, so that an own edit is not recognised.
type forgetfulTable struct{ store.Table }

func (f forgetfulTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	rows, err := f.Table.Get(ctx, keys...)
	for i := range rows {
		rows[i].Value = forgetIDs(rows[i].Value)
	}
	return rows, err
}

func forgetIDs(head []byte) []byte {
	var h table.Head
	if decodeRow(store.Row{Value: head}, &h) != nil {
		return head
	}
	for i := range h.Recent {
		h.Recent[i].ID = "forgotten"
	}
	data, err := json.Marshal(h)
	if err != nil {
		return head
	}
	return data
}

// Guards against a check of histories that accepts anything: it must reject transactions without their
// checks and edits that are applied twice.
func TestLinearizabilityCheckRejectsFaultyStores(t *testing.T) {
	for name, wrap := range map[string]func(store.Table) store.Table{
		"unchecked": func(store store.Table) store.Table { return uncheckedTable{store} },
		"forgetful": func(store store.Table) store.Table { return forgetfulTable{store} },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(60) {
				if linearizable(runRace(t, seed, wrap)) == porcupine.Illegal {
					t.Logf("rejected with seed %d", seed)
					return
				}
			}
			t.Fatal("no history was rejected")
		})
	}
}
