package main

import (
	"context"
	"fmt"
	"time"
)

// rebornCase: half of the orders to start tasks on a minion get no answer and are carried out some 3.5 s later. Meanwhile
// the minion crashes, is dark for 2.5 s, and starts again under the ID that it had. TWICE: no task has two runs at the same
// time.
func rebornCase(s *site) (bool, error) {
	const (
		id     = "5c0e7a21d94b36"
		delay  = 3500 * time.Millisecond
		spread = 15 * time.Millisecond // between the late orders
		lead   = 10 * time.Millisecond // from the start of the minion to the first of them
		dark   = 2500 * time.Millisecond
	)
	for number := 1; number <= 2; number++ {
		if _, err := s.startFront(number); err != nil {
			return false, err
		}
	}
	var minions []*minion
	for number := 1; number <= 6; number++ {
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
	// The first minion that gets an order is the one; each second order to it is late.
	var x *minion
	var at time.Time
	orders := 0
	first := make(chan struct{})
	if s.trouble {
		for _, m := range minions {
			m.mu.Lock()
			m.delayStart = func(string) time.Duration {
				s.record.mu.Lock()
				defer s.record.mu.Unlock()
				if x == nil {
					x, at = m, time.Now()
					close(first)
				}
				if m != x || time.Since(at) > time.Second {
					return 0
				}
				orders++
				if orders%2 == 0 {
					return 0
				}
				return delay + time.Duration(orders/2)*spread - time.Since(at)
			}
			m.mu.Unlock()
		}
	}
	w := workload{MS: []int{8000}, CPU: 3100}
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	result := s.submit(ctx, s.front(1), id+"f8", 30*time.Second, job{
		Spec: w.spec(), BestEffort: true, Steps: []step{{Count: 10, CPU: 3100, MemMB: 64, EstimateMS: 8000}},
	})
	if s.trouble {
		select {
		case <-first:
		case <-time.After(5 * time.Second):
			return false, errNoOrder
		}
		time.Sleep(time.Until(at.Add(delay - dark - lead)))
		x.crash()
		time.Sleep(time.Until(at.Add(delay - lead)))
		x.restart(200 * time.Millisecond)
	}
	<-result
	time.Sleep(time.Second)
	s.record.add("%s", fmt.Sprint("orders to start on that minion in the first second: ", orders))
	return s.overlaps(minions, id), nil
}
