package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"dogwoodglade/core/resource"
	"dogwoodglade/platform/standin"
)

// cutTime is for how long the announcements are cut off from the agent. The default for_s of the bench's kinds is 5.
const cutTime = 5 * time.Second

// playBeats shrinks a backend server while its announcements are cut off from the agent. The calls of the agent still
// reach it.
func playBeats(s *testSite) (broken bool, err error) {
	fronts := []int{1, 2, 3}
	if _, err := s.configure(1, "jobs"); err != nil {
		return false, err
	}
	for _, f := range fronts {
		if _, err := s.addFront(f, fronts); err != nil {
			return false, err
		}
	}
	x := &room{limit: cores * 1000}
	s.watchRoom(x)
	s.announceVia = s.address(otherGroup, 3, controlPort)
	l, stop, err := newLink(s.announceVia, s.address(sideGroup, 1, controlPort))
	if err != nil {
		return false, err
	}
	s.cleanUps = append(s.cleanUps, stop)
	if _, err := s.addSide(1, fronts); err != nil {
		return false, err
	}
	if err := s.awaitReady(10*time.Second, fronts...); err != nil {
		return false, err
	}
	ctx, end := context.WithCancel(context.Background())
	var load sync.WaitGroup
	load.Go(func() { s.press(ctx, fronts) })
	defer load.Wait()
	defer end()
	time.Sleep(contact + 2*time.Second)

	if trouble() {
		l.cut(true)
		s.log("the server is cut off from the control address for %v; calls of the agent reach it", cutTime)
		time.AfterFunc(cutTime, func() {
			l.cut(false)
			s.log("the cut has healed")
		})
	}
	time.Sleep(50 * time.Millisecond)
	const cpu = 8_000
	x.mu.Lock()
	x.limit, x.countedAt = cpu, time.Now().Add(contact+beat)
	x.mu.Unlock()
	s.backends[1].SetCapacity(resource.Amount{Processor: cpu, Memory: 65536})
	s.log("server: its capacity is %d; it counts from %.3f on", cpu, s.since(x.countedAt))
	time.Sleep(cutTime + 5*time.Second)
	x.mu.Lock()
	defer x.mu.Unlock()
	s.log("LIMIT: %d starts brought the server over its capacity: %v", len(x.over), x.over)
	return len(x.over) > 0, nil
}

// watchRoom counts what runs on a backend server that starts whatever it is told to start.
func (s *testSite) watchRoom(x *room) {
	s.unguarded = true
	s.onStart = func(r standin.Run) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.used += taskCPU
		if x.used > x.limit && time.Now().After(x.countedAt) {
			x.over = append(x.over, fmt.Sprintf("%.3f: task %s makes it %d of %d", s.since(time.Now()), r.Task, x.used, x.limit))
		}
	}
	s.onEnd = func(standin.Run) {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.used -= taskCPU
	}
}
