package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/batch"
)

// traceEvent is what one part of the site saw of a job.
type traceEvent struct {
	at   time.Time
	text string
}

// trace returns what the callers and backend servers saw of a job.
func (record *jobRecord) trace() (events []traceEvent) {
	for i, sub := range record.submissions {
		events = append(events, traceEvent{sub.sentAt, fmt.Sprintf("caller: submission %d to %s", i+1, sub.entry)})
		if !sub.answeredAt.IsZero() {
			events = append(events, traceEvent{sub.answeredAt, fmt.Sprintf("caller: submission %d: %s (left: %t) %s",
				i+1, sub.outcome, sub.gaveUp, strings.TrimSpace(sub.detail))})
		}
	}
	for _, r := range record.runs {
		name := fmt.Sprintf("backend server %s (%d): run %d of %v", r.Backend, r.Incarnation, r.Number, r.Task)
		events = append(events, traceEvent{r.At, fmt.Sprintf("%s started (late order: %t)", name, r.Delayed)})
		if !r.endedAt.IsZero() {
			events = append(events, traceEvent{r.endedAt, name + " ended: " + r.outcome})
		}
	}
	return events
}

// SaveTraces writes a file for each job whose runs overlapped or whose response was wrong. It shows what callers, entries,
// agents and backend servers saw of the job, in order. The entries and agents have logged to files in the same directory.
func (c *checker) SaveTraces(directory string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, record := range c.jobs {
		if !c.traced[id] {
			continue
		}
		events, err := loggedEvents(directory, id)
		if err != nil {
			return err
		}
		events = append(events, record.trace()...)
		slices.SortStableFunc(events, func(a, b traceEvent) int { return a.at.Compare(b.at) })
		var text strings.Builder
		for _, e := range events {
			fmt.Fprintf(&text, "%s %s\n", e.at.UTC().Format("15:04:05.000"), e.text)
		}
		if err := os.WriteFile(filepath.Join(directory, "trace-"+string(id)+".txt"), []byte(text.String()), 0o600); err != nil {
			return errors.Wrap(err, "save trace")
		}
	}
	return nil
}

// loggedEvents returns the lines of all logs in a directory that contain the ID of a job.
func loggedEvents(directory string, id batch.JobID) (events []traceEvent, err error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*.log"))
	if err != nil {
		return nil, errors.Wrap(err, "find logs")
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "read log")
		}
		for line := range bytes.Lines(data) {
			var header struct {
				Time time.Time `json:"time"`
			}
			if bytes.Contains(line, []byte(id)) && json.Unmarshal(line, &header) == nil {
				events = append(events, traceEvent{header.Time, string(bytes.TrimSpace(line))})
			}
		}
	}
	return events, nil
}
