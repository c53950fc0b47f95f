package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is the time for which the entry is frozen. The site file's node_freeze has for_s = 3.5.
	freezeTime = 3500 * time.Millisecond
	// cancelMargin is added to cancel_ms for the time between the response and its arrival at the client.
	cancelMargin = 250 * time.Millisecond
)

// playCancel submits the same kind of job at each front. One front is frozen and wakes again. While it is out of
// rotation, the client cancels its job, and the cancel is acknowledged by another front.
func playCancel(s *testSite) (broken bool, err error) {
	fronts := []int{1, 2, 3}
	if _, err := s.configure(1, "jobs"); err != nil {
		return false, err
	}
	processes := map[int]*process{}
	for _, f := range fronts {
		if processes[f], err = s.addFront(f, fronts); err != nil {
			return false, err
		}
	}
	for i := 1; i <= 4; i++ {
		if _, err := s.addSide(i, fronts); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(10*time.Second, fronts...); err != nil {
		return false, err
	}
	time.Sleep(contact + 2*time.Second)

	// The client of each front has one job of 16 steps that follow each other, each 0.5 to 1.5 s long.
	c := s.newClient()
	const deadline = 40 * time.Second
	body := jobBody(16, 2, 3100, time.Second)
	ctx, end := context.WithTimeout(context.Background(), deadline+time.Second)
	defer end()
	var waiting sync.WaitGroup
	for _, f := range fronts {
		waiting.Go(func() {
			id := jobOf(f)
			s.log("client: POST %s to front %d", id, f)
			status, answer := c.send(ctx, http.MethodPost, f, "/jobs/"+id, body, deadline)
			s.log("client: POST %s is answered %d %s", id, status, answer)
		})
	}
	time.Sleep(1500 * time.Millisecond)

	// The front to freeze is the one that dispatches. Only its clients' jobs stay open there while it is frozen: the jobs
	// that other fronts passed on to it are given up.
	frozen, other := s.dispatcher(), 0
	for _, f := range fronts {
		if f != frozen {
			other = f
		}
	}
	woke := time.Now()
	if trouble() {
		s.log("front %d is frozen for %v", frozen, freezeTime)
		processes[frozen].signal(syscall.SIGSTOP)
		woke = woke.Add(freezeTime)
		time.AfterFunc(freezeTime, func() {
			processes[frozen].signal(syscall.SIGCONT)
			s.log("front %d runs again", frozen)
		})
		// The platform takes a front out of rotation after two misses, one second apart.
		time.Sleep(2500 * time.Millisecond)
	}
	id := jobOf(frozen)
	status, answer := c.send(ctx, http.MethodDelete, other, "/jobs/"+id, "", 4*time.Second)
	acked := time.Now()
	s.log("client: DELETE %s at front %d is answered %d %s", id, other, status, answer)
	if status/100 != 2 && status != http.StatusGone {
		return false, fmt.Errorf("%w: the cancel was not acknowledged", errSetup)
	}
	waiting.Wait()

	// All machines are in touch again contact_ms after the end of the freeze.
	from := acked.Add(cancelBound + cancelMargin)
	if calm := woke.Add(contact); calm.After(from) {
		from = calm
	}
	s.mu.Lock()
	var late []string
	for _, r := range s.starts {
		if string(r.Task.Job) == id && r.At.After(from) {
			late = append(late, fmt.Sprintf("%s at %.3f", r.Task, s.since(r.At)))
		}
	}
	s.mu.Unlock()
	s.log("the cancel of %s was acknowledged at %.3f; the front was awake at %.3f; starts are judged from %.3f on", id,
		s.since(acked), s.since(woke), s.since(from))
	s.log("UNASKED: %d starts of the cancelled job later than that: %v", len(late), late)
	return len(late) > 0, nil
}

func jobOf(front int) string { return fmt.Sprintf("%016x", 0xa0+front) }
