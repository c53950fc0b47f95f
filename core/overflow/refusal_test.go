package overflow_test

import (
	"fmt"
	"testing"
	"time"

	"dogwoodglade/core/batch"
	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/overflow"
)

// Guards against a job that is refused while an entry has room, against one that is offered to the same entry twice, and
// against one that moves on to a queue.
func TestChooseAfterRefusal(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		peers   map[string]dispatch.Load
		refused []string
		want    string
	}{
		{"room for all tasks", map[string]dispatch.Load{"b": load(100, 24, 0), "c": load(100, 0, 5)}, []string{"c"}, "b"},
		{"room for some tasks", map[string]dispatch.Load{"b": load(100, 9, 0), "c": load(100, 0, 5)}, []string{"c"}, "b"},
		{"the peer has refused it", map[string]dispatch.Load{"b": load(100, 24, 0)}, []string{"b"}, ""},
		{"short queue", map[string]dispatch.Load{"b": load(100, 24, 0.1)}, []string{"a"}, ""},
		{"too many offers", map[string]dispatch.Load{"b": load(100, 24, 0)}, []string{"a", "c", "d"}, ""},
	} {
		p := overflow.New()
		for name, l := range c.peers {
			p.RecordReport(now, name, l)
		}
		var refused overflow.Refusals
		for _, name := range c.refused {
			refused = refused.With(name)
		}
		if got, _ := p.ChooseAfterRefusal(now, job, refused); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
		if got, ok := p.ChooseAfterRefusal(now, job, refused, "b"); ok {
			t.Errorf("%s: got %q, which has forwarded the job", c.name, got)
		}
	}
}

// Guards against many refused jobs that all move to the same peer between two of its reports.
func TestChooseAfterRefusalCountsForwardedJobs(t *testing.T) {
	now := time.Unix(1000, 0)
	p := overflow.New()
	p.RecordReport(now, "b", load(100, 50, 0)) // two of the jobs start at once, and the third one waits
	passedOn := 0
	for i := range 10 {
		j := job
		j.ID = batch.JobID(fmt.Sprint(i))
		if _, ok := p.ChooseAfterRefusal(now, j, overflow.Refusals{}.With("a")); ok {
			passedOn++
		}
	}
	if passedOn != 3 {
		t.Errorf("passed on %d jobs, want 3", passedOn)
	}
}
