package job

import "sync/atomic"

// AnswerBudget is the memory for the result bodies that the owners of a process keep for resubmissions. The owners share
// it, each under its own lock.
type AnswerBudget struct {
	most int64
	used atomic.Int64
}

// NewAnswerBudget returns a budget of a number of bytes.
func NewAnswerBudget(most int64) *AnswerBudget { return &AnswerBudget{most: most} }

// Used returns the number of bytes that are kept.
func (b *AnswerBudget) Used() int64 { return b.used.Load() }

func (b *AnswerBudget) exceeded() bool { return b != nil && b.used.Load() > b.most }

func (b *AnswerBudget) add(bytes int) {
	if b != nil {
		b.used.Add(int64(bytes))
	}
}

// SetAnswerBudget makes the owner share a budget with the other owners of the process. Release returns what it uses.
func (o *Owner) SetAnswerBudget(b *AnswerBudget) { o.answerBudget = b }

// Release ends the use of shared budgets by an owner that is no longer in use.
func (o *Owner) Release() {
	o.answerBudget.add(-o.retainedBytes)
	o.answerBudget, o.retainedBytes, o.answersWithBodies = nil, 0, nil
	o.releaseRecords()
}

// retain adds an answer whose results are kept.
func (o *Owner) retain(j *trackedJob) {
	o.answersWithBodies = append(o.answersWithBodies, j)
	o.retainedBytes += j.resultBytes()
	o.answerBudget.add(j.resultBytes())
}

// evictOldest drops the results of the oldest answer that has them.
func (o *Owner) evictOldest() {
	oldest := o.answersWithBodies[0]
	o.answersWithBodies[0] = nil
	o.answersWithBodies = o.answersWithBodies[1:]
	o.retainedBytes -= oldest.resultBytes()
	o.answerBudget.add(-oldest.resultBytes())
	o.dropResults(oldest)
	oldest.answer = &Answer{ID: oldest.id, State: Failed, Reason: ReasonResultEvicted}
}

// evictForOthers drops the oldest results while the owners of the process keep too many. At each tick each owner drops one
// answer at most, so that old answers of all shards go before new ones of a few.
func (o *Owner) evictForOthers() {
	if o.answerBudget.exceeded() && len(o.answersWithBodies) > 0 {
		o.evictOldest()
	}
}
