package job

import "sync"

const (
	// jobRecordBytes and taskRecordBytes are the memory of a job and of each of its tasks that an owner keeps for the
	// retention window, without results, names and keys.
	jobRecordBytes  = 700
	taskRecordBytes = 420
	// freeRecordShare is the part of a record budget that any customer may fill. Of the rest, a customer that keeps more
	// than is left gets nothing, so that others are served beside one that submits more than the memory holds.
	freeRecordShare = 0.8
)

// RecordBudget is the memory for the jobs that the owners of a process keep for the retention window. Without their
// records, a resubmission would run them again, so that new jobs are refused when the memory is used up. The owners share
// it, each under its own lock.
type RecordBudget struct {
	most int64

	mu         sync.Mutex
	used       int64
	byCustomer map[string]int64
}

// NewRecordBudget returns a budget of a number of bytes.
func NewRecordBudget(most int64) *RecordBudget {
	return &RecordBudget{most: most, byCustomer: map[string]int64{}}
}

// Used returns the number of bytes in use.
func (b *RecordBudget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// admits reports whether a customer may add a new job.
func (b *RecordBudget) admits(customer string, bytes int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.most - b.used - bytes
	return left >= 0 && (float64(b.used+bytes) <= freeRecordShare*float64(b.most) || b.byCustomer[customer] <= left)
}

// add adds bytes to what a customer uses, or removes them if they are negative.
func (b *RecordBudget) add(customer string, bytes int64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += bytes
	if b.byCustomer[customer] += bytes; b.byCustomer[customer] == 0 {
		delete(b.byCustomer, customer)
	}
}

// SetRecordBudget makes the owner share a budget with the other owners of the process. Release returns what it uses.
func (o *Owner) SetRecordBudget(b *RecordBudget) { o.recordBudget = b }

func recordBytes(s Submission) int64 {
	return int64(jobRecordBytes + len(s.ID.Key) + len(s.ID.Customer) + taskRecordBytes*len(s.Bodies))
}

func (j *trackedJob) recordBytes() int64 {
	return int64(jobRecordBytes + len(j.id.Key) + len(j.id.Customer) + taskRecordBytes*len(j.tasks))
}

// keep adds a job to those in memory.
func (o *Owner) keep(j *trackedJob) {
	o.jobs[j.id] = j
	o.recordBudget.add(j.id.Customer, j.recordBytes())
}

// forget removes a job from those in memory.
func (o *Owner) forget(j *trackedJob) {
	delete(o.jobs, j.id)
	o.recordBudget.add(j.id.Customer, -j.recordBytes())
}

// keepReleased adds a released job, whose attempt numbers are still needed.
func (o *Owner) keepReleased(j *trackedJob) {
	o.releasedJobs[j.id] = j
	o.recordBudget.add(j.id.Customer, j.recordBytes())
}

// forgetReleased removes a released job.
func (o *Owner) forgetReleased(j *trackedJob) {
	delete(o.releasedJobs, j.id)
	o.recordBudget.add(j.id.Customer, -j.recordBytes())
}

// releaseRecords returns the memory of all jobs.
func (o *Owner) releaseRecords() {
	for _, j := range o.jobs {
		o.recordBudget.add(j.id.Customer, -j.recordBytes())
	}
	for _, j := range o.releasedJobs {
		o.recordBudget.add(j.id.Customer, -j.recordBytes())
	}
	o.recordBudget = nil
}
