package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"dogwoodglade/core/batch"
)

// cancelledJob is a job that is cancelled some time after the beginning of the cut.
type cancelledJob struct {
	id             batch.JobID
	deleteAt       time.Duration // from the beginning of the cut
	acknowledgedAt time.Time
}

// playCancel cancels two jobs at an entry that is cut off from the other machines of the system, while another entry,
// which is not, runs the jobs.
func playCancel(s *testSite, trouble bool) verdict {
	const (
		holder, other = 2, 3 // entries: the one that gets the jobs, and the one that is cut off and gets the DELETEs
		cutFor        = 5500 * time.Millisecond
		deadline      = 20 * time.Second
	)
	jobs := []*cancelledJob{
		{id: "5c0e7a21d94b36f8", deleteAt: 400 * time.Millisecond},  // the entry still calls itself ready
		{id: "81f3b6c4027ae95d", deleteAt: 1200 * time.Millisecond}, // it does not, and is still in rotation
	}
	if err := s.startLinked(3, 6); err != nil {
		s.record.add("start: %v", err)
		return couldNotRun
	}
	if !await(10*time.Second, func() bool { return s.ready(1) && s.ready(2) && s.ready(3) }) {
		return couldNotRun
	}
	time.Sleep(3 * time.Second) // until all machines are in touch
	var answered sync.WaitGroup
	for _, j := range jobs {
		answered.Go(func() {
			s.record.add("client: POST %s at entry-%d, waits %v", j.id, holder, deadline)
			status, answer := s.request(holder, http.MethodPost, string(j.id), chain(14, 1, 1000, 800*time.Millisecond), deadline)
			s.record.add("client: POST %s is answered %d %s", j.id, status, answer)
		})
	}
	if !await(3*time.Second, func() bool { return len(s.allRuns()) >= len(jobs) }) {
		return couldNotRun
	}
	if trouble {
		s.record.add("entry-%d is cut off from all other machines of the system for %v", other, cutFor)
		isolated := fmt.Sprintf("entry-%d", other)
		for name, l := range s.links {
			l.setCut(func(dialler string) bool { return name == isolated || dialler == isolated })
		}
		time.AfterFunc(cutFor, func() {
			for _, l := range s.links {
				l.setCut(nil)
			}
			s.record.add("the cut ends")
		})
	}
	for begin, i := time.Now(), 0; i < len(jobs); i++ {
		time.Sleep(time.Until(begin.Add(jobs[i].deleteAt)))
		s.cancelAt(other, jobs[i])
	}
	answered.Wait()
	time.Sleep(500 * time.Millisecond)
	late := 0
	for _, r := range s.allRuns() {
		for _, j := range jobs {
			after := r.At.Sub(j.acknowledgedAt)
			if r.Task.Job == j.id && !r.Delayed && !j.acknowledgedAt.IsZero() && after > cancelBound {
				late++
				s.record.add("UNASKED: %s started %s step %d %.3f s after the cancelling was acknowledged, limit %v", r.Backend, j.id, r.Task.Step, after.Seconds(), cancelBound)
			}
		}
	}
	if late > 0 {
		return broken
	}
	return held
}

// cancelAt sends a DELETE for a job to an entry until it is acknowledged, three times at most.
func (s *testSite) cancelAt(entry int, j *cancelledJob) {
	for range 3 {
		s.record.add("client: DELETE %s at entry-%d (ready: %v)", j.id, entry, s.ready(entry))
		status, answer := s.request(entry, http.MethodDelete, string(j.id), "", 1500*time.Millisecond)
		s.record.add("client: DELETE %s is answered %d %s", j.id, status, answer)
		if status/100 == 2 || status == http.StatusGone {
			j.acknowledgedAt = time.Now()
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.record.add("the cancelling of %s was not acknowledged", j.id)
}

// startLinked starts a site in which the entries reach each other, and agents reach them, through links.
func (s *testSite) startLinked(entries, agents int) error {
	if err := s.reserve(); err != nil {
		return err
	}
	if err := s.startStore(); err != nil {
		return err
	}
	var seeds []string
	for i := 1; i <= entries; i++ {
		seeds = append(seeds, s.host(entryLinks, i))
	}
	for i := 1; i <= entries; i++ {
		if err := s.addLinkedEntry(i, seeds); err != nil {
			return err
		}
	}
	for i := 1; i <= agents; i++ {
		if err := s.addAgent(i, seeds); err != nil {
			return err
		}
	}
	return nil
}
