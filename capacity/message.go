package capacity

import (
	"context"
	"fmt"
	"time"

	"dogwoodglade/core/allocator"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/table"
	"dogwoodglade/core/task"
	"dogwoodglade/io/inner"
)

const messageRounds = 500

func messageMeasures() []Measure {
	servers := []int{1, 2, 4, 8, 16}
	bodies := []int{0, 512, 1024, 2048, 4096}
	counts := []int{250, 500, 1000, 2000}
	body := "byte of the body"
	message := func(name, unit string, sizes []int, role inner.Role, send func(l *link, size, i int)) Measure {
		return Measure{Name: "message." + name, Unit: unit, Sizes: sizes, Run: func(n int) (Cost, error) {
			l, err := newLink(role)
			if err != nil {
				return nil, err
			}
			defer l.close()
			return l.send(messageRounds, func(i int) { send(l, n, i) })
		}}
	}
	agent, entry := inner.RoleAgent, inner.RoleEntry
	return []Measure{
		message("Heartbeat.servers", "idle backend server", servers, agent, func(l *link, n, _ int) { l.dialler.Heartbeat(heartbeat(n, 0)) }),
		message("Heartbeat.grants", "running grant, 8 to a backend server", []int{8, 16, 32, 64, 128}, agent, func(l *link, n, _ int) { l.dialler.Heartbeat(heartbeat(n/slotsPerServer, slotsPerServer)) }),
		message("Ping", "owned shard", []int{0, 32, 64, 128, 256}, entry, func(l *link, n, _ int) { l.dialler.Ping(pingOf(n), table.Notification{}) }),
		message("Start", body, bodies, agent, func(l *link, n, i int) { l.entry.Start(withBody(startOf("race-2028-00001234", i%tasksPerJob, 1), n)) }),
		message("Outcome", body, bodies, agent, func(l *link, n, i int) { l.dialler.Outcome(outcome(i, n)) }),
		measureFixed("Alive", counts, agent, func(l *link, _ int) { l.entry.EntryHeartbeat() }),
		measureFixed("StartReply", counts, agent, func(l *link, i int) {
			l.dialler.StartReply(attemptOf("race-2028-00001234", i%tasksPerJob), task.Accepted)
		}),
		measureFixed("Release", counts, agent, func(l *link, i int) { l.dialler.ReleaseSlot(release(i)) }),
		measureFixed("Ask", counts, entry, func(l *link, i int) { l.dialler.RequestSlots("pool-17", ask(i)) }),
		measureFixed("Grant", counts, entry, func(l *link, i int) { l.dialler.Grant(grant(i)) }),
		{Name: "message.Fence", Unit: "record without result body in the answer", Sizes: []int{500, 1000, 2000, 4000}, Run: runFenceMessage},
	}
}

// measureFixed measures a message of fixed size: the slope over the number sent is the cost of one.
func measureFixed(name string, counts []int, role inner.Role, send func(l *link, i int)) Measure {
	return Measure{Name: "message." + name, Unit: "message", Sizes: counts, Run: func(n int) (Cost, error) {
		l, err := newLink(role)
		if err != nil {
			return nil, err
		}
		defer l.close()
		cost, err := l.send(n, func(i int) { send(l, i) })
		for q := range cost {
			cost[q] *= float64(n)
		}
		return cost, err
	}}
}

func heartbeat(servers, grants int) []allocator.BackendServer {
	list := make([]allocator.BackendServer, servers)
	for i := range list {
		list[i] = allocator.BackendServer{
			ID: serverName(i), Agent: agentName, Incarnation: serverRun, Pool: "pool-17",
			DataCentre: "vestland-1", Slots: slotsPerServer,
		}
		for g := range grants {
			// Grants of one agent are spread over those of the pool.
			list[i].Grants = append(list[i].Grants, grantID((i*grants+g)*7919%1_000_000))
		}
	}
	return list
}

func withBody(s task.Start, size int) task.Start {
	s.Body = make([]byte, size)
	return s
}

func outcome(i, size int) task.Record {
	r := recordOf(startOf("race-2028-00001234", i%tasksPerJob, 1))
	r.Result.Body = make([]byte, size)
	return r
}

func release(i int) allocator.Release {
	return allocator.Release{
		BackendServer: serverName(1), Incarnation: serverRun, Grant: grantID(i), Route: "route-1",
		Outcome: allocator.Succeeded, RunTime: 213 * time.Millisecond,
	}
}

func ask(i int) allocator.SlotRequest {
	return allocator.SlotRequest{
		ID: fmt.Sprintf("217.4321.%d", i), Owner: entryName, Customer: customerName, Route: "route-1",
		Count: tasksPerJob, Age: 3 * time.Millisecond, Deadline: 10 * time.Second,
	}
}

func grant(i int) allocator.Grant {
	return allocator.Grant{
		ID: grantID(i), RequestID: "217.4321.99", Owner: entryName, Allocator: "entry-2", Agent: agentName,
		BackendServer: serverName(1), Incarnation: serverRun,
	}
}

// runFenceMessage measures one fence of a shard and the agent's answer.
func runFenceMessage(n int) (Cost, error) {
	l, err := newLink(inner.RoleAgent)
	if err != nil {
		return nil, err
	}
	defer l.close()
	for i := range n {
		l.records = append(l.records, outcome(i, 0))
	}
	before := l.meter.total()
	var reply inner.FenceReply
	var failed error
	cpu, err := cpuOf(func() {
		reply, failed = l.entry.Fence(context.Background(), []shard.Fence{{Shard: 1, Epoch: shardEpoch()}})
	})
	if failed != nil {
		return nil, failed
	}
	if len(reply.Records) != n {
		return nil, &CountError{What: "records", Got: len(reply.Records), Want: n}
	}
	return Cost{WireBytes: float64(l.meter.total() - before), CPUMicroseconds: cpu}, err
}
