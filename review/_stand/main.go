// Command stand plays the cases of the review that are scripts. It starts the project's own programs as separate
// processes, and the project's stand-ins for the platform. It exits with 1 if the rule was broken, 0 if it held, and 2
// if the case could not be run.
package main

import (
	"errors"
	"fmt"
	"os"

	"dogwoodglade/core/pool"
)

func poolOf() pool.Pool { return pool.New(poolName) }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(*testSite) (broken bool, err error){
		"recover": playRecover, "cancel": playCancel, "config": playConfig, "limit": playLimit, "beats": playBeats,
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(run(play, os.Args[2]))
}

func run(play func(*testSite) (bool, error), record string) int {
	s, err := newSite(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	s.log("trouble: %t", trouble())
	broken, err := play(s)
	switch {
	case err != nil:
		s.log("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		s.log("verdict: the rule was broken")
		return 1
	}
	s.log("verdict: the rule held")
	return 0
}

func errorsAs(err error, target any) bool { return err != nil && errors.As(err, target) }
