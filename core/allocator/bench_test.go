package allocator_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/event"
	"dogwoodglade/core/pool"
)

// benchLoad keeps the slots of a pool busy and its queue at a constant length.
type benchLoad struct {
	a           *allocator.Allocator
	now         time.Time
	running     []allocator.Grant // ring buffer; oldest is the index of the oldest grant
	oldest      int
	lastRequest int
	interval    time.Duration // simulated time between two cycles
}

const (
	benchSlots     = 8 // per backend server
	benchCustomers = 16
	benchRoutes    = 4
)

func newBenchLoad(b *testing.B, servers, queued int) *benchLoad {
	l := &benchLoad{now: epoch, interval: time.Nanosecond}
	l.a = allocator.New("entry1", pool.New("p").WithQueueLimit(100_000), func(event.Event) {})
	for i := range servers {
		l.announce(i)
	}
	want := servers * benchSlots
	if queued == 0 {
		want /= 2
	}
	for range want + queued {
		l.request()
	}
	if got := l.a.Stats(); got.QueuedTasks != queued || len(l.running) != want {
		b.Fatalf("got %d queued tasks and %d grants, want %d and %d", got.QueuedTasks, len(l.running), queued, want)
	}
	return l
}

func (l *benchLoad) announce(i int, grants ...string) {
	l.a.Announce(l.now, allocator.BackendServer{
		ID: fmt.Sprint("server", i), Agent: fmt.Sprint("agent", i), Incarnation: "1", Pool: "p", Slots: benchSlots,
		Grants: grants,
	})
}

func (l *benchLoad) request() {
	l.lastRequest++
	l.running = append(l.running, grants(l.a.RequestSlots(l.now, allocator.SlotRequest{
		ID: fmt.Sprint(l.lastRequest), Owner: "owner", Customer: customers[l.lastRequest%benchCustomers],
		Route: routes[l.lastRequest%benchRoutes], Count: 1, Deadline: time.Hour,
	}))...)
}

var customers, routes = names("customer", benchCustomers), names("route", benchRoutes)

func names(prefix string, n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint(prefix, i)
	}
	return list
}

// release ends the oldest task and replaces it in the ring by the task that gets its slot.
func (l *benchLoad) release() {
	g := l.running[l.oldest]
	actions := l.a.Release(l.now, allocator.Release{
		BackendServer: g.BackendServer, Incarnation: g.Incarnation, Grant: g.ID, Route: routes[l.oldest%benchRoutes],
		Outcome: allocator.Succeeded, RunTime: time.Duration(50+l.oldest%200) * time.Millisecond,
	})
	for _, action := range actions {
		l.running[l.oldest] = action.(allocator.Grant)
	}
}

// cycle makes two decisions: it handles a release and a slot request. One of them causes a grant.
func (l *benchLoad) cycle() {
	l.release()
	count := len(l.running)
	l.request()
	if len(l.running) > count { // without a queue, the new request gets the slot
		l.running[l.oldest] = l.running[count]
		l.running = l.running[:count]
	}
	l.oldest = (l.oldest + 1) % len(l.running)
	l.now = l.now.Add(l.interval)
}

// BenchmarkDecision measures a slot request and a release, with the grant that follows.
func BenchmarkDecision(b *testing.B) {
	for _, servers := range []int{10, 100, 1000, 10_000} {
		for _, queued := range []int{0, 100, 1000, 10_000} {
			b.Run(fmt.Sprintf("servers=%d/queued=%d", servers, queued), func(b *testing.B) {
				l := newBenchLoad(b, servers, queued)
				b.ReportAllocs()
				for b.Loop() {
					l.cycle()
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*b.N), "ns/decision")
				if got := l.a.Stats().QueuedTasks; got != queued {
					b.Fatalf("the queue has %d tasks, want %d", got, queued)
				}
			})
		}
	}
}

// BenchmarkPartitionSecond measures one simulated second at full load: 20,000 requests and releases, two heartbeats
// of each backend server, and the ticks.
func BenchmarkPartitionSecond(b *testing.B) {
	const servers, queued, cyclesPerTick = 1000, 10_000, 500
	l := newBenchLoad(b, servers, queued)
	l.interval = time.Second / 10_000
	b.ReportAllocs()
	for b.Loop() {
		for tick := range 20 {
			if tick%10 == 0 {
				l.announceAll(servers)
			}
			for range cyclesPerTick {
				l.cycle()
			}
			l.a.Tick(l.now)
		}
	}
	if got := l.a.Stats().QueuedTasks; got != queued {
		b.Fatalf("the queue has %d tasks, want %d", got, queued)
	}
	b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*100, "%core")
}

func (l *benchLoad) announceAll(servers int) {
	listed := make(map[string][]string, servers)
	for _, g := range l.running {
		listed[g.BackendServer] = append(listed[g.BackendServer], g.ID)
	}
	for i := range servers {
		l.announce(i, listed[fmt.Sprint("server", i)]...)
	}
}
