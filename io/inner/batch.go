package inner

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/home"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/site"
	"dogwoodglade/core/supervise"
)

const (
	methodRuns          = "Runs"
	methodKeep          = "Keep"
	methodReport        = "Report"
	methodLoad          = "Load"
	methodForward       = "Forward"
	methodForwarded     = "Forwarded"
	methodWithdrawJob   = "WithdrawJob"
	methodConfiguration = "Configuration"
	methodCombined      = "Combined"
)

// BatchEntryHandler receives the messages of batch jobs for an entry. Its methods must not wait for the peer.
type BatchEntryHandler interface {
	Handler
	// Report is what an agent says of its backend server and of the runs of this entry.
	Report(p *Peer, r supervise.Report)
	// Load is what another entry says of itself.
	Load(p *Peer, l EntryLoad)
	// Forward passes a job to this entry. It answers with Forwarded.
	Forward(p *Peer, j batch.Job)
	// Forwarded is the outcome of a job that this entry passed on.
	Forwarded(p *Peer, id batch.JobID, o batch.Outcome)
	// WithdrawJob says that the sender no longer waits for a job, or that it is cancelled for all who wait.
	WithdrawJob(p *Peer, id batch.JobID, forAll bool)
	// Configuration returns the configuration in use.
	Configuration() site.Configuration
}

// BatchAgentHandler receives the messages of batch jobs for an agent. Its methods must not wait for the peer.
type BatchAgentHandler interface {
	Handler
	// Runs starts and stops runs.
	Runs(p *Peer, starts []supervise.Start, stops []supervise.RunID)
	// Keep keeps the session of the entry alive.
	Keep(p *Peer, k KeepAlive)
}

// EntryLoad is what entries tell each other regularly.
type EntryLoad struct {
	Load    dispatch.Load
	Version uint64  // of the configuration
	Weight  float64 // share of the agents that it can serve
	// Session rises when the sender takes the receiver as lost. Jobs that it passed on before are given up.
	Session uint64
	Clock   time.Duration // the sender's
	Echo    time.Duration // the latest Clock that the sender got from the receiver; 0 if none
}

// KeepAlive is what an entry tells its agents regularly.
type KeepAlive struct {
	Until    time.Duration // end of the session, on the agent's clock
	Draining bool          // the agent should choose another entry
	Entries  []home.Entry  // of the region, if they changed
}

// runGroup is starts of tasks of one step.
type runGroup struct {
	Job    batch.JobID
	Step   int
	Spec   string
	Demand resource.Amount
	Tasks  [][2]int // index and attempt
}

type runsParams struct {
	Starts []runGroup
	Stops  []supervise.RunID
}

type (
	reportParams      struct{ Report supervise.Report }
	forwardParams     struct{ Job batch.Job }
	withdrawJobParams struct {
		Job    batch.JobID
		ForAll bool
	}
	configuration struct{ Configuration site.Configuration }
)

// forwardedParams carries an outcome by its kind.
type forwardedParams struct {
	Job        batch.JobID
	Kind       string
	Reason     batch.Reason
	RetryAfter time.Duration
	Task       batch.TaskID
	Attempts   int
}

const (
	kindCompleted = "Completed"
	kindFailed    = "Failed"
	kindNotRun    = "NotRun"
	kindUnknown   = "Unknown"
	kindCancelled = "Cancelled"
)

func (f forwardedParams) outcome() batch.Outcome {
	switch f.Kind {
	case kindCompleted:
		return batch.Completed{}
	case kindFailed:
		return batch.Failed{Task: f.Task, Attempts: f.Attempts}
	case kindNotRun:
		return batch.NotRun{Reason: f.Reason, RetryAfter: f.RetryAfter}
	case kindCancelled:
		return batch.Cancelled{}
	}
	return batch.Unknown{Reason: f.Reason}
}

// packed is the message of a batch job in CBOR. It travels as the attachment of a notification. These messages have no
// stamp: batch jobs are not in the time line.
type packed []byte

// combined is several packed messages in one, in their order. A process that is short of processor time has more
// of them to send at once, and each message has a price of its own.
type combined struct{ Messages []combinedMessage }

type combinedMessage struct {
	Method string
	Data   []byte
}

// maxCombined bounds the packed messages in one, in bytes. It is far below the bound of a frame.
const maxCombined = 256 << 10

// combine joins packed notifications that follow each other.
func combine(items []notification) []notification {
	if len(items) < 2 {
		return items
	}
	var result []notification
	var run []combinedMessage
	size := 0
	flush := func() {
		switch len(run) {
		case 0:
		case 1:
			result = append(result, notification{method: run[0].Method, params: packed(run[0].Data)})
		default:
			// Bytes and strings can always be encoded.
			if data, err := cbor.Marshal(combined{Messages: run}); err == nil {
				result = append(result, notification{method: methodCombined, params: packed(data)})
			}
		}
		run, size = nil, 0
	}
	for _, n := range items {
		p, ok := n.params.(packed)
		if !ok || size+len(p) > maxCombined {
			flush()
		}
		if !ok {
			result = append(result, n)
			continue
		}
		run = append(run, combinedMessage{Method: n.method, Data: p})
		size += len(p)
	}
	flush()
	return result
}

