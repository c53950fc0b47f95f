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
	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/home"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/site"
	"dogwoodglade/core/supervise"
)

// Method names on the wire and in metrics. Some differ from the names of the Go methods that send the message.
const (
	methodUpdateRuns     = "Runs"
	methodKeepAlive      = "Keep"
	methodReport         = "Report"
	methodLoad           = "Load"
	methodForward        = "Forward"
	methodForwardOutcome = "Forwarded"
	methodWithdrawJob    = "WithdrawJob"
	methodConfiguration  = "Configuration"
	methodJobWithdrawn   = "JobWithdrawn"
	methodCrashes        = "Crashes"
	methodEvacuations    = "Evacuations"
	methodCombined       = "Combined"
)

// BatchEntryHandler handles the batch-job messages that an entry receives. Its methods must not wait for the peer.
type BatchEntryHandler interface {
	Handler
	// Report receives an agent's state: its backend server and the runs that it executes for this entry.
	Report(p *Peer, r supervise.Report)
	// Load receives the load of another entry.
	Load(p *Peer, l EntryLoad)
	// Forward receives a job that another entry forwards. This entry replies with ForwardOutcome. The number identifies
	// the forward among those of the sender's process; it is 0 in this and the next methods if the sender is of an earlier
	// version.
	Forward(p *Peer, j batch.Job, number uint64)
	// ForwardOutcome receives the outcome of a job as forwarded by this entry under a number.
	ForwardOutcome(p *Peer, id batch.JobID, number uint64, o batch.Outcome)
	// WithdrawJob is called when the sender no longer waits for a job as forwarded under a number, or, with forAll, when
	// the job is cancelled for every waiting entry and client. If the number is not 0, this entry replies with
	// JobWithdrawn.
	WithdrawJob(p *Peer, id batch.JobID, number uint64, forAll bool)
	// JobWithdrawn is called when a forward that this entry has withdrawn has ended, and the sender has no run of the job.
	JobWithdrawn(p *Peer, id batch.JobID, number uint64)
	// Crashes receives the crashes of backend servers that another entry has recorded.
	Crashes(p *Peer, list []dispatch.Crash)
	// Evacuations receives the evacuations that an agent knows. If it was asked to read them from the store, readAfter is
	// the KeepAlive.ReadStore of the request, and 0 otherwise.
	Evacuations(p *Peer, s evacuation.State, readAfter time.Duration)
	// Configuration returns the configuration in use.
	Configuration() site.Configuration
}

// BatchAgentHandler handles the batch-job messages that an agent receives. Its methods must not wait for the peer.
type BatchAgentHandler interface {
	Handler
	// UpdateRuns starts and stops runs.
	UpdateRuns(p *Peer, starts []supervise.Start, stops []supervise.RunID)
	// KeepAlive extends the session of the entry.
	KeepAlive(p *Peer, k KeepAlive)
}

// EntryLoad is sent periodically between entries.
type EntryLoad struct {
	Load    dispatch.Load
	Version uint64  // of the configuration
	Weight  float64 // share of the agents that the sender can serve
	// ReadsStore reports whether the sender's latest call about the configuration in the store succeeded.
	ReadsStore bool
	// Session rises when the sender considers the receiver lost, and when messages may have been lost with a connection.
	// The first load of a session lists the jobs of earlier sessions that continue in it. The others are abandoned.
	// Session is 0 on a connection that the sender does not use for other messages.
	Session   uint64
	Forwarded []batch.JobID `cbor:",omitempty"` // jobs that the sender forwarded to the receiver and waits for
	Accepted  []batch.JobID `cbor:",omitempty"` // jobs that the receiver forwarded to the sender and that are open there
	// ForwardedNumbers and AcceptedNumbers have the numbers of the forwards; entries of earlier versions omit them.
	ForwardedNumbers map[batch.JobID]uint64 `cbor:",omitempty"`
	AcceptedNumbers  map[batch.JobID]uint64 `cbor:",omitempty"`
	Clock            time.Duration          // time on the sender's clock
	Echo             time.Duration          // latest Clock value that the sender received from the receiver; 0 if none
	// Evacuations are absent if the sender has sent them lately, or knows nothing about them.
	Evacuations *Evacuations `cbor:",omitempty"`
	// StoreAge is the age of the sender's knowledge about the evacuations; 0 if it has none.
	StoreAge time.Duration `cbor:",omitempty"`
	// ConfigurationAge is how long before this message the store had no newer version than Version; 0 if that is not known.
	ConfigurationAge time.Duration `cbor:",omitempty"`
}

