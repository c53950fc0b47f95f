package caller

import (
	"net/http"
	"time"

	"dogwoodglade/core/job"
)

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// statusOf returns the HTTP status of an answer.
func statusOf(a job.Answer) int {
	switch a.State {
	case job.Complete:
		return http.StatusOK
	case job.Pending:
		return http.StatusAccepted
	case job.Failed:
		return statusOfFailure(a.Reason)
	case job.OutcomeUnknown:
		return http.StatusGatewayTimeout
	}
	if a.Reason == job.ReasonQuotaExceeded {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// statusOfFailure tells jobs that can never run as they are from those that ran and failed.
func statusOfFailure(reason job.Reason) int {
	switch reason {
	case job.ReasonKeyReused:
		return http.StatusConflict
	case job.ReasonUnknownRoute:
		return http.StatusNotFound
	case job.ReasonTooManyTasks, job.ReasonNoTasks:
		return http.StatusBadRequest
	case job.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadGateway
}

var messages = map[job.Reason]string{
	job.ReasonTaskFailed:        "a task failed; its backend server answered with an error",
	job.ReasonCancelled:         "the job was cancelled",
	job.ReasonDeadlineExceeded:  "the deadline passed before every task had a result",
	job.ReasonOverloaded:        "the pool has more work than it can finish in time; submit again later",
	job.ReasonQuotaExceeded:     "the customer's quota of the pool is in use; submit again later",
	job.ReasonUnknownRoute:      "the route does not exist",
	job.ReasonTooManyTasks:      "the job has more tasks than the route allows",
	job.ReasonNoTasks:           "the job has no tasks",
	job.ReasonBodyTooLarge:      "a task's body is larger than the route allows",
	job.ReasonEmptyPool:         "the pool has no backend server",
	job.ReasonBackendServerLost: "a backend server was lost while it ran a task",
	job.ReasonResultEvicted:     "the tasks ended, but a result is no longer kept",
	job.ReasonTicketRequired: "the key may be a resubmission whose first run is not on record; " +
		"if this is the first submission of the key, send it again with the ticket of this answer",
	job.ReasonTicketSuperseded: "the ticket's issuer no longer owns the key and the first run is not on record",
	job.ReasonOwnerUnavailable: "the owner of the key cannot be reached",
	job.ReasonOwnerSuperseded:  "the owner of the key was replaced during the job; submit again to get its state",
	job.ReasonDraining:         "the entry is stopping; submit again",
	job.ReasonKeyReused:        "the key was used for another submission",
	job.ReasonNotFound:         "no submission with this key is on record",
}

// describe says what a caller can do about an answer that is not complete.
func describe(a job.Answer) string { return messages[a.Reason] }
