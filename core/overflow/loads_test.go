package overflow_test

import (
	"testing"
	"time"

	"dogwoodglade/core/dispatch"
	"dogwoodglade/core/overflow"
)

// Guards against entries that choose by a load of before a queue emptied or grew, and against a message for each run.
func TestDiffers(t *testing.T) {
	for _, c := range []struct {
		name              string
		reported, current dispatch.Load
		want              bool
	}{
		{"free capacity changes", load(100, 50, 0), load(100, 20, 0), false},
		{"the queue changes little", load(100, 0, 10), load(100, 0, 13), false},
		{"the queue empties", load(100, 0, 1), load(100, 10, 0), true},
		{"jobs begin to wait", load(100, 5, 0), load(100, 0, 1), true},
		{"the queue grows much", load(100, 0, 5), load(100, 0, 11), true},
	} {
		if got := overflow.Differs(c.reported, c.current); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against queues that begin and end all the time, each time with a message to all other entries: prompt loads may
// at most double the regular ones, and a single change must be told at once.
func TestPromptLoadsAreBounded(t *testing.T) {
	const regular = 100 * time.Millisecond
	queues := []dispatch.Load{load(100, 5, 0), load(100, 0, 1)}
	now := time.Unix(1000, 0)
	sent := overflow.SentLoads{}.WithRegular(now, queues[0])
	if now = now.Add(overflow.MinLoadInterval); !sent.MaySendPrompt(now, queues[1]) {
		t.Error("the first change was not told at once")
	}
	loads, prompt := 0, 0
	nextRegular := now
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(5 * time.Millisecond) {
		current := queues[int(now.UnixMilli()/5)%2]
		switch {
		case !now.Before(nextRegular):
			sent, nextRegular = sent.WithRegular(now, current), now.Add(regular)
			loads++
		case sent.MaySendPrompt(now, current):
			sent = sent.WithPrompt(now, current)
			prompt++
		}
	}
	if prompt > loads+4 || prompt < loads/2 {
		t.Errorf("%d prompt loads beside %d regular ones, want about as many", prompt, loads)
	}
}
