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

// model is the sequential specification of the tables: up to three routes and the pools p and q, of which q may be
// deleted. A route is encoded as 0 if it does not exist, else as 2*Attempts, plus 1 if its pool is q.
type model struct {
	routesVersion, poolsVersion uint64
	encodedRoutes               [3]int
	hasPoolQ                    bool
}

type input struct {
	read            bool
	edit            table.Edit
	expectedVersion uint64
}

type output struct {
	state          model // of a read
	version        uint64
	errorType      string // "" for an accepted edit
	currentVersion uint64 // as reported by a ConflictError
}

func rowIndex(name string) int { return int(name[1] - '0') }

func (m model) version(n table.Name) uint64 {
	return table.Versions{Routes: m.routesVersion, Pools: m.poolsVersion}.Of(n)
}

// refusal returns the error type with which the model refuses an edit, or "" if it accepts the edit.
func (m model) refusal(in input) string {
	e := in.edit
	switch {
	case in.expectedVersion > 0 && in.expectedVersion != m.version(e.Table):
		return "Conflict"
	case e.Route != nil && e.Route.Pool == "q" && !m.hasPoolQ:
		return "MissingPool"
	case e.Table == table.Routes && e.Deletes() && m.encodedRoutes[rowIndex(e.Row)] == 0,
		e.Table == table.Pools && e.Deletes() && !m.hasPoolQ:
		return "NotFound"
	case e.Table == table.Pools && e.Deletes():
		for _, row := range m.encodedRoutes {
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
		m.hasPoolQ = !e.Deletes()
		m.poolsVersion++
		return m
	case e.Deletes():
		m.encodedRoutes[rowIndex(e.Row)] = 0
	default:
		m.encodedRoutes[rowIndex(e.Row)] = encodeRoute(*e.Route)
	}
	m.routesVersion++
	return m
}

func encodeRoute(r route.Route) int {
	if r.Pool == "q" {
		return 2*r.Attempts + 1
	}
	return 2 * r.Attempts
}

// step is the porcupine step function of model.
func step(state, in, out any) (bool, any) {
	m, i, o := state.(model), in.(input), out.(output)
	refusal := ""
	if !i.read {
		refusal = m.refusal(i)
	}
	switch o.errorType {
	case "":
		if i.read {
			return m == o.state, m
		}
		after := m.apply(i.edit)
		return refusal == "" && after.version(i.edit.Table) == o.version, after
	case "OutcomeUnknown": // an edit without effect can be linearized at the end, where it changes no other output
		if refusal == "" {
			return true, m.apply(i.edit)
		}
		return true, m
	case "Unavailable", "RateLimited":
		return true, m
	case "Conflict": // without an expected version, another edit of the same row was accepted first
		return i.expectedVersion == 0 || refusal == "Conflict" && m.version(i.edit.Table) == o.currentVersion, m
	}
	return refusal == o.errorType, m
}

// editRace runs concurrent operators on several entries while the store fails, and records the history.
type editRace struct {
	cluster *cluster
	clock   atomic.Int64
	mu      sync.Mutex
	history []porcupine.Operation
}

func (r *editRace) record(client int, in input, call int64, out output) {
	ends := r.clock.Add(1)
	if out.errorType == "OutcomeUnknown" {
		ends = math.MaxInt64
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: ends})
}

func (r *editRace) runOperator(client int, random *rand.Rand) {
	entry := r.cluster.entries[client%len(r.cluster.entries)]
	for i := range 12 {
		time.Sleep(time.Duration(random.IntN(400)) * time.Millisecond)
		call := r.clock.Add(1)
		if random.IntN(4) == 0 {
			r.read(client, call)
			continue
		}
		in := randomInput(fmt.Sprintf("c%d-%d", client, i), random, entry.Current().Versions)
		ctx, cancel := context.WithTimeout(r.cluster.t.Context(), time.Duration(100+random.IntN(3000))*time.Millisecond)
		accepted, err := entry.Edit(ctx, in.edit, in.expectedVersion)
		cancel()
		out := output{version: accepted.Version}
		if err != nil {
			out.errorType = ErrorType(err)
		}
		var conflict *table.ConflictError
		if errors.As(err, &conflict) {
			out.currentVersion = conflict.Current
		}
		r.record(client, in, call, out)
	}
}

func randomInput(id string, random *rand.Rand, seen table.Versions) input {
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
		in.expectedVersion = seen.Of(e.Table)
	}
	return in
}

