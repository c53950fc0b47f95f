package main

import (
	"context"
	"fmt"
	"os"
	"sort"
	"strings"
	"syscall"
	"time"
)

// suspendCase: a side machine is suspended for 2.6 s with its minion. Later, half of the orders to start tasks on that
// minion get no answer and are carried out late, and the agent freezes that has just given such an order. TWICE: no task
// has two runs at the same time.
func suspendCase(s *site) (bool, error) {
	const (
		id        = "5c0e7a21d94b36f8"
		suspended = 2600 * time.Millisecond
		freeze    = 3500 * time.Millisecond
		delay     = 2300 * time.Millisecond
	)
	for number := 1; number <= 2; number++ {
		if _, err := s.startFront(number); err != nil {
			return false, err
		}
	}
	var minions []*minion
	var agents []*process
	for number := 1; number <= 4; number++ {
		m, err := newMinion(s, number)
		if err != nil {
			return false, err
		}
		minions = append(minions, m)
		p, err := s.startSide(number, number%2)
		if err != nil {
			return false, err
		}
		agents = append(agents, p)
	}
	if err := s.awaitServing(1, 2); err != nil {
		return false, err
	}
	if s.trouble && os.Getenv("TROUBLE") != "late" {
		s.record.add("%s and its minion: suspended for %v", agents[0].name, suspended)
		agents[0].signal(syscall.SIGSTOP)
		minions[0].suspend()
		time.Sleep(suspended)
		minions[0].wake()
		agents[0].signal(syscall.SIGCONT)
		s.record.add("%s and its minion: awake", agents[0].name)
	}
	time.Sleep(2 * contact)
	gave := make(chan struct{})
	if s.trouble {
		orders, frozen := 0, false
		minions[0].mu.Lock()
		minions[0].delayStart = func(string) time.Duration {
			orders++
			if orders%2 == 0 || frozen {
				return 0
			}
			frozen = true
			close(gave)
			return delay
		}
		minions[0].mu.Unlock()
	}
	w := workload{MS: []int{3000}, CPU: 3100}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	var results []<-chan answer
	given := false
	for n := 0; n < 20 && !given; n++ { // jobs come in until the minion has got an order, or all are there
		results = append(results, s.submit(ctx, s.front(1+n%2), fmt.Sprintf("%s%02x", id[:14], n), 20*time.Second, job{
			Spec: w.spec(), BestEffort: true, Steps: []step{{Count: 4, CPU: 3100, MemMB: 64, EstimateMS: 3000}},
		}))
		select {
		case <-gave:
			given = true
		case <-time.After(20 * time.Millisecond):
		}
		if !s.trouble && n == 7 {
			break
		}
	}
	if s.trouble {
		if !given {
			return false, errNoOrder
		}
		s.record.add("%s: freezes for %v", agents[0].name, freeze)
		agents[0].signal(syscall.SIGSTOP)
		time.Sleep(freeze)
		agents[0].signal(syscall.SIGCONT)
		s.record.add("%s: wakes", agents[0].name)
	}
	for _, r := range results {
		<-r
	}
	time.Sleep(time.Second)
	return s.overlaps(minions, id[:14]), nil
}

// overlaps reports whether a task of the jobs had two runs at the same time, and records them.
func (s *site) overlaps(minions []*minion, jobs string) bool {
	byTask := map[string][]span{}
	for _, m := range minions {
		m.mu.Lock()
		for _, x := range m.spans {
			if strings.HasPrefix(x.task, jobs) {
				y := *x
				if y.end.IsZero() {
					y.end = time.Now()
				}
				byTask[y.task] = append(byTask[y.task], y)
			}
		}
		m.mu.Unlock()
	}
	broken := false
	for task, list := range byTask {
		sort.Slice(list, func(a, b int) bool { return list[a].start.Before(list[b].start) })
		for i := 1; i < len(list); i++ {
			if overlap := list[i-1].end.Sub(list[i].start); overlap > 0 {
				s.record.add("task %s: run %d on %s goes on for %.3f s beside run %d on %s", task, list[i-1].number,
					list[i-1].minion, min(overlap, list[i].end.Sub(list[i].start)).Seconds(), list[i].number, list[i].minion)
				broken = true
			}
		}
	}
	return broken
}
