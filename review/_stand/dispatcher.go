package main

import (
	"os"
	"path/filepath"
	"regexp"
)

var homePattern = regexp.MustCompile(`"Event":"HomeChosen","Peer":"front-zone-[abc]-(\d+)"`)

// dispatcher returns the number of the front that the agents chose last, from the log of an agent. It only selects the
// process to disturb; nothing that is judged depends on it. It returns 1 if the log does not tell.
func (s *testSite) dispatcher() int {
	data, err := os.ReadFile(filepath.Join(s.directory, "side-zone-a-1.log"))
	if err != nil {
		return 1
	}
	all := homePattern.FindAllSubmatch(data, -1)
	if len(all) == 0 {
		return 1
	}
	n := 0
	for _, c := range all[len(all)-1][1] {
		n = 10*n + int(c-'0')
	}
	return n
}
