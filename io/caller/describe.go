package caller

import (
	"net/http"
	"time"

	"dogwoodglade/core/job"
)

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// httpStatus returns the HTTP status code for the state and reason of a job.
func httpStatus(a job.Answer) int {
	switch a.State {
	case job.Complete:
		return http.StatusOK
	case job.Pending:
		return http.StatusAccepted
	case job.Failed:
		return failureStatus(a.Reason)
	case job.OutcomeUnknown:
		if a.Reason == job.ReasonBusy {
			return http.StatusServiceUnavailable
		}
		return http.StatusGatewayTimeout
	}
	if a.Reason == job.ReasonQuotaExceeded {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// failureStatus returns a 4xx status for a submission that can only run if the caller changes it, and 502 for a job
// that failed.
func failureStatus(reason job.Reason) int {
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

var reasonMessages = map[job.Reason]string{
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
	job.ReasonTicketRequired: "the job may have run before, but no earlier run is on record; " +
		"if this is the first submission of the key, send it again with the ticket in this response",
	job.ReasonTicketSuperseded: "the issuer of the ticket no longer owns the key, and no earlier run is on record",
	job.ReasonOwnerUnavailable: "the owner of the key cannot be reached",
	job.ReasonOwnerSuperseded:  "the owner of the key was replaced during the job; submit again to get its state",
	job.ReasonDraining:         "the entry is stopping; submit again",
	job.ReasonKeyReused:        "the key was used for another submission",
	job.ReasonNotFound:         "no submission with this key is on record",
	job.ReasonBusy:             "the entry has no memory for the request; submit again later",
}

// messageFor returns the message for the reason why a job is not complete.
func messageFor(a job.Answer) string { return reasonMessages[a.Reason] }
