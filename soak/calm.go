package main

import (
	"sync"
	"time"
)

// settleTime is how long a part of the site has to be undisturbed before guarantees with a time limit apply to it. It
// corresponds to contact_ms of the users' deployments.
const settleTime = 3 * time.Second

// disturbanceLog records when each part of the site was disturbed.
type disturbanceLog struct {
	mu    sync.Mutex
	spans []*span
}

// span is the period of one disturbance.
type span struct {
	subject  string    // what was disturbed: a process, link, backend server, or storeSubject
	planned  bool      // planned maintenance
	from, to time.Time // to is zero while the disturbance lasts
}

// Begin records the start of a disturbance. The returned function records its end.
func (l *disturbanceLog) Begin(subject string, planned bool) (end func()) {
	s := &span{subject: subject, planned: planned, from: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spans = append(l.spans, s)
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		s.to = time.Now()
	}
}

// Disturbed reports whether a selected disturbance lasted at any time between settleTime before from and to.
func (l *disturbanceLog) Disturbed(from, to time.Time, selected func(s *span) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.spans {
		if selected(s) && s.from.Before(to) && (s.to.IsZero() || s.to.After(from.Add(-settleTime))) {
			return true
		}
	}
	return false
}
