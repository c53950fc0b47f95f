package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A caller submits a job again beside its first run, whose end is listed after the second one has started.
const resubmittedLog = `   0.1000 front-1 {"Process":"front-1","Number":1008,"Job":"a","Peer":"front-2","time":"2026-07-10T16:00:00.001Z"}
   0.1000 front-2 {"Process":"front-2","Number":2002,"Job":"a","Step":0,"Task":0,"Attempt":1,"Peer":"side-1","time":"2026-07-10T16:00:00.001Z"}
   0.1000 side-1 {"Process":"side-1","Number":2003,"Job":"a","Step":0,"Task":0,"Run":1,"Peer":"front-2","State":"Accepted","time":"2026-07-10T16:00:00.005Z"}
   0.3000 front-1 {"Process":"front-1","Number":1005,"Job":"a","State":"CallerLeft","Peer":"front-2","time":"2026-07-10T16:00:00.200Z"}
   1.6000 front-3 {"Process":"front-3","Number":2002,"Job":"a","Step":0,"Task":0,"Attempt":1,"Peer":"side-2","time":"2026-07-10T16:00:01.500Z"}
   1.6000 side-2 {"Process":"side-2","Number":2003,"Job":"a","Step":0,"Task":0,"Run":1,"Peer":"front-3","State":"Accepted","time":"2026-07-10T16:00:01.504Z"}
   1.7000 side-1 {"Process":"side-1","Number":2005,"Job":"a","Step":0,"Task":0,"Run":1,"State":"Stopped","time":"2026-07-10T16:00:01.524Z"}
   1.8000 side-1 {"Process":"side-1","Number":2005,"Job":"a","Step":0,"Task":0,"Run":1,"State":"Stopped","time":"2026-07-10T16:00:01.624Z"}
   2.0000 side-2 {"Process":"side-2","Number":2005,"Job":"a","Step":0,"Task":0,"Run":1,"State":"Done","time":"2026-07-10T16:00:01.900Z"}
`

// An entry places a task again after a loss; the first agent lists the end late, but its leases expired in time.
const lostLog = `front-1 {"Process":"front-1","Number":2002,"Job":"b","Step":0,"Task":1,"Attempt":1,"Peer":"side-1","time":"2026-07-10T16:00:00.000Z"}
{"Process":"side-1","Number":2003,"Job":"b","Step":0,"Task":1,"Run":3,"Peer":"front-1","State":"Accepted","time":"2026-07-10T16:00:00.010Z"}
{"Process":"front-1","Number":2006,"Job":"b","Step":0,"Task":1,"Attempt":1,"Peer":"side-1","State":"Lost","time":"2026-07-10T16:00:01.000Z"}
{"Process":"side-2","Number":2003,"Job":"b","Step":0,"Task":1,"Run":1,"Peer":"front-1","State":"Accepted","time":"2026-07-10T16:00:01.010Z"}
{"Process":"side-1","Number":2005,"Job":"b","Step":0,"Task":1,"Run":3,"State":"Lost","Lapsed":550.5,"time":"2026-07-10T16:00:01.510Z"}
`

// The end of a run is never logged, and a lease may last for 0.6 s after an unanswered call of its agent.
const openLog = `{"Process":"side-1","Number":2003,"Job":"c","Step":0,"Task":0,"Run":1,"Peer":"front-1","State":"Accepted","time":"2026-07-10T16:00:00.000Z"}
{"Process":"side-1","Number":4014,"Peer":"i-1","Token":7,"time":"2026-07-10T16:00:00.500Z"}
{"Process":"side-2","Number":2003,"Job":"c","Step":0,"Task":0,"Run":1,"Peer":"front-2","State":"Accepted","time":"2026-07-10T16:00:01.050Z"}
{"Process":"side-2","Number":2005,"Job":"c","Step":0,"Task":0,"Run":1,"State":"Done","time":"2026-07-10T16:00:02.000Z"}
`

// A start gets no response but is carried out; its end is listed after the task was placed again and had started.
const unansweredLog = `{"Process":"side-1","Number":2004,"Job":"d","Step":0,"Task":0,"Run":1,"Peer":"front-1","State":"Unanswered","time":"2026-07-10T16:00:00.100Z"}
{"Process":"front-1","Number":2006,"Job":"d","Step":0,"Task":0,"Attempt":1,"Peer":"side-1","State":"Lost","time":"2026-07-10T16:00:01.000Z"}
{"Process":"side-2","Number":2003,"Job":"d","Step":0,"Task":0,"Run":1,"Peer":"front-1","State":"Accepted","time":"2026-07-10T16:00:01.010Z"}
{"Process":"side-1","Number":2005,"Job":"d","Step":0,"Task":0,"Run":1,"State":"Lost","Lapsed":20,"time":"2026-07-10T16:00:01.020Z"}
`

func TestReport(t *testing.T) {
	tests := []struct {
		name, log string
		want      []string
	}{
		{"Resubmitted", resubmittedLog, []string{
			"9 log lines, 1 other lines, 1 jobs, 2 runs",
			"resubmitted: 1 jobs, 1 times; 1 times while an earlier run was possible, 0 of them by an end not logged",
			"resubmission 1 1 0 -20 1 1",
			"a.0.0: run 1 on side-1 from 16:00:00.005 to 16:00:01.524 (Stopped), run 1 on side-2 from 16:00:01.504: resubmission",
		}},
		{"Lost", lostLog, []string{
			"resubmitted: 0 jobs, 0 times",
			"placed again after Lost 1 0 0 50 1 1",
			"overlaps by the logs, on different agents: 0",
		}},
		{"Unanswered", unansweredLog, []string{
			"placed again after Lost 1 0 0 10 1 1",
			"overlaps by the logs, on different agents: 0",
		}},
		{"NoEnd", openLog, []string{
			"forward 1 1 1 -50 1 1",
			"c.0.0: run 1 on side-1 from 16:00:00.000 to 16:00:01.100 (not logged), run 1 on side-2 from 16:00:01.050: forward",
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			name := filepath.Join(t.TempDir(), "day.log")
			if err := os.WriteFile(name, []byte("built in 11.4 s\n"+test.log), 0o600); err != nil {
				t.Fatal(err)
			}
			r, err := reportFile(name, 600*time.Millisecond)
			if err != nil {
				t.Fatal(err)
			}
			text := r.format(20)
			got := strings.Join(strings.Fields(text), " ")
			for _, want := range test.want {
				if !strings.Contains(got, want) {
					t.Errorf("no %q in\n%s", want, text)
				}
			}
		})
	}
}

// Guards against a forward that its sender logs after the receiver's start and that counts as a second submission.
func TestForwardLoggedLateIsNoSubmission(t *testing.T) {
	const log = `{"Process":"front-2","Number":2002,"Job":"a","Attempt":1,"Peer":"side-1","time":"2026-07-10T16:00:00.001Z"}
{"Process":"front-1","Number":1008,"Job":"a","Peer":"front-2","time":"2026-07-10T16:00:00.002Z"}
{"Process":"front-2","Number":1005,"Job":"a","State":"Withdrawn","time":"2026-07-10T16:00:00.300Z"}
{"Process":"front-2","Number":1003,"Job":"a","State":"Cancelled","time":"2026-07-10T16:00:00.300Z"}
`
	h, err := readHistory(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	if got := submissions(h.jobs["a"]); len(got) != 1 || got[0].entry != "front-1" {
		t.Fatalf("got %v", got)
	}
}
