package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"dogwoodglade/core/event"
	"dogwoodglade/core/job"
	"dogwoodglade/core/table"
	"dogwoodglade/core/task"
	"dogwoodglade/io/caller"
	"dogwoodglade/io/inner"
)

func submitMeasures() []Measure {
	tasks := []int{20, 40, 80, 160}
	return []Measure{
		{
			Name: "message.Submit", Unit: "task of a job, 1 KiB body and result; receiving entry to owner and back",
			Sizes: tasks, Run: runSubmitMessage,
		},
		{
			Name: "caller.job", Unit: "task of a job, 1 KiB body and result; caller to receiving entry over HTTP and back",
			Sizes: tasks, Run: runHTTPSubmit,
		},
		{
			Name: "inner.connection", Unit: "idle connection, both ends",
			Sizes: []int{25, 50, 100, 200}, Run: runConnections,
		},
		{
			Name: "job.agentlost", Unit: "retained task at one owner; CPU: the loss of one agent",
			Sizes: []int{8000, 16_000, 32_000, 64_000}, Run: runAgentLost,
		},
		{
			Name: "job.tick", Unit: "open job of one task; CPU: one tick",
			Sizes: []int{1000, 2000, 4000, 8000}, Run: runOwnerTick,
		},
		{
			Name: "table.head", Unit: "recent edit of a pool with 110 shares and quotas; in JSON",
			Sizes: []int{4, 8, 16, 32}, Run: runTableHead,
		},
	}
}

func newSubmission(tasks int) job.Submission {
	s := job.Submission{ID: task.JobID{Customer: customerName, Key: "race-2028-00001234"}, Route: "route-1"}
	for range tasks {
		s.Bodies = append(s.Bodies, bytes.Repeat([]byte("x"), bodyBytes))
	}
	return s
}

func completeAnswer(s job.Submission) job.Answer {
	a := job.Answer{ID: s.ID, State: job.Complete}
	for _, body := range s.Bodies {
		a.Results = append(a.Results, task.Result{Status: http.StatusOK, Body: body})
	}
	return a
}

// Submit implements inner.JobHandler.
func (*entryHandler) Submit(_ context.Context, _ *inner.Peer, s job.Submission) (inner.OwnerReply, error) {
	return inner.OwnerReply{Answer: completeAnswer(s)}, nil
}

const submitRounds = 20

// measureRounds calls the function several times and returns the cost of one call.
func (m *meter) measureRounds(rounds int, do func() error) (Cost, error) {
	before := m.total()
	var failed error
	cpu, err := measureCPU(func() {
		for range rounds {
			if failed = do(); failed != nil {
				return
			}
		}
	})
	if failed != nil {
		return nil, failed
	}
	n := float64(rounds)
	return Cost{WireBytes: float64(m.total()-before) / n, CPUMicroseconds: cpu / n}, err
}

func runSubmitMessage(n int) (Cost, error) {
	pair, err := newPeerPair(inner.RoleEntry)
	if err != nil {
		return nil, err
	}
	defer pair.close()
	return pair.meter.measureRounds(submitRounds, func() error {
		reply, err := pair.dialler.Submit(context.Background(), newSubmission(n))
		return checkAnswer(reply.Answer, err, n)
	})
}

func checkAnswer(a job.Answer, err error, tasks int) error {
	if err == nil && len(a.Results) != tasks {
		return &CountError{What: "results", Got: len(a.Results), Want: tasks}
	}
	return err
}

// echoDispatcher is a dispatcher that answers every job at once with the bodies of its tasks.
type echoDispatcher struct{ caller.Dispatcher }

func (echoDispatcher) Submit(_ context.Context, s job.Submission) job.Answer {
	return completeAnswer(s)
}
func (echoDispatcher) Ready() bool { return true }

func runHTTPSubmit(n int) (Cost, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	report := func(event.Number, string, int) {}
	_, closeServer := caller.Serve(listener, echoDispatcher{}, caller.Limits{}, report, metrics.NewRegistry())
	var m meter
	transport := &http.Transport{DialContext: m.dial((&net.Dialer{}).DialContext)}
	defer func() {
		transport.CloseIdleConnections()
		closeServer()
	}()
	client := caller.NewClient(listener.Addr().String(), &http.Client{Transport: transport})
	return m.measureRounds(submitRounds, func() error {
		a, err := client.Submit(context.Background(), newSubmission(n))
		return checkAnswer(a, err, n)
	})
}

func runConnections(n int) (Cost, error) {
	var failed error
	var pairs []*peerPair
	heap := measureHeap(func() any {
		for range n {
			pair, err := newPeerPair(inner.RoleAgent)
			if err != nil {
				failed = err
				break
			}
			pairs = append(pairs, pair)
		}
		return pairs
	})
	for _, pair := range pairs {
		pair.close()
	}
	if failed != nil {
		return nil, failed
	}
	return Cost{HeapBytes: heap}, nil
}

func runAgentLost(n int) (Cost, error) {
	o := newOwner()
	grantAndComplete(o, submitJobs(o, keysOfShard(0, customerName, n/tasksPerJob), tasksPerJob, 0))
	const rounds = 10
	cpu, err := measureCPU(func() {
		for range rounds {
			o.AgentLost(startTime, agentName)
		}
	})
	return Cost{CPUMicroseconds: cpu / rounds}, err
}

func runOwnerTick(n int) (Cost, error) {
	o := newOwner()
	submitJobs(o, keysOfShard(0, customerName, n), 1, 0)
	const rounds = 50
	cpu, err := measureCPU(func() {
		for range rounds {
			o.Tick(startTime)
		}
	})
	return Cost{CPUMicroseconds: cpu / rounds}, err
}

func runTableHead(n int) (Cost, error) {
	var head table.Head
	for i, p := range fullPools(n) {
		var err error
		if head, err = head.Append(table.SetPool("edit-"+p.Name, p)); err != nil {
			return nil, err
		}
		if len(head.Recent) != i+1 {
			return nil, &CountError{What: "recent edits", Got: len(head.Recent), Want: i + 1}
		}
	}
	data, err := json.Marshal(head)
	return Cost{WireBytes: float64(len(data))}, err
}
