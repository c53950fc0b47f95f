package executor

import (
	"cmp"
	"slices"
	"time"

	"dogwoodglade/core/shard"
	"dogwoodglade/core/task"
)

// Reconcile returns the records of the named attempts after the owner reconnected. Attempts without a
// record were not started, and are barred from starting later.
func (e *Executor) Reconcile(now time.Time, ids []task.AttemptID) (found []task.Record, unseen []task.AttemptID) {
	for _, a := range ids {
		if r := e.find(a); r != nil {
			found = append(found, r.Record)
			continue
		}
		e.bar(now, a)
		unseen = append(unseen, a)
	}
	return found, unseen
}

// Records returns all start records in the order of their attempts.
func (e *Executor) Records() []task.Record {
	var all []task.Record
	for id := range e.records {
		e.eachOf(shard.ID(id), func(s *start) { all = append(all, s.Record) })
	}
	sortRecords(all)
	return all
}

func (e *Executor) ofTask(id task.ID) []*start { return e.records[id.Job.Shard()][id] }

func (e *Executor) find(a task.AttemptID) *start {
	for _, r := range e.ofTask(a.Task) {
		if r.Attempt == a {
			return r
		}
	}
	return nil
}

func (e *Executor) add(r *start) {
	id := r.Attempt.Task.Job.Shard()
	if e.records[id] == nil {
		e.records[id] = map[task.ID][]*start{}
	}
	e.records[id][r.Attempt.Task] = append(e.records[id][r.Attempt.Task], r)
}

func (e *Executor) remove(r *start) {
	records := e.records[r.Attempt.Task.Job.Shard()]
	rest := slices.DeleteFunc(records[r.Attempt.Task], func(other *start) bool { return other == r })
	if len(rest) == 0 {
		delete(records, r.Attempt.Task)
		return
	}
	records[r.Attempt.Task] = rest
}

func (e *Executor) eachOf(id shard.ID, visit func(*start)) {
	for _, attempts := range e.records[id] {
		for _, r := range attempts {
			visit(r)
		}
	}
}

func (e *Executor) bar(now time.Time, a task.AttemptID) {
	if _, ok := e.barred[a]; ok {
		return
	}
	e.barred[a] = struct{}{}
	e.barredOrder = append(e.barredOrder, barredAttempt{attempt: a, at: now})
}

// retain keeps the record of an ended attempt and evicts the oldest result bodies over the bound.
func (e *Executor) retain(r *start) {
	e.ended = append(e.ended, r)
	e.bodyBytes += len(r.Result.Body)
	for e.bodyBytes > MaxResultBytes {
		oldest := e.ended[e.firstBody]
		e.firstBody++
		e.evict(oldest)
	}
}

func (e *Executor) evict(r *start) {
	if len(r.Result.Body) == 0 {
		return
	}
	e.bodyBytes -= len(r.Result.Body)
	r.Result.Body = nil
	r.State = task.Evicted
}

// expireRecords drops what is older than the retention window. Records of running attempts stay.
func (e *Executor) expireRecords(now time.Time) {
	expired := 0
	for expired < len(e.ended) && now.Sub(e.ended[expired].endedAt) >= RetentionWindow {
		e.bodyBytes -= len(e.ended[expired].Result.Body)
		e.remove(e.ended[expired])
		e.ended[expired] = nil
		expired++
	}
	e.ended = e.ended[expired:]
	e.firstBody = max(e.firstBody-expired, 0)
	expired = 0
	for expired < len(e.barredOrder) && now.Sub(e.barredOrder[expired].at) >= RetentionWindow {
		delete(e.barred, e.barredOrder[expired].attempt)
		expired++
	}
	e.barredOrder = e.barredOrder[expired:]
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
