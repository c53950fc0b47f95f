package executor

import (
	"cmp"
	"slices"
	"time"

	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// Reconcile returns the records of the given attempts after the owner has reconnected. Attempts without a record
// did not start, and are blocked so that they cannot start later.
func (e *Executor) Reconcile(now time.Time, ids []task.AttemptID) (found []task.Record, unseen []task.AttemptID) {
	for _, a := range ids {
		if r := e.findRecord(a); r != nil {
			found = append(found, r.Record)
			continue
		}
		e.block(now, a)
		unseen = append(unseen, a)
	}
	return found, unseen
}

// Records returns all start records in order of their attempts.
func (e *Executor) Records() []task.Record {
	var all []task.Record
	for id := range e.records {
		e.forEachRecord(shard.ID(id), func(r *startRecord) { all = append(all, r.Record) })
	}
	sortRecords(all)
	return all
}

func (e *Executor) attemptsOf(id task.ID) []*startRecord { return e.records[id.Job.Shard()][id] }

func (e *Executor) findRecord(a task.AttemptID) *startRecord {
	for _, r := range e.attemptsOf(a.Task) {
		if r.Attempt == a {
			return r
		}
	}
	return nil
}

func (e *Executor) addRecord(r *startRecord) {
	id := r.Attempt.Task.Job.Shard()
	if e.records[id] == nil {
		e.records[id] = map[task.ID][]*startRecord{}
	}
	e.records[id][r.Attempt.Task] = append(e.records[id][r.Attempt.Task], r)
}

func (e *Executor) removeRecord(r *startRecord) {
	records := e.records[r.Attempt.Task.Job.Shard()]
	rest := slices.DeleteFunc(records[r.Attempt.Task], func(other *startRecord) bool { return other == r })
	if len(rest) == 0 {
		delete(records, r.Attempt.Task)
		return
	}
	records[r.Attempt.Task] = rest
}

func (e *Executor) forEachRecord(id shard.ID, visit func(*startRecord)) {
	for _, attempts := range e.records[id] {
		for _, r := range attempts {
			visit(r)
		}
	}
}

func (e *Executor) block(now time.Time, a task.AttemptID) {
	if _, ok := e.blocked[a]; ok {
		return
	}
	e.blocked[a] = struct{}{}
	e.blockedOrder = append(e.blockedOrder, blockedAttempt{attempt: a, at: now})
}

// retainRecord keeps the record of an ended attempt, and evicts the oldest result bodies beyond MaxResultBytes.
func (e *Executor) retainRecord(r *startRecord) {
	e.ended = append(e.ended, r)
	e.retainedBytes += len(r.Result.Body)
	for e.retainedBytes > MaxResultBytes {
		oldest := e.ended[e.nextEviction]
		e.nextEviction++
		e.evictBody(oldest)
	}
}

func (e *Executor) evictBody(r *startRecord) {
	if len(r.Result.Body) == 0 {
		return
	}
	e.retainedBytes -= len(r.Result.Body)
	r.Result.Body = nil
	r.State = task.Evicted
}

// expireRecords removes records and blocked attempts that are older than the retention window. Records of running
// attempts are kept.
func (e *Executor) expireRecords(now time.Time) {
	expired := 0
	for expired < len(e.ended) && now.Sub(e.ended[expired].endedAt) >= RetentionWindow {
		e.retainedBytes -= len(e.ended[expired].Result.Body)
		e.removeRecord(e.ended[expired])
		e.ended[expired] = nil
		expired++
	}
	e.ended = e.ended[expired:]
	e.nextEviction = max(e.nextEviction-expired, 0)
	expired = 0
	for expired < len(e.blockedOrder) && now.Sub(e.blockedOrder[expired].at) >= RetentionWindow {
		delete(e.blocked, e.blockedOrder[expired].attempt)
		expired++
	}
	e.blockedOrder = e.blockedOrder[expired:]
}

func sortRecords(records []task.Record) { slices.SortFunc(records, compareRecords) }

func compareRecords(a, b task.Record) int {
	return cmp.Or(
		cmp.Compare(a.Attempt.Task.Job.Customer, b.Attempt.Task.Job.Customer),
		cmp.Compare(a.Attempt.Task.Job.Key, b.Attempt.Task.Job.Key),
		cmp.Compare(a.Attempt.Task.Index, b.Attempt.Task.Index),
		cmp.Compare(a.Attempt.Number, b.Attempt.Number),
	)
}
