package dev_test

import (
	"github.com/cockroachdb/datadriven"

	"dogwoodglade/io/store"
)

func (s *scenario) start(d *datadriven.TestData) string {
	for _, arg := range d.CmdArgs {
		var err error
		switch arg.Key {
		case "entry":
			_, err = s.site.StartEntry()
		case "agent":
			_, err = s.site.StartAgent()
		case "failing-server":
			_, err = s.site.StartFailingServer(s.site.Agents[0].Process.Address())
		case "server":
			agent := len(s.site.Agents)
			_, err = s.site.StartServer(s.site.Agents[agent-1].Process.Address())
		}
		if err != nil {
			d.Fatalf(s.t, "%v", err)
		}
	}
	return ""
}

// stop stops processes gracefully, and waits for them unless the argument "later" is given.
func (s *scenario) stop(d *datadriven.TestData) string {
	done := make(chan struct{})
	stops := 0
	for _, arg := range d.CmdArgs {
		if stop, _ := s.findProcess(arg.Key); stop != nil {
			stops++
			go func() {
				stop()
				done <- struct{}{}
			}()
		}
	}
	if d.HasArg("later") {
		go func() {
			for range stops {
				<-done
			}
		}()
		return ""
	}
	for range stops {
		<-done
	}
	return ""
}

func (s *scenario) kill(d *datadriven.TestData) string {
	for _, arg := range d.CmdArgs {
		if _, kill := s.findProcess(arg.Key); kill != nil {
			kill()
		}
	}
	return ""
}

// findProcess returns the functions that stop and kill the process with the name, or nil if there is none.
func (s *scenario) findProcess(name string) (stop, kill func()) {
	for _, p := range s.site.Entries {
		if p.Name == name {
			return p.Stop, p.Kill
		}
	}
	for _, p := range s.site.Agents {
		if p.Name == name {
			return p.Stop, p.Kill
		}
	}
	for _, p := range s.site.Servers {
		if p.Name == name {
			return p.Stop, p.Kill
		}
	}
	return nil, nil
}

func (s *scenario) hosts() []string {
	hosts := []string{"platform", "caller"}
	for _, p := range s.site.Entries {
		hosts = append(hosts, p.Name)
	}
	for _, p := range s.site.Agents {
		hosts = append(hosts, p.Name)
	}
	for _, p := range s.site.Servers {
		hosts = append(hosts, p.Name)
	}
	return hosts
}

func (s *scenario) stall(host string, stalled bool) {
	for _, other := range s.hosts() {
		s.network.SetStalled(host, other, stalled)
	}
}

func (s *scenario) freeze(d *datadriven.TestData) string {
	s.stall(d.CmdArgs[0].Key, true)
	return ""
}

func (s *scenario) thaw(d *datadriven.TestData) string {
	s.stall(d.CmdArgs[0].Key, false)
	return ""
}

func (s *scenario) cut(d *datadriven.TestData) string {
	s.network.SetCut(d.CmdArgs[0].Key, d.CmdArgs[1].Key, true)
	return ""
}

func (s *scenario) heal(d *datadriven.TestData) string {
	s.network.SetCut(d.CmdArgs[0].Key, d.CmdArgs[1].Key, false)
	return ""
}

func (s *scenario) setPlatformFaults(d *datadriven.TestData) string {
	faults := store.Faults{Down: d.HasArg("down")}
	delay := "0s"
	s.scanOptional(d, "delay", &delay)
	faults.Delay = s.parseDuration(delay)
	lost := 0
	s.scanOptional(d, "lost", &lost)
	faults.LostResponses = float64(lost) / 100
	if err := s.site.Platform.SetFaults(faults); err != nil {
		d.Fatalf(s.t, "%v", err)
	}
	return ""
}