// read reads the rows directly from the store, without an entry. A failed read is not part of the history.
func (r *editRace) read(client int, call int64) {
	rows, err := r.cluster.store.List(r.cluster.t.Context(), store.TablesPrefix)
	if err != nil {
		return
	}
	s, err := decodeAll(rows)
	if err != nil {
		r.cluster.t.Error(err)
		return
	}
	m := model{routesVersion: s.snapshot.Versions.Routes, poolsVersion: s.snapshot.Versions.Pools}
	_, m.hasPoolQ = s.snapshot.Pools["q"]
	for name, row := range s.snapshot.Routes {
		m.encodedRoutes[rowIndex(name)] = encodeRoute(row)
	}
	r.record(client, input{read: true}, call, output{state: m})
}

// injectFaults changes the faults of the store at random until the context ends.
func (r *editRace) injectFaults(ctx context.Context, random *rand.Rand) {
	for sleep(ctx, time.Duration(random.IntN(1500))*time.Millisecond) {
		r.cluster.setFaults([]store.Faults{
			{},
			{Down: true},
			{LostResponses: 0.5},
			{Delay: time.Duration(random.IntN(800)) * time.Millisecond},
			{Delay: 200 * time.Millisecond, LostResponses: 0.3},
		}[random.IntN(5)])
	}
}

// runRace runs one editRace on the wrapped store and returns its history.
func runRace(t *testing.T, seed uint64, wrap func(store.Table) store.Table) (history []porcupine.Operation) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, seed, true)
		c.service = wrap(c.store)
		c.startEntries(3)
		c.edit(c.entries[0], table.SetPool("p", pool.New("p")))
		r := &editRace{cluster: c}
		ctx, cancel := context.WithCancel(t.Context())
		go r.injectFaults(ctx, rand.New(rand.NewPCG(seed, 1)))
		var operators sync.WaitGroup
		for client := range 5 {
			random := rand.New(rand.NewPCG(seed, uint64(client+2)))
			operators.Go(func() { r.runOperator(client, random) })
		}
		operators.Wait()
		cancel()
		synctest.Wait()
		c.setFaults(store.Faults{})
		time.Sleep(5 * time.Second)
		r.read(0, r.clock.Add(1))
		history = r.history
	})
	return history
}

func linearizable(history []porcupine.Operation) porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(porcupine.Model{
		Init: func() any { return model{poolsVersion: 1} },
		Step: step,
	}, history, time.Minute)
}

// Guards against edits that are lost, applied twice or reported with a wrong outcome while operators edit concurrently
// and the store's responses are lost.
func TestEditHistoryIsLinearizable(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(60) {
		history := runRace(t, seed, func(store store.Table) store.Table { return store })
		for _, op := range history {
			if !op.Input.(input).read {
				outcomes[op.Output.(output).errorType]++
			}
		}
		if result := linearizable(history); result != porcupine.Ok {
			for _, op := range history {
				t.Logf("%d %d %+v %+v", op.Call, op.Return, op.Input, op.Output)
			}
			t.Fatalf("seed %d: the linearizability check of the history returned %s", seed, result)
		}
	}
	t.Logf("edits by outcome: %v", outcomes)
	for _, outcome := range []string{"", "Conflict", "OutcomeUnknown", "Unavailable", "MissingPool", "PoolInUse"} {
		if outcomes[outcome] == 0 {
			t.Errorf("no edit ended with outcome %q, so the test does not cover it", outcome)
		}
	}
}

// uncheckedTable commits transactions without their checks.
type uncheckedTable struct{ store.Table }

func (u uncheckedTable) Commit(ctx context.Context, t store.Transaction) (uint64, error) {
	t.Checks = nil
	return u.Table.Commit(ctx, t)
}

// tableWithoutIDs overwrites the edit IDs in the heads that it returns, so that an edit that was accepted before is
// not recognised.
type tableWithoutIDs struct{ store.Table }

func (t tableWithoutIDs) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	rows, err := t.Table.Get(ctx, keys...)
	for i := range rows {
		rows[i].Value = overwriteIDs(rows[i].Value)
	}
	return rows, err
}

func overwriteIDs(head []byte) []byte {
	var h table.Head
	if decodeRow(store.Row{Value: head}, &h) != nil {
		return head
	}
	for i := range h.Recent {
		h.Recent[i].ID = "overwritten"
	}
	data, err := json.Marshal(h)
	if err != nil {
		return head
	}
	return data
}

// Guards against a linearizability check that accepts anything: it must reject a store that ignores the checks of
// transactions, and edits that are applied twice because their IDs are not recognised.
func TestLinearizabilityCheckRejectsFaultyStores(t *testing.T) {
	for name, wrap := range map[string]func(store.Table) store.Table{
		"ignores checks":   func(store store.Table) store.Table { return uncheckedTable{store} },
		"without edit IDs": func(store store.Table) store.Table { return tableWithoutIDs{store} },
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
