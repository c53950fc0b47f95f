package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// generations is how many machines of each zone are replaced one after the other, and oldShare their share of a core.
var (
	generations = flag.Int("generations", 6, "front machines of each zone that are replaced (case replaced)")
	oldShare    = flag.Float64("old-share", 0.5, "share of a core of the replaced machines (case replaced)")
	pause       = flag.Duration("pause", time.Second, "time from a replacement to the next one (case replaced)")
)

// playReplaced replaces front machines for good, one at a time, each by a machine at another address. Then all processes
// are killed at once and start again, as at the end of some days.
func playReplaced(s *testSite, trouble bool) verdict {
	generations, oldShare := *generations, *oldShare
	const (
		zonesWithFronts = 3
		agents          = 6
		newShare        = 0.4 // of the present ones
		recovery        = 12 * time.Second
		traffic         = 10 * time.Second
		down            = 900 * time.Millisecond
	)
	if err := s.reserve(); err != nil {
		s.record.add("%v", err)
		return couldNotRun
	}
	if err := s.startStore(); err != nil {
		s.record.add("start: %v", err)
		return couldNotRun
	}
	// number is the machine of a generation and zone; its zone is zoneOf(number).
	number := func(generation, zone int) int { return generation*zonesWithFronts + zone + 1 }
	name := func(generation, zone int) string {
		return fmt.Sprintf("front-%s-%d", zoneOf(number(generation, zone)), generation+1)
	}
	present := make([]int, zonesWithFronts) // generation of the machine of each zone
	hosts := func() (list []string) {       // of the present machines
		for z, g := range present {
			list = append(list, s.host(entryHosts, number(g, z)))
		}
		return list
	}
	start := func(generation, zone int) error {
		n := number(generation, zone)
		x := s.entrySettings(name(generation, zone), s.host(entryHosts, n), n, hosts())
		if x.cpuShare = oldShare; generation == generations {
			x.cpuShare = newShare
		}
		return s.run(x, "fleet", "entry")
	}
	for zone := range zonesWithFronts {
		if err := start(0, zone); err != nil {
			return couldNotRun
		}
	}
	for i := 1; i <= agents; i++ {
		if err := s.addAgent(i, hosts()); err != nil {
			return couldNotRun
		}
	}
	time.Sleep(2 * time.Second)
	for generation := 1; generation <= generations; generation++ {
		for zone := range zonesWithFronts {
			old := name(generation-1, zone)
			if !await(5*time.Second, func() bool { return s.rows("entries")[old] }) {
				s.record.add("%s has not written its row", old)
				return couldNotRun
			}
			s.kill(s.processes[old])
			if err := s.goDark(s.host(entryHosts, number(generation-1, zone)), innerPort); err != nil {
				s.record.add("%v", err)
				return couldNotRun
			}
			present[zone] = generation
			if err := start(generation, zone); err != nil {
				return couldNotRun
			}
			time.Sleep(*pause)
			s.record.add("%s is removed for good; %s comes at another address", old, name(generation, zone))
		}
	}
	s.record.add("%d front machines have been replaced; %d are there, and their addresses are the seeds in the settings from now on", generations*zonesWithFronts, zonesWithFronts)
	entries := make([]int, zonesWithFronts)
	for zone := range entries {
		entries[zone] = number(generations, zone)
	}
	if !await(10*time.Second, func() bool {
		for _, n := range entries {
			if !s.ready(n) {
				return false
			}
		}
		return true
	}) {
		return couldNotRun
	}
	before := s.traffic(entries, traffic)
	s.record.add("before the final fault: %d of %d requests were served", before.served, before.sent)
	if trouble {
		s.record.add("all processes are killed, and start again %v later", down)
		var running []*process
		for _, p := range s.processes {
			if p.cmd != nil {
				running = append(running, p)
			}
		}
		for _, p := range running {
			_ = p.cmd.Process.Kill()
		}
		for _, p := range running {
			s.kill(p)
		}
		time.Sleep(down)
		for _, p := range running {
			p.settings.seeds = hosts() // the settings in effect name machines that are there
			if err := p.settings.save(filepath.Join(s.directory, p.settings.name+".toml")); err != nil {
				return couldNotRun
			}
			if err := s.startProcess(p); err != nil {
				return couldNotRun
			}
		}
		s.record.add("%d processes run again", len(running))
	}
	time.Sleep(recovery)
	after := s.traffic(entries, traffic)
	s.record.add("sent later than %v after that: %d of %d requests were served; answers: %v", recovery, after.served, after.sent, after.answers)
	switch {
	case 4*before.served < before.sent:
		return couldNotRun
	case 4*after.served < after.sent:
		s.record.add("RECOVER: less than a quarter is served")
		return broken
	}
	return held
}

// counts are the requests of clients.
type counts struct {
	sent, served int
	answers      map[int]int
}

// traffic sends jobs to entries for a time and waits for the answers.
func (s *testSite) traffic(entries []int, d time.Duration) counts {
	const interval, deadline = 100 * time.Millisecond, 1500 * time.Millisecond
	var mu sync.Mutex
	var open sync.WaitGroup
	c := counts{answers: map[int]int{}}
	body := chain(1, 2, 1600, 170*time.Millisecond)
	for end, i := time.Now().Add(d), 0; time.Now().Before(end); i++ {
		c.sent++
		id := fmt.Sprintf("%016x", time.Now().UnixNano())
		open.Go(func() {
			status, answer := s.request(entries[i%len(entries)], http.MethodPost, id, body, deadline)
			mu.Lock()
			defer mu.Unlock()
			c.answers[status]++
			if status == http.StatusOK && answer == `{"state":"completed"}` {
				c.served++
			}
		})
		time.Sleep(interval)
	}
	open.Wait()
	return c
}

// rows returns the keys of a table of the store.
func (s *testSite) rows(table string) map[string]bool {
	keys := map[string]bool{}
	query := url.Values{"table": {table}, "part": {""}}
	response, err := http.Get("http://" + s.address(storeHosts, 1, storePort) + "/api/rows-get?" + query.Encode())
	if err != nil {
		return keys
	}
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	var body struct {
		Rows []struct {
			Key string `json:"key"`
		} `json:"rows"`
	}
	_ = json.Unmarshal(data, &body)
	for _, r := range body.Rows {
		keys[r.Key] = true
	}
	return keys
}

// goDark makes an address answer no connection, as that of a machine that is gone: a listener whose queue is full drops
// the opening packets.
func (s *testSite) goDark(host string, port int) error {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	s.cleanUps = append(s.cleanUps, func() { _ = syscall.Close(fd) })
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	address := &syscall.SockaddrInet4{Port: port}
	copy(address.Addr[:], net.ParseIP(host).To4())
	if err := syscall.Bind(fd, address); err != nil {
		return fmt.Errorf("bind %s: %w", host, err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return err
	}
	for range 4 {
		c, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", host, port), 150*time.Millisecond)
		if err != nil {
			return nil
		}
		s.cleanUps = append(s.cleanUps, func() { _ = c.Close() })
	}
	return fmt.Errorf("%s still answers", host)
}
