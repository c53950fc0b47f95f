// The program plays the cases of the third review that are scripts: a site of the deploy file's programs as separate
// processes, with stand-ins of the store, the backend servers and the clients.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment
// it does the same without the disruption.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"dogwoodglade/platform/standin"
)

// verdict is the result of a case: its exit code.
type verdict int

const (
	held verdict = iota
	broken
	couldNotRun
)

type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMB      int   `json:"mem_mb"`
	EstimateMS int64 `json:"estimate_ms"`
	After      []int `json:"after,omitempty"`
}

// chain returns the body of a job whose steps wait for each other.
func chain(steps, count, cpu int, runTime time.Duration) string {
	w := standin.Workload{RunTime: runTime, Processor: cpu}
	var list []step
	for i := range steps {
		s := step{Count: count, CPU: cpu, MemMB: 64, EstimateMS: runTime.Milliseconds()}
		if i > 0 {
			s.After = []int{i - 1}
		}
		list = append(list, s)
	}
	data, err := json.Marshal(map[string]any{"spec": w.Encode(), "best_effort": true, "steps": list})
	if err != nil {
		panic(err)
	}
	return string(data)
}

func main() {
	name := flag.String("case", "", "case to play")
	program := flag.String("program", "target/dogwoodglade", "program of the deploy file")
	path := flag.String("record", "record.txt", "where to write what happened")
	keep := flag.String("keep", "", "folder for settings and logs; a temporary one if empty")
	flag.Parse()
	os.Exit(int(play(*name, *program, *path, *keep, os.Getenv("TROUBLE") != "0")))
}

func play(name, program, path, keep string, trouble bool) verdict {
	cases := map[string]func(s *testSite, trouble bool) verdict{"copy": playCopy, "dropped": playDropped}
	directory := keep
	if directory == "" {
		var err error
		if directory, err = os.MkdirTemp("", "review-3-"); err != nil {
			fmt.Println(err)
			return couldNotRun
		}
		defer func() { _ = os.RemoveAll(directory) }()
	}
	s := &testSite{
		program: program, directory: directory, record: &recorder{begin: time.Now(), path: path},
		backends: map[string]*standin.Backend{}, processes: map[string]*process{},
	}
	defer s.close()
	do, ok := cases[name]
	if !ok {
		fmt.Println("no such case")
		return couldNotRun
	}
	s.record.add("case %s, with the disruption: %v", name, trouble)
	v := do(s, trouble)
	s.record.add("verdict: %s", []string{"the rule held", "THE RULE WAS BROKEN", "the case could not run"}[v])
	text, err := s.record.save()
	fmt.Println(text)
	if err != nil {
		fmt.Println(err)
		return couldNotRun
	}
	return v
}

// await repeats a check until it holds, or until the time is over.
func await(limit time.Duration, check func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if check() {
			return true
		}
	}
	return false
}
