package main

import (
	"sync"
	"time"
)

// settleTime is how long a part of the site has to be undisturbed until promises with a time bound hold for it. It is
// contact_ms of the users' deployments.
const settleTime = 3 * time.Second

// disturbanceLog remembers when which part of the site was disturbed.
type disturbanceLog struct {
	mu    sync.Mutex
	spans []*span
}

type span struct {
	subject  string
	planned  bool
	from, to time.Time // to is zero while it goes on
}

// Begin takes note of a disturbance. The returned function ends it.
func (c *disturbanceLog) Begin(subject string, planned bool) (end func()) {
	s := &span{subject: subject, planned: planned, from: time.Now()}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spans = append(c.spans, s)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.to = time.Now()
	}
}

// Disturbed reports whether a disturbance that is selected went on at any time from touchTime before the first moment
// to the second one.
func (c *disturbanceLog) Disturbed(from, to time.Time, selected func(s *span) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.spans {
		if selected(s) && s.from.Before(to) && (s.to.IsZero() || s.to.After(from.Add(-settleTime))) {
			return true
		}
	}
	return false
}
