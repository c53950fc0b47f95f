package batchentry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// contactTime is how long after a disturbance of the store all entries must know the newest configuration.
	contactTime = 3 * time.Second
	// configurationChangeInterval is the time between the changes in the tests.
	configurationChangeInterval = 350 * time.Millisecond
)

// Guards against a configuration that is not in force for seconds after the store was silent. Each change ends the long
// polls of all entries at once, so that the silence loses the polls that all of them begin at the same time.
func TestConfigurationAfterSilentStore(t *testing.T) {
	for _, entries := range []int{1, 3, 6, 11} {
		for _, silence := range []time.Duration{
			100 * time.Millisecond, time.Second, 2300 * time.Millisecond, 4500 * time.Millisecond, 6100 * time.Millisecond,
		} {
			t.Run(fmt.Sprint(entries, " entries, ", silence), func(t *testing.T) {
				runSiteInOneRegion(t, entries, 0, func(s *testSite) {
					s.store.set(2)
					time.Sleep(10 * time.Millisecond)
					s.store.setUnresponsive(true)
					s.store.silence()
					time.Sleep(silence)
					s.store.setUnresponsive(false)
					ended := time.Now()
					for v := uint64(3); v < 6; v++ {
						s.store.set(v)
						time.Sleep(configurationChangeInterval)
					}
					time.Sleep(time.Until(ended.Add(contactTime)))
					s.checkVersion(5)
				})
			})
		}
	}
}

// Guards against a configuration that is not in force for seconds after the connections to the store have become silent
// while new ones work, by themselves or together with those between the entries.
func TestConfigurationAfterSilentConnections(t *testing.T) {
	for _, entries := range []int{1, 3, 6, 11} {
		for _, age := range []time.Duration{10 * time.Millisecond, 900 * time.Millisecond, 7 * time.Second} {
			for _, all := range []bool{false, true} {
				t.Run(fmt.Sprint(entries, " entries, polls for ", age, ", all ", all), func(t *testing.T) {
					runSiteInOneRegion(t, entries, 0, func(s *testSite) {
						s.store.set(2)
						time.Sleep(age)
						s.store.silence()
						if all {
							s.silenceEntries()
						}
						silent := time.Now()
						time.Sleep(time.Second)
						s.store.set(3)
						time.Sleep(time.Until(silent.Add(contactTime)))
						s.checkVersion(3)
					})
				})
			}
		}
	}
}

// silenceEntries makes the open connections between the entries silent.
func (s *testSite) silenceEntries() {
	for dialler := range s.entries {
		for listener := range s.entries {
			if dialler != listener {
				s.network.Silence(dialler, listener)
			}
		}
	}
}

// Guards against entries that wait for a lost response because the ones that poll at short intervals were lost at the
// same time.
func TestConfigurationAfterLossOfWatchers(t *testing.T) {
	const entries = 6
	for lost := range entries {
		for other := range lost {
			t.Run(fmt.Sprint(lost, " and ", other), func(t *testing.T) {
				runSiteInOneRegion(t, entries, 0, func(s *testSite) {
					s.store.set(2)
					time.Sleep(5 * time.Second)
					s.store.silence()
					silent := time.Now()
					s.killEntry(fmt.Sprintf("entry-%d", lost+1))
					s.killEntry(fmt.Sprintf("entry-%d", other+1))
					time.Sleep(100 * time.Millisecond)
					s.store.set(3)
					time.Sleep(time.Until(silent.Add(contactTime)))
					s.checkVersion(3)
				})
			})
		}
	}
}

// Guards against a rate of calls to the store that grows with the number of entries.
func TestConfigurationPollRate(t *testing.T) {
	const (
		duration = 2 * time.Minute
		perEntry = 0.1 // polls per second of an entry, in addition to those of the region
		region   = 2.0 // polls per second
	)
	for _, entries := range []int{1, 2, 3, 6, 11} {
		runSiteInOneRegion(t, entries, 0, func(s *testSite) {
			s.store.set(2)
			before := s.store.pollCount()
			time.Sleep(duration)
			rate := float64(s.store.pollCount()-before) / duration.Seconds()
			s.t.Logf("%d entries: %.2f polls/s", entries, rate)
			if limit := region + perEntry*float64(entries); rate > limit {
				s.t.Errorf("%d entries: %.2f polls/s, more than %.2f", entries, rate, limit)
			}
		})
	}
}

// Guards against entries that call a store which does not answer at a high rate, because their configuration may be
// outdated.
func TestConfigurationPollRateDuringOutage(t *testing.T) {
	const (
		entries  = 11
		outage   = time.Minute
		perEntry = 1.0 // polls per second
	)
	for _, responds := range []bool{false, true} {
		runSiteInOneRegion(t, entries, 0, func(s *testSite) {
			s.store.mu.Lock()
			s.store.unresponsive, s.store.down = !responds, responds
			s.store.mu.Unlock()
			s.store.silence()
			before := s.store.pollCount()
			time.Sleep(outage)
			rate := float64(s.store.pollCount()-before) / outage.Seconds() / entries
			s.t.Logf("responds %v: %.2f polls/s of each entry", responds, rate)
			if rate > perEntry {
				s.t.Errorf("responds %v: %.2f polls/s of each entry, more than %.2f", responds, rate, perEntry)
			}
		})
	}
}

func (d *fakeStore) pollCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.polls
}

// checkVersion checks that all entries have a version of the configuration.
func (s *testSite) checkVersion(want uint64) {
	s.t.Helper()
	for name, e := range s.entries {
		if v := e.Configuration().Version; v != want {
			s.t.Errorf("%s has version %d, want %d", name, v, want)
		}
	}
}

// Guards against entries of which nothing says for how long they may have missed a change of the configuration, or which
// of them poll at short intervals.
func TestConfigurationAgeIsReported(t *testing.T) {
	const entries = 11
	runSiteInOneRegion(t, entries, 0, func(s *testSite) {
		most := int64(0)
		for range 200 {
			time.Sleep(50 * time.Millisecond)
			for name := range s.entries {
				age := metrics.GetOrRegisterGauge("Batch.ConfigurationAgeMilliseconds", s.metrics[name]).Value()
				if age < 0 {
					s.t.Fatalf("%s does not know the age of its configuration", name)
				}
				most = max(most, age)
			}
		}
		s.t.Logf("the oldest confirmation of %d entries was %d ms old", entries, most)
		if most > 1500 {
			s.t.Errorf("an entry beside watchers that reach the store has heard of none of their polls for %d ms", most)
		}
		if started, ended := s.logs.count(`"Watcher":true`), s.logs.count(`"Watcher":false`); started-ended != 2 {
			s.t.Errorf("%d entries began to watch and %d ended, want 2 watchers", started, ended)
		}
		s.store.mu.Lock()
		s.store.down = true
		s.store.mu.Unlock()
		time.Sleep(10 * time.Second)
		for name := range s.entries {
			if age := metrics.GetOrRegisterGauge("Batch.ConfigurationAgeMilliseconds", s.metrics[name]).Value(); age < 8000 {
				s.t.Errorf("%s: age %d ms after an outage of 10 s", name, age)
			}
		}
	})
}
