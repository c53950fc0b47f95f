package load

import (
	"bytes"
	"encoding/json"

	"dogwoodglade/core/job"
)

// AnswerErrors counts errors in answers. One answer may have several.
type AnswerErrors struct {
	Answers    int // answers with any of the errors below
	Mismatched int // results that do not match their task, and answers to another job
	Missing    int // tasks without a result
	Duplicate  int `json:"Doubled"` // further results of a task after the first
	Differing  int // complete answers to resubmissions that differ from the answer to the submission
}

func (e *AnswerErrors) add(o AnswerErrors) {
	e.Answers += o.Answers
	e.Mismatched += o.Mismatched
	e.Missing += o.Missing
	e.Duplicate += o.Duplicate
	e.Differing += o.Differing
}

// checkAnswer returns the errors in the answer to a job.
func checkAnswer(j Job, answer job.Answer) AnswerErrors {
	var errs AnswerErrors
	if answer.ID != j.Submission.ID {
		errs.Mismatched++
	}
	if answer.State == job.Complete {
		errs.add(checkResults(j, answer))
	} else {
		errs.Mismatched += len(answer.Results) // only a complete answer has results
	}
	if errs != (AnswerErrors{}) {
		errs.Answers = 1
	}
	return errs
}

func checkResults(j Job, answer job.Answer) AnswerErrors {
	var errs AnswerErrors
	seen := map[string]int{}
	for i, r := range answer.Results {
		var result struct {
			Text            string
			RunMilliseconds int64
		}
		err := json.Unmarshal(r.Body, &result)
		seen[result.Text]++
		if err != nil || !r.Succeeded() || i >= len(j.RunTimes) || result.Text != j.taskText(i) ||
			result.RunMilliseconds != j.RunTimes[i].Milliseconds() {
			errs.Mismatched++
		}
	}
	for i := range j.RunTimes {
		switch n := seen[j.taskText(i)]; n {
		case 0:
			errs.Missing++
		default:
			errs.Duplicate += n - 1
		}
	}
	return errs
}

// compareAnswers counts one error if two complete answers to the same job differ. Results contain the name of the
// backend server, so the answers usually differ if the job ran twice.
func compareAnswers(first, second job.Answer) AnswerErrors {
	if first.State != job.Complete || second.State != job.Complete {
		return AnswerErrors{}
	}
	equal := len(first.Results) == len(second.Results)
	for i := 0; equal && i < len(first.Results); i++ {
		equal = bytes.Equal(first.Results[i].Body, second.Results[i].Body)
	}
	if equal {
		return AnswerErrors{}
	}
	return AnswerErrors{Answers: 1, Differing: 1}
}