// KeepAlive is sent periodically from an entry to its agents.
type KeepAlive struct {
	Until    time.Duration // end of the session, on the agent's clock
	Draining bool          // the agent should choose another entry
	Entries  []home.Entry  // entries of the region; empty if unchanged
	// Jobs has the time limit of each job whose runs may continue for less time than the session, on the agent's clock.
	Jobs     map[batch.JobID]time.Duration `cbor:",omitempty"`
	Complete bool                          // whether Entries has all entries that can be reached; false while the sender is starting
	// RefusingPool is the pool of the receiver's backend server if the configuration says that its backend servers refuse
	// runs beyond their capacity.
	RefusingPool string `cbor:",omitempty"`
	// Evacuations are absent if the sender has sent them lately, or knows nothing about them.
	Evacuations *Evacuations `cbor:",omitempty"`
	// StoreSeen is a time on the agent's clock at which the evacuations were still as sent; 0 if that is not known.
	StoreSeen time.Duration `cbor:",omitempty"`
	// ReadStore asks the agent to read the evacuations from the store, and is the time on the sender's clock; 0 if it does
	// not. AsksReaders reports whether the sender asks when it has to; entries of earlier versions do not.
	ReadStore   time.Duration `cbor:",omitempty"`
	AsksReaders bool          `cbor:",omitempty"`
}

// runGroup holds the starts of tasks that belong to the same step.
type runGroup struct {
	Job    batch.JobID
	Step   int
	Spec   string
	Demand resource.Amount
	Tasks  [][2]int      // task index and attempt number
	Until  time.Duration `cbor:",omitempty"`
}

type updateRunsParams struct {
	Starts []runGroup
	Stops  []supervise.RunID
}

type (
	reportParams  struct{ Report supervise.Report }
	forwardParams struct {
		Job    batch.Job
		Number uint64 `cbor:",omitempty"`
	}
	withdrawJobParams struct {
		Job    batch.JobID
		Number uint64 `cbor:",omitempty"`
		ForAll bool
	}
	jobWithdrawnParams struct {
		Job    batch.JobID
		Number uint64
	}
	crashesParams       struct{ Crashes []dispatch.Crash }
	configurationResult struct{ Configuration site.Configuration }
)

// forwardOutcomeParams encodes an outcome; Kind selects the fields in use.
type forwardOutcomeParams struct {
	Job        batch.JobID
	Number     uint64 `cbor:",omitempty"`
	Kind       string
	Reason     batch.Reason
	RetryAfter time.Duration
	Task       batch.TaskID
	Attempts   int
	Crashes    int
}

const (
	kindCompleted = "Completed"
	kindFailed    = "Failed"
	kindNotRun    = "NotRun"
	kindUnknown   = "Unknown"
	kindCancelled = "Cancelled"
)

func (f forwardOutcomeParams) outcome() batch.Outcome {
	switch f.Kind {
	case kindCompleted:
		return batch.Completed{}
	case kindFailed:
		return batch.Failed{Task: f.Task, Attempts: f.Attempts, Crashes: f.Crashes}
	case kindNotRun:
		return batch.NotRun{Reason: f.Reason, RetryAfter: f.RetryAfter}
	case kindCancelled:
		return batch.Cancelled{}
	}
	return batch.Unknown{Reason: f.Reason}
}

// cborMessage is a batch-job message encoded in CBOR. It is sent as the attachment of a notification, and without a
// stamp, because batch jobs do not appear in the event timeline.
type cborMessage []byte

// combinedMessages holds several CBOR messages in the order in which they were queued. Each frame has a fixed cost.
// Combining saves the most when a process is short of processor time, as more messages are then queued at once.
type combinedMessages struct{ Messages []combinedMessage }

type combinedMessage struct {
	Method string
	Data   []byte
}

