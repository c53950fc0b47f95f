package load

import (
	"bytes"
	"encoding/json"

	"dogwoodglade/core/job"
)

// Wrong counts the faults of answers. One answer may have several.
type Wrong struct {
	Answers    int // with any of the faults below
	Mismatched int // results that do not match their task, or answers to another job
	Missing    int // tasks without a result
	Doubled    int // results beyond the first of a task
	Differing  int // complete answers of a resubmission that differ from those of the submission
}

// add adds the faults of an answer.
func (w *Wrong) add(o Wrong) {
	w.Answers += o.Answers
	w.Mismatched += o.Mismatched
	w.Missing += o.Missing
	w.Doubled += o.Doubled
	w.Differing += o.Differing
}

// check returns the faults of an answer.
func check(j Job, a job.Answer) Wrong {
	var w Wrong
	if a.ID != j.Submission.ID {
		w.Mismatched++
	}
	if a.State == job.Complete {
		w.add(checkResults(j, a))
	} else {
		w.Mismatched += len(a.Results) // only a complete answer has results
	}
	if w != (Wrong{}) {
		w.Answers = 1
	}
	return w
}

func checkResults(j Job, a job.Answer) Wrong {
	var w Wrong
	seen := map[string]int{}
	for i, r := range a.Results {
		var result struct {
			Text            string
			RunMilliseconds int64
		}
		err := json.Unmarshal(r.Body, &result)
		seen[result.Text]++
		if err != nil || !r.Succeeded() || i >= len(j.Runs) || result.Text != j.text(i) ||
			result.RunMilliseconds != j.Runs[i].Milliseconds() {
			w.Mismatched++
		}
	}
	for i := range j.Runs {
		switch n := seen[j.text(i)]; n {
		case 0:
			w.Missing++
		default:
			w.Doubled += n - 1
		}
	}
	return w
}

// compare returns the fault of two complete answers to one job that differ: the backend server's name is in
// a result, so they also differ if the job ran twice.
func compare(first, second job.Answer) Wrong {
	if first.State != job.Complete || second.State != job.Complete {
		return Wrong{}
	}
	equal := len(first.Results) == len(second.Results)
	for i := 0; equal && i < len(first.Results); i++ {
		equal = bytes.Equal(first.Results[i].Body, second.Results[i].Body)
	}
	if equal {
		return Wrong{}
	}
	return Wrong{Answers: 1, Differing: 1}
}
