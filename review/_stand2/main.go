// Command _stand2 plays the scripted cases of the second review. It starts the project's programs as separate processes
// on loopback addresses, with stand-ins of the platform around them, and judges one rule by what the clients and minions
// of the stand-ins see. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// cases are the scripted cases by name. Each reports whether the rule was broken.
var cases = map[string]func(*site) (broken bool, err error){
	"suspend":  suspendCase,
	"reborn":   rebornCase,
	"capacity": capacityCase,
	"first":    firstBeatCase,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _stand2 CASE FOLDER")
		os.Exit(2)
	}
	broken, err := play(cases[os.Args[1]], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)
		os.Exit(2)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}

func play(do func(*site) (bool, error), folder string) (bool, error) {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	defer record.close()
	s, err := newSite(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		return false, err
	}
	defer s.close()
	broken, err := do(s)
	if err == nil {
		record.add("verdict: broken=%v", broken)
	}
	return broken, err
}

// errNoOrder is the reason why a case could not run.
var errNoOrder = errors.New("no task was started on the minion")