// maxCombinedSize limits the total size of the messages combined into one, in bytes. It is far below MaxFrame.
const maxCombinedSize = 256 << 10

// combine merges consecutive CBOR notifications into Combined notifications of at most maxCombinedSize.
func combine(items []notification) []notification {
	if len(items) < 2 {
		return items
	}
	var result []notification
	var pending []combinedMessage
	size := 0
	flush := func() {
		switch len(pending) {
		case 0:
		case 1:
			result = append(result, notification{method: pending[0].Method, params: cborMessage(pending[0].Data)})
		default:
			// Encoding cannot fail: the message holds only strings and bytes.
			if data, err := cbor.Marshal(combinedMessages{Messages: pending}); err == nil {
				result = append(result, notification{method: methodCombined, params: cborMessage(data)})
			}
		}
		pending, size = nil, 0
	}
	for _, n := range items {
		p, ok := n.params.(cborMessage)
		if !ok || size+len(p) > maxCombinedSize {
			flush()
		}
		if !ok {
			result = append(result, n)
			continue
		}
		pending = append(pending, combinedMessage{Method: n.method, Data: p})
		size += len(p)
	}
	flush()
	return result
}

// withCombined adds the Combined method, which unpacks the messages and passes each to the method that it names.
func withCombined(m methods) methods {
	single := make(methods, len(m))
	maps.Copy(single, m)
	m[methodCombined] = cborNotificationMethod(func(p *Peer, c combinedMessages) {
		for _, x := range c.Messages {
			if handler, ok := single[x.Method]; ok && handler.handleAttachment != nil {
				// A malformed message is dropped; the remaining ones are still handled.
				_ = handler.handleAttachment(p, x.Data)
			}
		}
	})
	return m
}

// notifyCBOR queues a notification encoded in CBOR. Encoding cannot fail for the message types of this package.
func (p *Peer) notifyCBOR(name string, message any) bool {
	data, err := cbor.Marshal(message)
	return err == nil && p.notify(name, cborMessage(data))
}

// UpdateRuns asks an agent to start and stop runs.
func (p *Peer) UpdateRuns(starts []supervise.Start, stops []supervise.RunID) bool {
	return p.notifyCBOR(methodUpdateRuns, updateRunsParams{Starts: groupStartsByStep(starts), Stops: stops})
}

// groupStartsByStep groups consecutive starts of the same step, so that the spec and the demand are sent once per
// group.
func groupStartsByStep(starts []supervise.Start) []runGroup {
	var groups []runGroup
	for _, s := range starts {
		n := len(groups)
		if n == 0 || groups[n-1].Job != s.Task.Job || groups[n-1].Step != s.Task.Step ||
			groups[n-1].Until != s.Until {
			groups = append(groups, runGroup{
				Job: s.Task.Job, Step: s.Task.Step, Spec: s.Spec, Demand: s.Demand, Until: s.Until,
			})
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
			Demand: g.Demand, Spec: g.Spec, Until: g.Until,
		})
	}
	return starts
}

// KeepAlive extends the session with an agent.
func (p *Peer) KeepAlive(k KeepAlive) bool { return p.notifyCBOR(methodKeepAlive, k) }

// Report sends the state of the agent to an entry.
func (p *Peer) Report(r supervise.Report) bool {
	return p.notifyCBOR(methodReport, reportParams{Report: r})
}

// Load sends the load of this entry to another entry.
func (p *Peer) Load(l EntryLoad) bool { return p.notifyCBOR(methodLoad, l) }

// Forward forwards a job to another entry, under a number that rises within the process.
func (p *Peer) Forward(j batch.Job, number uint64) bool {
	return p.notifyCBOR(methodForward, forwardParams{Job: j, Number: number})
}

