package tables

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"testing"

	"dogwoodglade/core/event"
	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	"dogwoodglade/core/table"
	"dogwoodglade/io/store"
)

var benchmarkRows = []int{10, 100, 1_000, 10_000}

// countedConn counts the bytes of a connection in both directions, including HTTP headers.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// fixture is a Tables without its goroutines that reaches a filled store over HTTP on the loopback interface.
type fixture struct {
	store  *store.Memory
	tables *Tables
	bytes  atomic.Int64
}

func newFixture(b *testing.B, rows int) *fixture {
	b.Helper()
	f := &fixture{store: store.NewMemory(store.Limits{}, rand.New(rand.NewPCG(1, 0)))}
	fill(b, f.store, rows)
	server := httptest.NewServer(store.Handler(f.store))
	b.Cleanup(server.Close)
	client := &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return countedConn{conn, &f.bytes}, nil
		},
	}}
	b.Cleanup(client.CloseIdleConnections)
	f.tables = newTables(Config{
		Platform: store.NewClient(server.Listener.Addr().String(), client),
		Record:   func(event.Event) {},
		Random:   rand.New(rand.NewPCG(1, 1)),
	})
	if err := f.tables.poll(b.Context()); err != nil {
		b.Fatal(err)
	}
	return f
}

// fill writes a tenth of the rows as pools and the others as routes, and heads with as many of the latest edits as a
// head can hold.
func fill(b *testing.B, memory *store.Memory, rows int) {
	b.Helper()
	var heads table.Heads
	pools := max(1, rows/10)
	for i := range rows {
		e := table.SetPool(fmt.Sprintf("edit-%024d", i), pool.New(fmt.Sprintf("pool-%d", i)))
		head, key, row := &heads.Pools, store.PoolPrefix, any(e.Pool)
		if i >= pools {
			e = table.SetRoute(e.ID, route.New(fmt.Sprintf("route-%d", i), fmt.Sprintf("pool-%d", i%pools)))
			head, key, row = &heads.Routes, store.RoutePrefix, any(e.Route)
		}
		var err error
		if *head, err = head.Append(e); err != nil {
			b.Fatal(err)
		}
		write(b, memory, key+e.Row, row)
	}
	write(b, memory, store.RoutesHeadKey, heads.Routes)
	write(b, memory, store.PoolsHeadKey, heads.Pools)
}

func write(b *testing.B, memory *store.Memory, key string, value any) {
	b.Helper()
	data, err := json.Marshal(value)
	if err != nil {
		b.Fatal(err)
	}
	transaction := store.Transaction{Writes: []store.Write{{Key: key, Value: data}}}
	if _, err := memory.Commit(b.Context(), transaction); err != nil {
		b.Fatal(err)
	}
}

func (f *fixture) edit(b *testing.B, editor *Tables, i int) {
	b.Helper()
	r := route.New("route-edited", "pool-0").WithMaxBody(1 + i%1000)
	if _, err := editor.Edit(b.Context(), table.SetRoute(fmt.Sprintf("edit-%024d", 1_000_000+i), r), 0); err != nil {
		b.Fatal(err)
	}
}

// measure runs the benchmark loop and reports the time and the bytes on the wire per operation.
func measure(b *testing.B, f *fixture, operation func(i int)) {
	b.Helper()
	before := f.bytes.Load()
	for i := 0; b.Loop(); i++ {
		operation(i)
	}
	b.ReportMetric(float64(f.bytes.Load()-before)/float64(b.N), "wire-B/op")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N), "µs/op")
}

func eachSize(b *testing.B, run func(b *testing.B, rows int)) {
	for _, rows := range benchmarkRows {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) { run(b, rows) })
	}
}

// BenchmarkPoll measures a poll that finds nothing new.
func BenchmarkPoll(b *testing.B) {
	eachSize(b, func(b *testing.B, rows int) {
		f := newFixture(b, rows)
		measure(b, f, func(int) {
			if err := f.tables.poll(b.Context()); err != nil {
				b.Fatal(err)
			}
		})
	})
}

// BenchmarkPollOneEdit measures a poll that finds one new edit. The edit itself is not measured.
func BenchmarkPollOneEdit(b *testing.B) {
	eachSize(b, func(b *testing.B, rows int) {
		f := newFixture(b, rows)
		editor := newTables(Config{
			Platform: f.store, Record: func(event.Event) {}, Random: rand.New(rand.NewPCG(1, 2)),
		})
		measure(b, f, func(i int) {
			b.StopTimer()
			f.edit(b, editor, i)
			b.StartTimer()
			if err := f.tables.poll(b.Context()); err != nil {
				b.Fatal(err)
			}
		})
	})
}

// BenchmarkReadAll measures reading all rows, which is the baseline for the polls. It also reports the figures per
// row, and the heap memory of a snapshot.
func BenchmarkReadAll(b *testing.B) {
	eachSize(b, func(b *testing.B, rows int) {
		f := newFixture(b, rows)
		before := f.bytes.Load()
		for b.Loop() {
			if _, err := f.tables.readAll(b.Context()); err != nil {
				b.Fatal(err)
			}
		}
		n := float64(b.N)
		b.ReportMetric(float64(f.bytes.Load()-before)/n, "wire-B/op")
		b.ReportMetric(float64(f.bytes.Load()-before)/n/float64(rows), "wire-B/row")
		b.ReportMetric(float64(b.Elapsed().Microseconds())/n, "µs/op")
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/1000/n/float64(rows), "µs/row")
		b.ReportMetric(f.heapPerRow(b, rows), "heap-B/row")
	})
}

// heapPerRow returns the heap memory that one more snapshot takes, per row.
func (f *fixture) heapPerRow(b *testing.B, rows int) float64 {
	b.Helper()
	copies := max(10, 50_000/rows) // enough for the snapshots to outweigh other changes of the heap
	stored, err := f.store.List(b.Context(), store.TablesPrefix)
	if err != nil {
		b.Fatal(err)
	}
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	before := heap()
	var snapshots []table.Snapshot
	for range copies {
		s, err := decodeAll(stored)
		if err != nil {
			b.Fatal(err)
		}
		snapshots = append(snapshots, s.snapshot)
	}
	after := heap()
	runtime.KeepAlive(snapshots)
	return (after - before) / float64(copies) / float64(rows)
}

// BenchmarkEdit measures an edit, including the read of the heads and the transaction.
func BenchmarkEdit(b *testing.B) {
	eachSize(b, func(b *testing.B, rows int) {
		f := newFixture(b, rows)
		measure(b, f, func(i int) { f.edit(b, f.tables, i) })
	})
}
