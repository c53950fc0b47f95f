package inner

import (
	"testing"
	"testing/synctest"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/site"
	"dogwoodglade/core/supervise"
	"dogwoodglade/internal/memnet"
)

// fakeBatchEntry keeps what it is told, in order.
type fakeBatchEntry struct {
	connected chan *Peer
	got       chan any
}

func (f *fakeBatchEntry) Connected(p *Peer)                    { f.connected <- p }
func (f *fakeBatchEntry) Disconnected(*Peer)                   {}
func (f *fakeBatchEntry) Report(_ *Peer, r supervise.Report)   { f.got <- r }
func (f *fakeBatchEntry) Load(_ *Peer, l EntryLoad)            { f.got <- l }
func (f *fakeBatchEntry) Forward(_ *Peer, j batch.Job)         { f.got <- j }
func (f *fakeBatchEntry) WithdrawJob(*Peer, batch.JobID, bool) {}
func (f *fakeBatchEntry) Configuration() site.Configuration    { return site.Configuration{Version: 7} }

func (f *fakeBatchEntry) Forwarded(_ *Peer, id batch.JobID, o batch.Outcome) {
	f.got <- string(id) + " " + batch.OutcomeName(o)
}

type fakeBatchAgent struct{ got chan any }

func (f *fakeBatchAgent) Connected(*Peer)           {}
func (f *fakeBatchAgent) Disconnected(*Peer)        {}
func (f *fakeBatchAgent) Keep(_ *Peer, k KeepAlive) { f.got <- k }
func (f *fakeBatchAgent) Runs(_ *Peer, starts []supervise.Start, stops []supervise.RunID) {
	f.got <- starts
	f.got <- stops
}

// Guards against messages of batch jobs that arrive changed, out of order, or not at all when several are sent at
// once and travel as one.
func TestBatchMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		entry := &fakeBatchEntry{connected: make(chan *Peer, 1), got: make(chan any, 300)}
		agent := &fakeBatchAgent{got: make(chan any, 300)}
		listener, err := network.Host("entry").Listen("entry:1")
		if err != nil {
			t.Fatal(err)
		}
		stop := Serve(listener, newLocal(RoleEntry, "entry-1"), entry)
		p, err := Dial(t.Context(), network.Host("agent").Dial, "entry:1", newLocal(RoleAgent, "agent-1"), agent)
		if err != nil {
			t.Fatal(err)
		}
		const many = 200
		for i := range many {
			p.Report(supervise.Report{Clock: time.Duration(i)})
		}
		outcomes := []batch.Outcome{
			batch.Completed{},
			batch.Failed{Attempts: 2},
			batch.NotRun{Reason: batch.Overloaded, RetryAfter: time.Second},
			batch.Unknown{Reason: batch.PeerLost},
			batch.Cancelled{},
		}
		for _, o := range outcomes {
			p.Forwarded("job", o)
		}
		job := batch.Job{ID: "job", Pool: "p", Stretch: 1.6, Steps: []batch.Step{{Count: 2, After: []int{0}, Label: "x"}}}
		p.Forward(job)
		for i := range many {
			if r := (<-entry.got).(supervise.Report); r.Clock != time.Duration(i) {
				t.Fatalf("report %d arrived as %d", i, r.Clock)
			}
		}
		for _, o := range outcomes {
			if got := <-entry.got; got != "job "+batch.OutcomeName(o) {
				t.Errorf("got %v, want %s", got, batch.OutcomeName(o))
			}
		}
		if j := (<-entry.got).(batch.Job); j.ID != job.ID || j.Stretch != 1.6 || j.Steps[0].Label != "x" || j.Steps[0].After[0] != 0 {
			t.Errorf("got %+v", j)
		}
		back := <-entry.connected
		starts := []supervise.Start{
			{RunID: supervise.RunID{Task: batch.TaskID{Job: "a", Index: 3}, Attempt: 1}, Demand: resource.Amount{Processor: 5}, Spec: "s"},
			{RunID: supervise.RunID{Task: batch.TaskID{Job: "a", Index: 4}, Attempt: 2}, Demand: resource.Amount{Processor: 5}, Spec: "s"},
			{RunID: supervise.RunID{Task: batch.TaskID{Job: "b", Step: 1}, Attempt: 1}, Spec: "t"},
		}
		back.Runs(starts, []supervise.RunID{starts[0].RunID})
		got := (<-agent.got).([]supervise.Start)
		for i := range starts {
			if got[i] != starts[i] {
				t.Errorf("got %+v, want %+v", got[i], starts[i])
			}
		}
		if stops := (<-agent.got).([]supervise.RunID); len(stops) != 1 || stops[0] != starts[0].RunID {
			t.Errorf("got %+v", stops)
		}
		if c, err := p.PullConfiguration(t.Context()); err != nil || c.Version != 7 {
			t.Errorf("got %+v, %v", c, err)
		}
		p.Close()
		stop()
	})
}
