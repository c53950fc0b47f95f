package main

import (
	"context"
	"net/http"
	"syscall"
	"time"
)

// cancelCase: a front machine freezes for 3.5 s while a job of its client runs. The job is cancelled at another front
// machine meanwhile, which acknowledges that. UNASKED: no machine in touch starts a task of the job more than cancel_ms
// after the acknowledgement.
func cancelCase(s *site) (bool, error) {
	const (
		id     = "5c0e7a21d94b36f8"
		freeze = 3500 * time.Millisecond
	)
	var fronts []*process
	var minions []*minion
	for number := 1; number <= 2; number++ {
		p, err := s.startFront(number)
		if err != nil {
			return false, err
		}
		fronts = append(fronts, p)
	}
	for number := 1; number <= 4; number++ {
		m, err := newMinion(s, number)
		if err != nil {
			return false, err
		}
		minions = append(minions, m)
		if _, err := s.startSide(number, number%2); err != nil {
			return false, err
		}
	}
	if err := s.awaitServing(1, 2); err != nil {
		return false, err
	}
	w := workload{MS: []int{5000, 1000}, CPU: 2000}
	j := job{Spec: w.spec(), BestEffort: true, Steps: []step{
		{Count: 1, CPU: 2000, MemMB: 64, EstimateMS: 5000},
		{Count: 4, CPU: 2000, MemMB: 64, EstimateMS: 1000, After: []int{0}},
	}}
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	result := s.submit(ctx, s.front(2), id, 30*time.Second, j)
	time.Sleep(500 * time.Millisecond)
	thawed := make(chan time.Time, 1)
	if s.trouble {
		s.record.add("%s: freezes for %v", fronts[1].name, freeze)
		fronts[1].signal(syscall.SIGSTOP)
		go func() {
			time.Sleep(freeze)
			fronts[1].signal(syscall.SIGCONT)
			s.record.add("%s: wakes", fronts[1].name)
			thawed <- time.Now()
		}()
	} else {
		thawed <- time.Now()
	}
	// The platform forwards new connections to the job's node until that has missed two readiness checks in a row.
	front := 2
	if s.trouble {
		s.awaitMisses(2, 2)
		front = 1
	}
	var acked time.Time
	if a := s.call(ctx, http.MethodDelete, s.front(front), id, time.Second, nil); a.status/100 == 2 ||
		a.status == http.StatusGone {
		acked = a.at
		s.record.add("client: the cancelling is acknowledged with %d", a.status)
	}
	if acked.IsZero() {
		return false, errNoAck
	}
	woke := <-thawed
	select {
	case <-result:
	case <-ctx.Done():
	}
	time.Sleep(500 * time.Millisecond)
	broken := false
	for _, m := range minions {
		for _, x := range m.taken(id) {
			if after := x.start.Sub(acked); after > cancelMS {
				s.record.add("%s started task %s run %d %.3f s after the acknowledgement, %.3f s after the end of the freeze",
					x.minion, x.task, x.number, after.Seconds(), x.start.Sub(woke).Seconds())
				broken = broken || x.start.Sub(woke) > contact
			}
		}
	}
	return broken, nil
}
