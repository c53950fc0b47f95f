package main

import (
	"net/http"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	"dogwoodglade/core/site"
)

const (
	// applyBound is how long after its acknowledgement a configuration is in force at the latest.
	applyBound = 2 * time.Second
	// ackBound is how long a cancelling may wait for its acknowledgement before it counts all the same.
	ackBound = 4 * time.Second
)

// playDropped cancels a job after the operator has removed its route.
func playDropped(s *testSite, trouble bool) verdict {
	const (
		id       = "5c0e7a21d94b36f8"
		holder   = 2
		deadline = 25 * time.Second
	)
	if err := s.startSite(3, 6); err != nil {
		s.record.add("start: %v", err)
		return couldNotRun
	}
	if !await(10*time.Second, func() bool { return s.ready(1) && s.ready(2) && s.ready(3) }) {
		return couldNotRun
	}
	time.Sleep(4 * time.Second) // until all machines are in touch
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		s.record.add("client: POST %s at entry-%d, waits %v", id, holder, deadline)
		status, answer := s.request(holder, http.MethodPost, id, chain(20, 1, 1000, 800*time.Millisecond), deadline)
		s.record.add("client: POST %s is answered %d %s", id, status, answer)
	}()
	if !await(3*time.Second, func() bool { return len(s.startsOf(id)) > 0 }) {
		return couldNotRun
	}
	if trouble {
		other := jobRoute
		other.Route = route.New("others", poolName)
		other.PathPrefix = "/others/"
		other.Attempts, other.Deadline, other.Target = jobRoute.Attempts, jobRoute.Deadline, jobRoute.Target
		c := site.Configuration{Version: 8, Pools: []pool.Pool{pool.New(poolName)}, Routes: []site.Route{other}}
		c.Limits.BodyBytes = 1 << 18
		if err := s.store.Configure(c); err != nil {
			s.record.add("operator: %v", err)
			return couldNotRun
		}
		s.record.add("operator: version 8, without the route of the job, is acknowledged")
	}
	time.Sleep(applyBound + 500*time.Millisecond)
	// The client repeats its DELETE at all entries until it is acknowledged.
	sentAt := time.Now()
	acknowledged := false
	for i := 0; !acknowledged && time.Since(sentAt) < ackBound+cancelBound; i++ {
		entry := 1 + (holder-1+i)%3
		status, answer := s.request(entry, http.MethodDelete, id, "", 1500*time.Millisecond)
		s.record.add("client: DELETE %s at entry-%d is answered %d %s", id, entry, status, answer)
		acknowledged = status/100 == 2 || status == http.StatusGone
		time.Sleep(500 * time.Millisecond)
	}
	counts := sentAt.Add(ackBound + cancelBound)
	if acknowledged {
		counts = time.Now().Add(cancelBound)
	}
	<-answered
	time.Sleep(500 * time.Millisecond)
	late := 0
	for _, r := range s.allRuns() {
		if r.Task.Job == batch.JobID(id) && !r.Delayed && r.At.After(counts) {
			late++
			s.record.add("UNASKED: %s started step %d %.3f s after the first DELETE, limit %v", r.Backend, r.Task.Step,
				r.At.Sub(sentAt).Seconds(), counts.Sub(sentAt).Round(time.Millisecond))
		}
	}
	if late > 0 {
		return broken
	}
	return held
}
