package agent

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/event"
	"dogwoodglade/core/ownership"
	"dogwoodglade/core/task"
	"dogwoodglade/io/store"
)

// keepRegistered registers the agent, and registers it again if its row is gone from the registry of agents. An
// entry removes the row of an agent that no entry has been connected to for the retention window. Takeovers
// then no longer fence the agent, so it must not accept starts before it has registered again.
func (a *Agent) keepRegistered(ctx context.Context) {
	a.register(ctx)
	ticker := time.NewTicker(rowCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.reregister:
		case <-ticker.C:
			if a.mayHaveRow(ctx) {
				continue
			}
		}
		a.mu.Lock()
		a.executor.Unregister()
		a.mu.Unlock()
		a.register(ctx)
	}
}

// mayHaveRow reports false only if the platform answers that the row does not exist.
func (a *Agent) mayHaveRow(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	rows, err := a.options.Platform.Get(ctx, store.AgentKey(a.options.Name, a.incarnation))
	return err != nil || len(rows) == 0 || rows[0].Version > 0
}

// register writes the row of the agent and then reads the epochs of the shards. The order matters: an owner
// writes its epoch before it reads the registry, so if it did not find the row of this agent, its epoch is
// among those that this agent reads.
func (a *Agent) register(ctx context.Context) {
	failed := false
	for ctx.Err() == nil {
		err := a.tryRegister(ctx)
		if err == nil {
			if failed {
				a.options.Recorder.Record(event.Event{Number: event.PlatformRestored, Task: -1})
			}
			return
		}
		if !failed {
			failed = true
			a.options.Recorder.Record(event.Event{Number: event.PlatformFailed, Task: -1, State: err.Error()})
		}
		select {
		case <-ctx.Done():
		case <-time.After(registerRetryInterval):
		}
	}
}

func (a *Agent) tryRegister(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	row := ownership.AgentRow{Agent: a.options.Name, Incarnation: a.incarnation}
	if err := a.writeRow(ctx, row); err != nil {
		return err
	}
	rows, err := a.options.Platform.Get(ctx, store.ShardsKey)
	if err != nil {
		return errors.Wrap(err, "read the epochs of the shards")
	}
	var shards ownership.ShardsRow
	if len(rows) > 0 && len(rows[0].Value) > 0 {
		if err := json.Unmarshal(rows[0].Value, &shards); err != nil {
			return errors.Wrap(err, "decode the epochs of the shards")
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.executor.Register(time.Now(), shards.Epochs())
	return nil
}

func (a *Agent) writeRow(ctx context.Context, row ownership.AgentRow) error {
	data, err := json.Marshal(row)
	if err != nil {
		return errors.Wrap(err, "encode the agent's row")
	}
	key := store.AgentKey(row.Agent, row.Incarnation)
	_, err = a.options.Platform.Commit(ctx, store.Transaction{
		Writes: []store.Write{{Key: key, Value: data}},
	})
	return errors.Wrap(err, "write the agent's row")
}

// storeRecords stores the start records for later owners. If the platform is unavailable, owners treat the
// agent as lost.
func (a *Agent) storeRecords(records []task.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	data, err := json.Marshal(records)
	if err != nil {
		return
	}
	name := store.RecordsName(a.options.Name, a.incarnation)
	if err := a.options.Platform.PutObject(ctx, name, data); err != nil {
		a.options.Recorder.Record(event.Event{Number: event.PlatformFailed, Task: -1, State: err.Error()})
		return
	}
	row := ownership.AgentRow{Agent: a.options.Name, Incarnation: a.incarnation, Left: true, Records: name}
	if err := a.writeRow(ctx, row); err != nil {
		a.options.Recorder.Record(event.Event{Number: event.PlatformFailed, Task: -1, State: err.Error()})
	}
}
