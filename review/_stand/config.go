package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playConfig makes all open connections to the store silent, right after a version of the configuration, while new
// connections work. Later than contact_ms after that, when all machines are in touch again, the operator writes a version
// that adds a queue and removes another one. Clients ask each front for the new queue.
func playConfig(s *testSite) (broken bool, err error) {
	fronts := []int{1, 2, 3, 4, 5}
	store := s.storeAddr
	s.storeAddr = s.address(otherGroup, 2, storePort)
	l, stop, err := newLink(s.storeAddr, store)
	if err != nil {
		return false, err
	}
	s.cleanUps = append(s.cleanUps, stop)
	if _, err := s.configure(1, "jobs", "old"); err != nil {
		return false, err
	}
	for _, f := range fronts {
		if _, err := s.addFront(f, fronts[:3]); err != nil {
			return false, err
		}
	}
	for i := 1; i <= 4; i++ {
		if _, err := s.addSide(i, fronts[:3]); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(10*time.Second, fronts...); err != nil {
		return false, err
	}
	time.Sleep(contact + 2*time.Second)

	if _, err := s.configure(2, "jobs", "old", "idle"); err != nil {
		return false, err
	}
	time.Sleep(150 * time.Millisecond)
	silentAt := time.Now()
	if trouble() {
		s.log("%d connections to the store go silent; new ones work", l.silence())
	}
	time.Sleep(time.Until(silentAt.Add(contact + 50*time.Millisecond)))
	ackedAt, err := s.configure(3, "jobs", "idle", "new")
	if err != nil {
		return false, err
	}

	c := s.newClient()
	ctx, end := context.WithDeadline(context.Background(), ackedAt.Add(8*time.Second))
	defer end()
	var asking sync.WaitGroup
	var mu sync.Mutex
	early, refused, ran := 0, 0, 0
	for _, f := range fronts {
		asking.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				sent := time.Now()
				late := sent.Sub(ackedAt) > configApply
				status, _ := c.send(ctx, http.MethodGet, f, "/new/", "", time.Second)
				id := fmt.Sprintf("%08x%08x", f, i)
				oldStatus, answer := c.send(ctx, http.MethodPost, f, "/old/"+id, jobBody(1, 1, 100, 20*time.Millisecond), time.Second)
				s.log("client: front %d, %.3f s after the acknowledgement: GET /new/ %d, POST /old/%s %d %s", f,
					sent.Sub(ackedAt).Seconds(), status, id, oldStatus, answer)
				mu.Lock()
				switch {
				case !late:
					early++
				default:
					if status == http.StatusNotFound {
						refused++
					}
					if oldStatus == http.StatusOK {
						ran++
					}
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	asking.Wait()
	s.log("CONFIG: later than %v after the acknowledgement, %d requests for the new queue were refused with 404, and %d "+
		"jobs ran with the dropped queue (%d pairs of requests were earlier)", configApply, refused, ran, early)
	return refused+ran > 0, nil
}
