package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// replacedFronts is how many front machines have been removed for good and replaced by one at another address, one
	// after the other, since the system was started for the first time.
	replacedFronts   = 42
	replacementPause = 800 * time.Millisecond
	sides            = 6
	// restartDelay is the time after which the platform starts the killed processes again.
	restartDelay = time.Second
	measureTime  = 12 * time.Second
)

// playRecover replaces front machines one after the other, measures that requests are served, then kills all processes
// at once and starts them again. The store keeps all that it has acknowledged.
func playRecover(s *testSite) (broken bool, err error) {
	count := replacedFronts
	if n, err := strconv.Atoi(os.Getenv("REPLACED")); err == nil {
		count = n
	}
	if !trouble() {
		count = 0
	}
	s.replaces = true
	live := []int{1, 2, 3} // the first one is replaced
	if _, err := s.configure(1, "jobs"); err != nil {
		return false, err
	}
	fronts := map[int]*process{}
	for _, f := range live {
		if fronts[f], err = s.addFront(f, live); err != nil {
			return false, err
		}
	}
	var agents []*process
	for i := 1; i <= sides; i++ {
		p, err := s.addSide(i, live)
		if err != nil {
			return false, err
		}
		agents = append(agents, p)
	}
	if err := s.awaitReady(10*time.Second, live...); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for i := range count {
		removed, added := live[0], 4+i
		fronts[removed].kill()
		if err := s.holdSilent(removed); err != nil {
			return false, err
		}
		live = []int{added, 2, 3}
		if fronts[added], err = s.addFront(added, live); err != nil {
			return false, err
		}
		if err := s.awaitReady(10*time.Second, live...); err != nil {
			return false, err
		}
		s.log("replacement %d: front %d was removed for good, front %d is ready at another address", i+1, removed, added)
		time.Sleep(replacementPause)
	}
	time.Sleep(contact + 2*time.Second)
	before := s.measure("before the final fault", live, 4*time.Second)

	s.log("all processes are killed")
	var killing sync.WaitGroup
	restarted := agents
	for _, f := range live {
		restarted = append(restarted, fronts[f])
	}
	for _, p := range restarted {
		killing.Go(p.kill)
	}
	killing.Wait()
	time.Sleep(restartDelay)
	for _, p := range restarted {
		if err := p.setSeeds(live); err != nil {
			return false, err
		}
		if err := p.start(); err != nil {
			return false, err
		}
	}
	back := time.Now()
	s.log("all processes were started again; the seeds are the three fronts that are up: %v", live)
	time.Sleep(time.Until(back.Add(recovery)))
	after := s.measure(fmt.Sprintf("later than %v after the machines are back", recovery), live, measureTime)
	s.log("RECOVER: the share served is %.3f before the fault and %.3f after it", before, after)
	if before < 0.25 {
		return false, fmt.Errorf("%w: too little was served before the fault", errSetup)
	}
	return after < 0.25, nil
}

// measure sends jobs to the fronts for a time, 20 a second, and returns the share that is answered as completed. A
// request that was not served is sent again once, at another front, as by a client.
func (s *testSite) measure(when string, live []int, d time.Duration) float64 {
	c := s.newClient()
	const deadline = 1500 * time.Millisecond
	var mu sync.Mutex
	var open sync.WaitGroup
	statuses := map[int]int{}
	n, served := 0, 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n++
		id := fmt.Sprintf("%016x", time.Now().UnixNano())
		first := n
		open.Go(func() {
			for try := range 2 {
				ctx, cancel := context.WithTimeout(context.Background(), deadline)
				status, answer := c.send(ctx, http.MethodPost, live[(first+try)%len(live)], "/jobs/"+id,
					jobBody(1, 2, 3100, 100*time.Millisecond), deadline)
				cancel()
				s.log("client: POST %s to front %d is answered %d %s", id, live[(first+try)%len(live)], status, answer)
				mu.Lock()
				statuses[status]++
				if status == http.StatusOK {
					served++
				}
				mu.Unlock()
				if status == http.StatusOK {
					return
				}
				time.Sleep(resend)
			}
		})
	}
	open.Wait()
	s.log("%s: %d of %d requests were served; answers by status (0: none): %v", when, served, n, statuses)
	return float64(served) / float64(max(n, 1))
}

// holdSilent makes the address of a removed front one that does not respond, as that of a machine without power: a
// socket listens there whose queue is full, so that the kernel drops the packets that open a connection.
func (s *testSite) holdSilent(front int) error {
	ip := net.ParseIP(s.host(frontGroup, front)).To4()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return err
	}
	s.cleanUps = append(s.cleanUps, func() { _ = syscall.Close(fd) })
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: innerPort, Addr: [4]byte(ip)}); err != nil {
		return err
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return err
	}
	for range 8 {
		conn, err := net.DialTimeout("tcp", s.address(frontGroup, front, innerPort), 60*time.Millisecond)
		var timeout net.Error
		if errorsAs(err, &timeout) && timeout.Timeout() {
			return nil
		}
		if err == nil {
			s.cleanUps = append(s.cleanUps, func() { _ = conn.Close() })
		}
	}
	return fmt.Errorf("%w: the address of a removed front responds", errSetup)
}
