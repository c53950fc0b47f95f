package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"dogwoodglade/core/batch"
)

const (
	// callerDeadline is how long the clients of the site wait for a response.
	callerDeadline = 1500 * time.Millisecond
	// copyDelay is how long after the 2xx response the job's request arrives once more.
	copyDelay = 3500 * time.Millisecond
)

// playCopy cancels two jobs, one right after its end and one while it is at work. Seconds later the request of each job
// arrives once more, at the entry that has acknowledged its cancelling.
func playCopy(s *testSite, trouble bool) verdict {
	if err := s.startSite(3, 6); err != nil {
		s.record.add("start: %v", err)
		return couldNotRun
	}
	if !await(10*time.Second, func() bool { return s.ready(1) && s.ready(2) && s.ready(3) }) {
		return couldNotRun
	}
	time.Sleep(4 * time.Second) // until all machines are in touch
	late := 0
	var mu sync.Mutex
	var open sync.WaitGroup
	play := func(entry int, id string, runTime, cancelAfter time.Duration) {
		n, ok := s.cancelAndRepeat(entry, id, runTime, cancelAfter, trouble)
		mu.Lock()
		defer mu.Unlock()
		if !ok {
			late = -1
		} else if late >= 0 {
			late += n
		}
	}
	open.Go(func() { play(2, "5c0e7a21d94b36f8", 170*time.Millisecond, 0) })
	open.Go(func() { play(3, "81f3b6c4027ae95d", 760*time.Millisecond, 300*time.Millisecond) })
	open.Wait()
	switch {
	case late < 0:
		return couldNotRun
	case late > 0:
		return broken
	}
	return held
}

// cancelAndRepeat hands in a job and cancels it, after its end or some time after its start. It returns how many tasks
// started too late after the cancelling was acknowledged.
func (s *testSite) cancelAndRepeat(
	entry int, id string, runTime, cancelAfter time.Duration, trouble bool,
) (late int, ok bool) {
	body := chain(1, 2, 1600, runTime)
	post := func(what string) (answered chan int) {
		answered = make(chan int, 1)
		go func() {
			s.record.add("client: POST %s at entry-%d (%s)", id, entry, what)
			status, answer := s.request(entry, http.MethodPost, id, body, callerDeadline)
			s.record.add("client: POST %s (%s) is answered %d %s", id, what, status, answer)
			answered <- status
		}()
		return answered
	}
	first := post("first")
	if cancelAfter == 0 {
		if <-first != http.StatusOK {
			return 0, false
		}
	} else {
		if !await(time.Second, func() bool { return len(s.startsOf(id)) > 0 }) {
			return 0, false
		}
		time.Sleep(cancelAfter)
	}
	s.record.add("client: DELETE %s at entry-%d", id, entry)
	status, answer := s.request(entry, http.MethodDelete, id, "", callerDeadline)
	acknowledgedAt := time.Now()
	s.record.add("client: DELETE %s is answered %d %s", id, status, answer)
	if status/100 != 2 && status != http.StatusGone {
		return 0, false
	}
	if cancelAfter != 0 {
		<-first
	}
	time.Sleep(time.Until(acknowledgedAt.Add(copyDelay)))
	if trouble {
		<-post("copy")
	}
	time.Sleep(time.Second)
	for _, r := range s.startsOf(id) {
		if after := r.At.Sub(acknowledgedAt); after > cancelBound {
			late++
			s.record.add("UNASKED: %s started task %d of %s %.3f s after the cancelling was acknowledged, limit %v",
				r.Backend, r.Task.Index, id, after.Seconds(), cancelBound)
		}
	}
	return late, true
}

// startsOf returns the runs of a job.
func (s *testSite) startsOf(id string) []run {
	var list []run
	for _, r := range s.allRuns() {
		if r.Task.Job == batch.JobID(id) && !r.Delayed {
			list = append(list, r)
		}
	}
	return list
}

// startSite starts the store, entries, and agents with a backend server each.
func (s *testSite) startSite(entries, agents int) error {
	if err := s.reserve(); err != nil {
		return err
	}
	if err := s.startStore(); err != nil {
		return err
	}
	var seeds []string
	for i := 1; i <= entries; i++ {
		seeds = append(seeds, s.host(entryHosts, i))
	}
	for i := 1; i <= entries; i++ {
		x := s.entrySettings(fmt.Sprintf("entry-%d", i), s.host(entryHosts, i), i, seeds)
		if err := s.run(x, "fleet", "entry"); err != nil {
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