// withCombined adds the method that takes combined messages apart.
func withCombined(m methods) methods {
	single := make(methods, len(m))
	maps.Copy(single, m)
	m[methodCombined] = noticeOf(func(p *Peer, c combined) {
		for _, x := range c.Messages {
			if handler, ok := single[x.Method]; ok && handler.unpack != nil {
				// One malformed message does not affect the others.
				_ = handler.unpack(p, x.Data)
			}
		}
	})
	return m
}

// post queues a notification in packed form. A message of these types can always be encoded.
func (p *Peer) post(name string, message any) bool {
	data, err := cbor.Marshal(message)
	return err == nil && p.notify(name, packed(data))
}

// Runs sends an agent starts and stops.
func (p *Peer) Runs(starts []supervise.Start, stops []supervise.RunID) bool {
	return p.post(methodRuns, runsParams{Starts: groupStarts(starts), Stops: stops})
}

// groupStarts sends what the tasks of a step share once.
func groupStarts(starts []supervise.Start) []runGroup {
	var groups []runGroup
	for _, s := range starts {
		n := len(groups)
		if n == 0 || groups[n-1].Job != s.Task.Job || groups[n-1].Step != s.Task.Step {
			groups = append(groups, runGroup{Job: s.Task.Job, Step: s.Task.Step, Spec: s.Spec, Demand: s.Demand})
			n++
		}
		groups[n-1].Tasks = append(groups[n-1].Tasks, [2]int{s.Task.Index, s.Attempt})
	}
	return groups
}

func (g runGroup) starts() []supervise.Start {
	starts := make([]supervise.Start, 0, len(g.Tasks))
	for _, t := range g.Tasks {
		starts = append(starts, supervise.Start{
			RunID:  supervise.RunID{Task: batch.TaskID{Job: g.Job, Step: g.Step, Index: t[0]}, Attempt: t[1]},
			Demand: g.Demand, Spec: g.Spec,
		})
	}
	return starts
}

// Keep keeps the session with an agent alive.
func (p *Peer) Keep(k KeepAlive) bool { return p.post(methodKeep, k) }

// Report tells an entry the state of the agent.
func (p *Peer) Report(r supervise.Report) bool {
	return p.post(methodReport, reportParams{Report: r})
}

// Load tells another entry the load of this one.
func (p *Peer) Load(l EntryLoad) bool { return p.post(methodLoad, l) }

// Forward passes a job to another entry.
func (p *Peer) Forward(j batch.Job) bool { return p.post(methodForward, forwardParams{Job: j}) }

// Forwarded tells another entry the outcome of a job that it passed on.
func (p *Peer) Forwarded(id batch.JobID, o batch.Outcome) bool {
	f := forwardedParams{Job: id}
	switch o := o.(type) {
	case batch.Completed:
		f.Kind = kindCompleted
	case batch.Failed:
		f.Kind, f.Task, f.Attempts = kindFailed, o.Task, o.Attempts
	case batch.NotRun:
		f.Kind, f.Reason, f.RetryAfter = kindNotRun, o.Reason, o.RetryAfter
	case batch.Unknown:
		f.Kind, f.Reason = kindUnknown, o.Reason
	case batch.Cancelled:
		f.Kind = kindCancelled
	}
	return p.post(methodForwarded, f)
}

// WithdrawJob tells another entry that nobody waits here for a job that was passed on to it, or that the job
// is cancelled for all who wait.
func (p *Peer) WithdrawJob(id batch.JobID, forAll bool) bool {
	return p.post(methodWithdrawJob, withdrawJobParams{Job: id, ForAll: forAll})
}

// PullConfiguration asks another entry for its configuration.
func (p *Peer) PullConfiguration(ctx context.Context) (site.Configuration, error) {
	var result configuration
	err := p.call(ctx, methodConfiguration, struct{}{}, &result)
	return result.Configuration, err
}

// noticeOf returns a method that decodes a packed notification of one type.
func noticeOf[T any](handle func(p *Peer, params T)) method {
	unpack := func(p *Peer, data []byte) error {
		var params T
		if err := cbor.Unmarshal(data, &params); err != nil {
			return errors.Wrap(err, "decode message")
		}
		handle(p, params)
		return nil
	}
	return method{unpack: unpack}
}

func batchEntryMethods(h BatchEntryHandler) methods {
	return withCombined(methods{
		methodReport:  noticeOf(func(p *Peer, m reportParams) { h.Report(p, m.Report) }),
		methodLoad:    noticeOf(func(p *Peer, m EntryLoad) { h.Load(p, m) }),
		methodForward: noticeOf(func(p *Peer, m forwardParams) { h.Forward(p, m.Job) }),
		methodForwarded: noticeOf(func(p *Peer, m forwardedParams) {
			h.Forwarded(p, m.Job, m.outcome())
		}),
		methodWithdrawJob: noticeOf(func(p *Peer, m withdrawJobParams) { h.WithdrawJob(p, m.Job, m.ForAll) }),
		methodConfiguration: callOf(func(context.Context, *Peer, json.RawMessage) (any, error) {
			return configuration{Configuration: h.Configuration()}, nil
		}),
	})
}

func batchAgentMethods(h BatchAgentHandler) methods {
	return withCombined(methods{
		methodRuns: noticeOf(func(p *Peer, m runsParams) {
			var starts []supervise.Start
			for _, g := range m.Starts {
				starts = append(starts, g.starts()...)
			}
			h.Runs(p, starts, m.Stops)
		}),
		methodKeep: noticeOf(func(p *Peer, m KeepAlive) { h.Keep(p, m) }),
	})
}