// ForwardOutcome sends the outcome of a forwarded job, with the number of the forward, to the entry that forwarded it.
func (p *Peer) ForwardOutcome(id batch.JobID, number uint64, o batch.Outcome) bool {
	f := forwardOutcomeParams{Job: id, Number: number}
	switch o := o.(type) {
	case batch.Completed:
		f.Kind = kindCompleted
	case batch.Failed:
		f.Kind, f.Task, f.Attempts, f.Crashes = kindFailed, o.Task, o.Attempts, o.Crashes
	case batch.NotRun:
		f.Kind, f.Reason, f.RetryAfter = kindNotRun, o.Reason, o.RetryAfter
	case batch.Unknown:
		f.Kind, f.Reason = kindUnknown, o.Reason
	case batch.Cancelled:
		f.Kind = kindCancelled
	}
	return p.notifyCBOR(methodForwardOutcome, f)
}

// WithdrawJob tells another entry that this entry no longer waits for a job as forwarded under a number, or, with forAll,
// that the job is cancelled for every waiting entry and client.
func (p *Peer) WithdrawJob(id batch.JobID, number uint64, forAll bool) bool {
	return p.notifyCBOR(methodWithdrawJob, withdrawJobParams{Job: id, Number: number, ForAll: forAll})
}

// JobWithdrawn tells another entry that a forward that it has withdrawn has ended, and that no run of the job is left.
func (p *Peer) JobWithdrawn(id batch.JobID, number uint64) bool {
	return p.notifyCBOR(methodJobWithdrawn, jobWithdrawnParams{Job: id, Number: number})
}

// Crashes sends crashes of backend servers to another entry. Entries of earlier versions ignore the message.
func (p *Peer) Crashes(list []dispatch.Crash) bool {
	return p.notifyCBOR(methodCrashes, crashesParams{Crashes: list})
}

// PullConfiguration requests the configuration of another entry.
func (p *Peer) PullConfiguration(ctx context.Context) (site.Configuration, error) {
	var result configurationResult
	err := p.call(ctx, methodConfiguration, struct{}{}, &result)
	return result.Configuration, err
}

// cborNotificationMethod returns a method that decodes and handles a CBOR notification.
func cborNotificationMethod[T any](handle func(p *Peer, params T)) method {
	handleAttachment := func(p *Peer, data []byte) error {
		var params T
		if err := cbor.Unmarshal(data, &params); err != nil {
			return errors.Wrap(err, "decode message")
		}
		handle(p, params)
		return nil
	}
	return method{handleAttachment: handleAttachment}
}

func batchEntryMethods(h BatchEntryHandler) methods {
	return withCombined(methods{
		methodReport:  cborNotificationMethod(func(p *Peer, m reportParams) { h.Report(p, m.Report) }),
		methodLoad:    cborNotificationMethod(func(p *Peer, m EntryLoad) { h.Load(p, m) }),
		methodForward: cborNotificationMethod(func(p *Peer, m forwardParams) { h.Forward(p, m.Job, m.Number) }),
		methodForwardOutcome: cborNotificationMethod(func(p *Peer, m forwardOutcomeParams) {
			h.ForwardOutcome(p, m.Job, m.Number, m.outcome())
		}),
		methodWithdrawJob: cborNotificationMethod(func(p *Peer, m withdrawJobParams) {
			h.WithdrawJob(p, m.Job, m.Number, m.ForAll)
		}),
		methodJobWithdrawn: cborNotificationMethod(func(p *Peer, m jobWithdrawnParams) {
			h.JobWithdrawn(p, m.Job, m.Number)
		}),
		methodCrashes:     cborNotificationMethod(func(p *Peer, m crashesParams) { h.Crashes(p, m.Crashes) }),
		methodEvacuations: cborNotificationMethod(func(p *Peer, x Evacuations) { h.Evacuations(p, x.State(), x.ReadAfter) }),
		methodConfiguration: callMethod(func(context.Context, *Peer, json.RawMessage) (any, error) {
			return configurationResult{Configuration: h.Configuration()}, nil
		}),
	})
}

func batchAgentMethods(h BatchAgentHandler) methods {
	return withCombined(methods{
		methodUpdateRuns: cborNotificationMethod(func(p *Peer, m updateRunsParams) {
			var starts []supervise.Start
			for _, g := range m.Starts {
				starts = append(starts, g.starts()...)
			}
			h.UpdateRuns(p, starts, m.Stops)
		}),
		methodKeepAlive: cborNotificationMethod(func(p *Peer, m KeepAlive) { h.KeepAlive(p, m) }),
	})
}
