package watch_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dogwoodglade/core/watch"
)

func Example() {
	plan := watch.For("entry-1", nil)
	fmt.Println(plan.Watcher, plan.Wait)
	// Output: true 1s
}

// region is a set of entries that are connected to each other.
type region map[string]bool // whether each reads the store, by name

func newRegion(size int) region {
	r := region{}
	for i := range size {
		r[fmt.Sprintf("entry-%d", i)] = true
	}
	return r
}

func (r region) plan(name string) watch.Plan {
	var others []watch.Entry
	for other, reads := range r {
		if other != name {
			others = append(others, watch.Entry{Name: other, ReadsStore: reads})
		}
	}
	return watch.For(name, others)
}

// Guards against a rate of calls to the store that exceeds that of two polls a second and one in ten seconds of each
// entry, up to the entries of a region at the target size.
func TestPollRate(t *testing.T) {
	for _, size := range []int{1, 2, 3, 6, 11, 55, 810} {
		r := newRegion(size)
		rate := 0.0
		for name := range r {
			rate += 1 / r.plan(name).Wait.Seconds()
		}
		t.Logf("%d entries: %.2f polls/s", size, rate)
		if limit := 2 + float64(size)/10; rate > limit {
			t.Errorf("%d entries: %.2f polls/s, more than %.2f", size, rate, limit)
		}
	}
}

// Guards against a region without a watcher that reads the store, and against a rate that rises when entries cannot
// reach it.
func TestWatchersReadStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(rapid.IntRange(1, 60).Draw(t, "size"))
		reading := 0
		for name := range r {
			r[name] = rapid.Bool().Draw(t, name)
			if r[name] {
				reading++
			}
		}
		watchers := 0
		for name, reads := range r {
			if reads && r.plan(name).Watcher {
				watchers++
			}
		}
		if want := min(2, reading); watchers != want {
			t.Fatalf("%d of %d entries that read the store are watchers, want %d", watchers, reading, want)
		}
	})
}

// Guards against a lost response that is noticed later than three seconds after the store was silent.
func TestLostResponseNoticedPromptly(t *testing.T) {
	const limit = 3 * time.Second
	r := newRegion(55)
	prompt := 0
	for name := range r {
		p := r.plan(name)
		if p.Watcher != (p.MaxRetryDelay == time.Second) {
			t.Errorf("%s: got %+v", name, p)
		}
		if p.Wait+p.Timeout < limit && p.Timeout+p.MaxRetryDelay < limit {
			prompt++
		}
	}
	if prompt != 2 {
		t.Errorf("%d entries notice a lost response within %v, want 2", prompt, limit)
	}
}

// Guards against an entry that learns a change late because others, which cannot reach the store, come before it, and
// against a region whose entries all read the store at once when its watchers are lost.
func TestEveryEntryHasATurn(t *testing.T) {
	for _, c := range []struct {
		size  int
		bound time.Duration // operators expect a configuration to be in force within this time
		call  time.Duration // the time that a call and its announcement take
	}{
		{3, 2 * time.Second, 300 * time.Millisecond},
		{11, 3 * time.Second, 300 * time.Millisecond},
		{55, 3 * time.Second, 300 * time.Millisecond},
		{810, 4 * time.Second, 300 * time.Millisecond},
	} {
		r := newRegion(c.size)
		turns := map[time.Duration]int{}
		for name := range r {
			r[name] = false
		}
		for name := range r {
			p := r.plan(name)
			turns[p.MaxAge]++
			if p.MaxAge+c.call > c.bound {
				t.Errorf("%s of %d has its turn after %v, want %v at most", name, c.size, p.MaxAge, c.bound-c.call)
			}
		}
		before := 0
		for _, at := range slices.Sorted(maps.Keys(turns)) {
			if turns[at] > max(2, 2*before) {
				t.Errorf("%d of %d entries have their turn after %v, %d before them", turns[at], c.size, at, before)
			}
			before += turns[at]
		}
	}
}

// Guards against entries of one data centre that are all of the watchers although their names begin alike.
func TestWatchersSpread(t *testing.T) {
	centres := map[string]int{}
	for region := range 60 {
		r := region3(region)
		for name := range r {
			if r.plan(name).Watcher {
				centres[name[:2]]++
			}
		}
	}
	counts := []int{centres["a-"], centres["b-"], centres["c-"]}
	if slices.Min(counts) < 20 {
		t.Errorf("of 120 watchers in three data centres, each has %v", counts)
	}
}

func region3(number int) region {
	r := region{}
	for _, centre := range []string{"a", "b", "c"} {
		for i := range 4 {
			r[fmt.Sprintf("%s-%d-%d", centre, number, i)] = true
		}
	}
	return r
}
