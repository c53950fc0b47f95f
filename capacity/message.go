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
	grants := []int{8, 16, 32, 64, 128}
	bodies := []int{0, 512, 1024, 2048, 4096}
	counts := []int{250, 500, 1000, 2000}
	body := "byte of the body"
	message := func(name, unit string, sizes []int, role inner.Role, send func(pair *peerPair, size, i int)) Measure {
		return Measure{Name: "message." + name, Unit: unit, Sizes: sizes, Run: func(n int) (Cost, error) {
			pair, err := newPeerPair(role)
			if err != nil {
				return nil, err
			}
			defer pair.close()
			return pair.measureMessages(messageRounds, func(i int) { send(pair, n, i) })
		}}
	}
	agent, entry := inner.RoleAgent, inner.RoleEntry
	return []Measure{
		message("Heartbeat.servers", "idle backend server", servers, agent, func(pair *peerPair, n, _ int) {
			pair.dialler.Heartbeat(newHeartbeat(n, 0))
		}),
		message("Heartbeat.grants", "running grant, 8 to a backend server", grants, agent, func(pair *peerPair, n, _ int) {
			pair.dialler.Heartbeat(newHeartbeat(n/slotsPerServer, slotsPerServer))
		}),
		message("Ping", "owned shard", []int{0, 32, 64, 128, 256}, entry, func(pair *peerPair, n, _ int) {
			pair.dialler.Ping(newPing(n), table.Notification{})
		}),
		message("Start", body, bodies, agent, func(pair *peerPair, n, i int) {
			pair.entry.Start(withBody(newStart("race-2028-00001234", i%tasksPerJob, 1), n))
		}),
		message("Outcome", body, bodies, agent, func(pair *peerPair, n, i int) {
			pair.dialler.Outcome(newOutcomeRecord(i, n))
		}),
		fixedSizeMessage("Alive", counts, agent, func(pair *peerPair, _ int) { pair.entry.EntryHeartbeat() }),
		fixedSizeMessage("StartReply", counts, agent, func(pair *peerPair, i int) {
			pair.dialler.StartReply(newAttemptID("race-2028-00001234", i%tasksPerJob), task.Accepted)
		}),
		fixedSizeMessage("Release", counts, agent, func(pair *peerPair, i int) { pair.dialler.ReleaseSlot(newRelease(i)) }),
		fixedSizeMessage("Ask", counts, entry, func(pair *peerPair, i int) {
			pair.dialler.RequestSlots("pool-17", newSlotRequest(i))
		}),
		fixedSizeMessage("Grant", counts, entry, func(pair *peerPair, i int) { pair.dialler.Grant(newGrant(i)) }),
		{
			Name: "message.Fence", Unit: "record without result body in the reply",
			Sizes: []int{500, 1000, 2000, 4000}, Run: runFenceMessage,
		},
	}
}

// fixedSizeMessage measures a message of fixed size. The size of the measure is the number of messages, so that the
// slope is the cost of one message.
func fixedSizeMessage(name string, counts []int, role inner.Role, send func(pair *peerPair, i int)) Measure {
	return Measure{Name: "message." + name, Unit: "message", Sizes: counts, Run: func(n int) (Cost, error) {
		pair, err := newPeerPair(role)
		if err != nil {
			return nil, err
		}
		defer pair.close()
		cost, err := pair.measureMessages(n, func(i int) { send(pair, i) })
		for q := range cost {
			cost[q] *= float64(n)
		}
		return cost, err
	}}
}

func newHeartbeat(servers, grants int) []allocator.BackendServer {
	list := make([]allocator.BackendServer, servers)
	for i := range list {
		list[i] = allocator.BackendServer{
			ID: serverName(i), Agent: agentName, Incarnation: serverIncarnation, Pool: "pool-17",
			DataCentre: "vestland-1", Slots: slotsPerServer,
		}
		for g := range grants {
			// The grants of one agent are scattered among the grant numbers of the pool.
			list[i].Grants = append(list[i].Grants, grantID((i*grants+g)*7919%1_000_000))
		}
	}
	return list
}

func withBody(s task.Start, size int) task.Start {
	s.Body = make([]byte, size)
	return s
}

func newOutcomeRecord(i, size int) task.Record {
	r := newRecord(newStart("race-2028-00001234", i%tasksPerJob, 1))
	r.Result.Body = make([]byte, size)
	return r
}

func newRelease(i int) allocator.Release {
	return allocator.Release{
		BackendServer: serverName(1), Incarnation: serverIncarnation, Grant: grantID(i), Route: "route-1",
		Outcome: allocator.Succeeded, RunTime: 213 * time.Millisecond,
	}
}

func newSlotRequest(i int) allocator.SlotRequest {
	return allocator.SlotRequest{
		ID: fmt.Sprintf("217.4321.%d", i), Owner: entryName, Customer: customerName, Route: "route-1",
		Count: tasksPerJob, Age: 3 * time.Millisecond, Deadline: 10 * time.Second,
	}
}

func newGrant(i int) allocator.Grant {
	return allocator.Grant{
		ID: grantID(i), RequestID: "217.4321.99", Owner: entryName, Allocator: "entry-2", Agent: agentName,
		BackendServer: serverName(1), Incarnation: serverIncarnation,
	}
}

// runFenceMessage measures one fence of a shard and the agent's reply.
func runFenceMessage(n int) (Cost, error) {
	pair, err := newPeerPair(inner.RoleAgent)
	if err != nil {
		return nil, err
	}
	defer pair.close()
	for i := range n {
		pair.records = append(pair.records, newOutcomeRecord(i, 0))
	}
	before := pair.meter.total()
	var reply inner.FenceReply
	var failed error
	cpu, err := measureCPU(func() {
		reply, failed = pair.entry.Fence(context.Background(), []shard.Fence{{Shard: 1, Epoch: shardEpoch()}})
	})
	if failed != nil {
		return nil, failed
	}
	if len(reply.Records) != n {
		return nil, &CountError{What: "records", Got: len(reply.Records), Want: n}
	}
	return Cost{WireBytes: float64(pair.meter.total() - before), CPUMicroseconds: cpu}, err
}
