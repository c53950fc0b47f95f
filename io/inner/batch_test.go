package inner

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/site"
	"dogwoodglade/core/supervise"
	"dogwoodglade/internal/memnet"
)

// fakeBatchEntry records the messages that it receives, in order.
type fakeBatchEntry struct {
	connected chan *Peer
	received  chan any
}

func (f *fakeBatchEntry) Connected(p *Peer)                  { f.connected <- p }
func (f *fakeBatchEntry) Disconnected(*Peer)                 {}
func (f *fakeBatchEntry) Report(_ *Peer, r supervise.Report) { f.received <- r }
func (f *fakeBatchEntry) Load(_ *Peer, l EntryLoad)          { f.received <- l }
func (f *fakeBatchEntry) Forward(_ *Peer, j batch.Job, number uint64) {
	f.received <- forwardParams{Job: j, Number: number}
}

func (f *fakeBatchEntry) WithdrawJob(_ *Peer, id batch.JobID, number uint64, forAll bool) {
	f.received <- withdrawJobParams{Job: id, Number: number, ForAll: forAll}
}

func (f *fakeBatchEntry) Crashes(_ *Peer, l []dispatch.Crash) { f.received <- l }
func (f *fakeBatchEntry) Configuration() site.Configuration   { return site.Configuration{Version: 7} }

func (f *fakeBatchEntry) Evacuations(_ *Peer, s evacuation.State, readAfter time.Duration) {
	f.received <- s
	f.received <- readAfter
}

func (f *fakeBatchEntry) JobWithdrawn(_ *Peer, id batch.JobID, number uint64) {
	f.received <- jobWithdrawnParams{Job: id, Number: number}
}

func (f *fakeBatchEntry) ForwardOutcome(_ *Peer, id batch.JobID, number uint64, o batch.Outcome) {
	f.received <- fmt.Sprint(id, " ", number, " ", batch.OutcomeName(o))
}

type fakeBatchAgent struct{ received chan any }

func (f *fakeBatchAgent) Connected(*Peer)                {}
func (f *fakeBatchAgent) Disconnected(*Peer)             {}
func (f *fakeBatchAgent) KeepAlive(_ *Peer, k KeepAlive) { f.received <- k }
func (f *fakeBatchAgent) UpdateRuns(_ *Peer, starts []supervise.Start, stops []supervise.RunID) {
	f.received <- starts
	f.received <- stops
}

// Guards against batch messages that are corrupted, reordered or lost when several are queued and sent as one
// combined message.
func TestBatchMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		entry := &fakeBatchEntry{connected: make(chan *Peer, 1), received: make(chan any, 300)}
		agent := &fakeBatchAgent{received: make(chan any, 300)}
		listener, err := network.Host("entry").Listen("entry:1")
		if err != nil {
			t.Fatal(err)
		}
		stop := Serve(listener, newLocal(RoleEntry, "entry-1"), entry)
		p, err := Dial(t.Context(), network.Host("agent").Dial, "entry:1", newLocal(RoleAgent, "agent-1"), agent)
		if err != nil {
			t.Fatal(err)
		}
		const reportCount = 200
		for i := range reportCount {
			p.Report(supervise.Report{Clock: time.Duration(i)})
		}
		outcomes := []batch.Outcome{
			batch.Completed{},
			batch.Failed{Attempts: 2},
			batch.NotRun{Reason: batch.Overloaded, RetryAfter: time.Second},
			batch.Unknown{Reason: batch.PeerLost},
			batch.Cancelled{},
		}
		for i, o := range outcomes {
			p.ForwardOutcome("job", uint64(i), o)
		}
		job := batch.Job{ID: "job", Pool: "p", Stretch: 1.6, Steps: []batch.Step{{Count: 2, After: []int{0}, Label: "x"}}}
		p.Forward(job, 3)
		p.WithdrawJob("job", 3, false)
		p.JobWithdrawn("job", 3)
		crash := dispatch.Crash{Task: batch.TaskID{Job: "job", Step: 1, Index: 2}, Count: 2, Uncertain: 1, Age: time.Second}
		p.Crashes([]dispatch.Crash{crash})
		evacuated := evacuation.NewState(7, map[string]uint64{"north-1": 6})
		p.Evacuations(evacuation.State{}, 0) // nothing is known, so nothing is sent
		p.Evacuations(evacuated, time.Second)
		for i := range reportCount {
			if r := (<-entry.received).(supervise.Report); r.Clock != time.Duration(i) {
				t.Fatalf("report %d: got clock %d", i, r.Clock)
			}
		}
		for i, o := range outcomes {
			if got, want := <-entry.received, fmt.Sprint("job ", i, " ", batch.OutcomeName(o)); got != want {
				t.Errorf("got %v, want %s", got, want)
			}
		}
		forward := (<-entry.received).(forwardParams)
		j := forward.Job
		if forward.Number != 3 || j.ID != job.ID || j.Stretch != 1.6 || j.Steps[0].Label != "x" || j.Steps[0].After[0] != 0 {
			t.Errorf("got %+v", forward)
		}
		if got := <-entry.received; got != (withdrawJobParams{Job: "job", Number: 3}) {
			t.Errorf("got %+v, want the withdrawal of forward 3", got)
		}
		if got := <-entry.received; got != (jobWithdrawnParams{Job: "job", Number: 3}) {
			t.Errorf("got %+v, want the confirmation for forward 3", got)
		}
		if got := (<-entry.received).([]dispatch.Crash); len(got) != 1 || got[0] != crash {
			t.Errorf("got %+v, want %+v", got, crash)
		}
		if got := (<-entry.received).(evacuation.State); got.Position() != 7 || !got.SameEvacuations(evacuated) {
			t.Errorf("got %+v, want %+v", got, evacuated)
		}
		if got := <-entry.received; got != time.Second {
			t.Errorf("got %v as the request after which they were read", got)
		}
		accepted := <-entry.connected
		demand := resource.Amount{Processor: 5}
		starts := []supervise.Start{
			{RunID: supervise.RunID{Task: batch.TaskID{Job: "a", Index: 3}, Attempt: 1}, Demand: demand, Spec: "s"},
			{RunID: supervise.RunID{Task: batch.TaskID{Job: "a", Index: 4}, Attempt: 2}, Demand: demand, Spec: "s"},
			{RunID: supervise.RunID{Task: batch.TaskID{Job: "b", Step: 1}, Attempt: 1}, Spec: "t"},
		}
		accepted.UpdateRuns(starts, []supervise.RunID{starts[0].RunID})
		got := (<-agent.received).([]supervise.Start)
		for i := range starts {
			if got[i] != starts[i] {
				t.Errorf("got %+v, want %+v", got[i], starts[i])
			}
		}
		if stops := (<-agent.received).([]supervise.RunID); len(stops) != 1 || stops[0] != starts[0].RunID {
			t.Errorf("got %+v", stops)
		}
		if c, err := p.PullConfiguration(t.Context()); err != nil || c.Version != 7 {
			t.Errorf("got %+v, %v", c, err)
		}
		p.Close()
		stop()
	})
}
