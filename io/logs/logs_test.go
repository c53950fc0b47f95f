package logs_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodglade/io/logs"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// Guards against a process that blocks because its log output is not read, and against lines that are dropped without
// being counted.
func TestBlockedOutputDropsAndCountsLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedOutput{release: make(chan struct{})}
		w, cleanUp := logs.New(out)
		line := []byte(strings.Repeat("x", 1023) + "\n")
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second) // the write of the first line is now blocked
		start := time.Now()
		for range 2000 {
			if _, err := w.Write(line); err != nil {
				t.Fatal(err)
			}
		}
		if time.Since(start) > 0 {
			t.Errorf("Write blocked for %v", time.Since(start))
		}
		close(out.release)
		time.Sleep(time.Second)
		cleanUp()
		if got := strings.Count(out.text.String(), "x\n"); got != 1+1024 {
			t.Errorf("got %d lines, want 1025", got)
		}
		if !strings.Contains(out.text.String(), `"Count":976`) {
			t.Error("the number of dropped lines is missing")
		}
	})
}

// Guards against losing buffered lines when the process exits.
func TestCleanUpWritesBufferedLines(t *testing.T) {
	var out bytes.Buffer
	w, cleanUp := logs.New(&out)
	if _, err := io.WriteString(w, "last\n"); err != nil {
		t.Fatal(err)
	}
	cleanUp()
	if out.String() != "last\n" {
		t.Errorf("got %q", out.String())
	}
}
