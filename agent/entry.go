package agent

import (
	"context"
	"time"

	"dogwoodglade/core/executor"
	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
	"dogwoodglade/io/inner"
)

// Connected implements inner.Handler.
func (a *Agent) Connected(p *inner.Peer) {
	a.mu.Lock()
	a.peers[p.Name] = p
	if !a.disconnectedSince.IsZero() && time.Since(a.disconnectedSince) > maxDisconnectedTime {
		a.executor.Unregister()
		select {
		case a.reregister <- struct{}{}:
		default:
		}
	}
	a.disconnectedSince = time.Time{}
	a.executor.RecordOwnerContact(time.Now(), p.Name)
	servers := a.executor.Heartbeat(time.Now())
	a.mu.Unlock()
	p.Heartbeat(servers)
}

// Disconnected implements inner.Handler.
func (a *Agent) Disconnected(p *inner.Peer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peers[p.Name] == p {
		delete(a.peers, p.Name)
	}
	if len(a.peers) == 0 && a.disconnectedSince.IsZero() {
		a.disconnectedSince = time.Now()
	}
}

// Start implements inner.StartHandler.
func (a *Agent) Start(p *inner.Peer, s task.Start) {
	var refusal task.Refusal
	a.withExecutor(func(now time.Time) []executor.Action {
		a.executor.RecordOwnerContact(now, p.Name)
		var actions []executor.Action
		refusal, actions = a.executor.Start(now, s)
		return actions
	})
	p.StartReply(s.Attempt, refusal)
}

// CancelTask implements inner.StartHandler.
func (a *Agent) CancelTask(p *inner.Peer, attempt task.AttemptID, epoch shard.Epoch) {
	a.withExecutor(func(now time.Time) []executor.Action {
		a.executor.RecordOwnerContact(now, p.Name)
		// The sender may have been superseded as owner; the attempt then belongs to the new owner.
		if a.executor.IsSuperseded(attempt, epoch) {
			return nil
		}
		return a.executor.Cancel(now, attempt)
	})
}

// EntryHeartbeat implements inner.StartHandler.
func (a *Agent) EntryHeartbeat(p *inner.Peer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.executor.RecordOwnerContact(time.Now(), p.Name)
}

// Fence implements inner.FenceHandler.
func (a *Agent) Fence(p *inner.Peer, fences []shard.Fence) inner.FenceReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	records := a.executor.Fence(time.Now(), p.Name, fences)
	return inner.FenceReply{Epochs: a.executor.AcceptedEpochs(fences), Records: records}
}

// Reconcile implements inner.FenceHandler.
func (a *Agent) Reconcile(p *inner.Peer, ids []task.AttemptID) inner.ReconcileReply {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.executor.RecordOwnerContact(time.Now(), p.Name)
	started, notStarted := a.executor.Reconcile(time.Now(), ids)
	return inner.ReconcileReply{Started: started, NotStarted: notStarted}
}

// Vote implements inner.FenceHandler.
func (a *Agent) Vote(_ *inner.Peer, entries []string) []time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	sinceContact := make([]time.Duration, len(entries))
	for i, entry := range entries {
		sinceContact[i] = a.executor.TimeSinceOwnerContact(time.Now(), entry)
	}
	return sinceContact
}

// Entries implements inner.FenceHandler.
func (a *Agent) Entries(_ *inner.Peer, addresses []string) {
	<-a.connectorSet
	for _, address := range addresses {
		a.connector.AddDiscovered(address)
	}
}

// Confirm implements inner.FenceHandler.
func (a *Agent) Confirm(p *inner.Peer, f shard.Fence) task.Refusal {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.executor.RecordOwnerContact(time.Now(), p.Name)
	return a.executor.Confirm(f)
}

// Relay implements inner.RelayHandler.
func (a *Agent) Relay(ctx context.Context, to string, r inner.JobRequest) (inner.OwnerReply, error) {
	p := a.peer(to)
	if p == nil {
		return inner.OwnerReply{NotOwner: true}, nil
	}
	return p.Send(ctx, r)
}
