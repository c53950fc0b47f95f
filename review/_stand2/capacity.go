package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"
)

// capacityCase: the heartbeats of a minion are cut off from its agent for 5 s. Its capacity shrinks right after the
// beginning of the cut, and the agent is killed and started again during it. LIMIT: contact_ms and one heartbeat
// interval after the shrinking no start brings the minion over its capacity.
func capacityCase(s *site) (bool, error) {
	const (
		sides  = 5
		shrunk = 8000
		cut    = 5 * time.Second
		killAt = 4300 * time.Millisecond
	)
	for number := 1; number <= 2; number++ {
		if _, err := s.startFront(number); err != nil {
			return false, err
		}
	}
	var minions []*minion
	var agents []*process
	for number := 1; number <= sides; number++ {
		m, err := newMinion(s, number)
		if err != nil {
			return false, err
		}
		m.ignores = true
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
	stop := s.load()
	defer stop()
	time.Sleep(2 * time.Second)
	m, agent, trouble := minions[0], agents[0], os.Getenv("TROUBLE")
	if s.trouble {
		m.awaitBeat()
		m.setMute(true)
	}
	began := time.Now()
	time.Sleep(50 * time.Millisecond)
	m.shrink(shrunk)
	time.Sleep(time.Until(began.Add(killAt)))
	if s.trouble && trouble != "cut" {
		s.record.add("%s: killed", agent.name)
		agent.signal(syscall.SIGKILL)
		<-agent.done
		time.Sleep(200 * time.Millisecond)
		if err := agent.start(); err != nil {
			return false, err
		}
		s.record.add("%s: started again", agent.name)
	}
	time.Sleep(time.Until(began.Add(cut)))
	if s.trouble {
		m.setMute(false)
	}
	time.Sleep(4 * time.Second)
	return s.judgeCapacity(m, shrunk), nil
}

// load hands in jobs until the returned function is called: about four fifths of what five minions can do.
func (s *site) load() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		w := workload{MS: []int{800}, CPU: 3100}
		for n := 0; ctx.Err() == nil; n++ {
			s.submit(ctx, s.front(1+n%2), fmt.Sprintf("%08x%08x", 0xc0000000, n), 10*time.Second, job{
				Spec: w.spec(), BestEffort: true, Steps: []step{{Count: 4, CPU: 3100, MemMB: 64, EstimateMS: 800}},
			})
			time.Sleep(80 * time.Millisecond)
		}
	}()
	return cancel
}

// judgeCapacity reports whether a start brought a minion over its capacity when the shrunk one counted. A quarter of a
// second is added, so that the result does not hang on a few milliseconds.
func (s *site) judgeCapacity(m *minion, shrunk int) bool {
	const slack = 250 * time.Millisecond
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := m.shrunkAt.Add(contact + beat + slack)
	broken := 0
	for _, x := range m.over {
		if x.at.After(counts) {
			broken++
			s.record.add("%s: the start of %s, %.3f s after the shrinking, brings it to %d of %d", m.name, x.task,
				x.at.Sub(m.shrunkAt).Seconds(), x.used, shrunk)
		}
	}
	s.record.add("%d starts beyond the capacity later than %v after the shrinking", broken, contact+beat+slack)
	return broken > 0
}

// firstBeatCase: a machine with a minion is added. The minion is cut off from its agent for 5 s right after it has sent
// its first heartbeat, and its capacity shrinks at the beginning of the cut. LIMIT: contact_ms and one heartbeat interval
// after the shrinking no start brings the minion over its capacity.
func firstBeatCase(s *site) (bool, error) {
	const (
		sides  = 5
		shrunk = 8000
		cut    = 5 * time.Second
	)
	for number := 1; number <= 2; number++ {
		if _, err := s.startFront(number); err != nil {
			return false, err
		}
	}
	for number := 1; number <= sides; number++ {
		if number < sides {
			m, err := newMinion(s, number)
			if err != nil {
				return false, err
			}
			m.ignores = true
		}
		if _, err := s.startSide(number, number%2); err != nil {
			return false, err
		}
	}
	if err := s.awaitServing(1, 2); err != nil {
		return false, err
	}
	stop := s.load()
	defer stop()
	time.Sleep(2 * time.Second)
	held := time.Duration(0)
	if s.trouble {
		held = cut
	}
	s.record.add("minion-%d is added", sides)
	m, err := newCutMinion(s, sides, held)
	if err != nil {
		return false, err
	}
	m.mu.Lock()
	m.ignores = true
	m.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	m.shrink(shrunk)
	time.Sleep(cut + 4*time.Second)
	return s.judgeCapacity(m, shrunk), nil
}
