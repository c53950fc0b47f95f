package connlimit

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// A new connection takes the place of an idle one.
func ExampleLimit() {
	l := New(2)
	l.Open(start, 1)
	l.SetState(start, 1, Serving)
	l.Open(start, 2)
	l.SetState(start, 2, Idle)
	fmt.Println(l.Open(start, 3))
	// Output: 2 true
}

// Guards against the close of a connection that its client needs more than another one, above all of one whose
// request is being served.
func TestVictim(t *testing.T) {
	const newOne = 9
	for name, c := range map[string]struct {
		states []State         // of connections 1, 2, ...
		ages   []time.Duration // in their states
		want   ID
	}{
		"Stalled":         {[]State{Idle, Receiving, Serving}, []time.Duration{time.Minute, 2 * time.Second, time.Hour}, 2},
		"LongestStalled":  {[]State{Receiving, Receiving}, []time.Duration{2 * time.Second, 3 * time.Second}, 2},
		"LongestIdle":     {[]State{Receiving, Idle, Idle}, []time.Duration{time.Millisecond, time.Second, time.Minute}, 3},
		"OldestReceiving": {[]State{Serving, Receiving}, []time.Duration{time.Hour, time.Millisecond}, 2},
		"NotReading":      {[]State{Serving, Idle, Responding}, []time.Duration{time.Hour, time.Minute, 2 * time.Second}, 3},
		"Reading":         {[]State{Serving, Responding}, []time.Duration{time.Hour, time.Millisecond}, newOne},
		"AllServing":      {[]State{Serving, Serving}, []time.Duration{time.Hour, time.Hour}, newOne},
	} {
		now := start.Add(2 * time.Hour)
		l := New(len(c.states))
		for age := time.Hour; age >= 0; age -= time.Millisecond { // in the order of time
			for i, a := range c.ages {
				if a == age {
					l.Open(now.Add(-age), ID(i+1))
					l.SetState(now.Add(-age), ID(i+1), c.states[i])
				}
			}
		}
		if closing, full := l.Open(now, newOne); !full || closing != c.want {
			t.Errorf("%s: closes %d, want %d", name, closing, c.want)
		}
		if l.Count() != len(c.states) {
			t.Errorf("%s: %d connections, want %d", name, l.Count(), len(c.states))
		}
	}
}

// Guards against places that are lost, or used twice, after connections that were closed by either side.
func TestPlacesReturn(t *testing.T) {
	l := New(2)
	for id := ID(1); id <= 10; id++ {
		if _, full := l.Open(start, id); full {
			t.Fatalf("connection %d found no place", id)
		}
		l.SetState(start, id, Serving)
		l.Close(id)
		l.Close(id)
		l.SetState(start, id, Idle)
	}
	if l.Count() != 0 {
		t.Errorf("%d connections are left", l.Count())
	}
}

// Guards against requests that hold all places, so that new clients get no response.
func TestPlacesForRefusals(t *testing.T) {
	const most = 32
	l := New(most)
	served := 0
	for id := ID(1); id <= most; id++ {
		l.Open(start, id)
		if l.Serve(start, id) {
			served++
		}
	}
	if served != most-2 {
		t.Errorf("%d requests are served, want %d", served, most-2)
	}
	if closing, full := l.Open(start, 100); !full || closing == 100 || closing <= most-2 {
		t.Errorf("closes %d, want one that is not served", closing)
	}
	if l.Close(1); !l.Serve(start, 100) {
		t.Error("the place that became free is not used")
	}
	if l.Serve(start, 1) {
		t.Error("a connection that was removed is served")
	}
}
