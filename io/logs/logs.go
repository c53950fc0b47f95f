// Package logs writes log lines without making their writers wait. Lines are collected for a short time and
// written together, which costs one system call for many lines. If the output is slow and the buffer is full,
// lines are dropped and counted; the count is written as soon as there is room.
package logs

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// capacity bounds the lines that wait, in bytes.
	capacity = 1 << 20
	// delay is how long a line waits for others.
	delay = 100 * time.Millisecond
)

// Writer collects lines. It is safe for concurrent use.
type Writer struct {
	out  io.Writer
	wake chan struct{}

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
}

// New returns a writer to out. The clean-up writes what is left.
func New(out io.Writer) (*Writer, func()) {
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	stop := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() {
		for {
			select {
			case <-w.wake:
			case <-stop:
				w.flush()
				return
			}
			select {
			case <-time.After(delay):
			case <-stop:
			}
			w.flush()
		}
	})
	return w, func() {
		close(stop)
		running.Wait()
	}
}

// Write implements io.Writer for one line. It never fails and never waits for the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buffer)+len(line) > capacity {
		w.dropped++
	} else {
		w.buffer = append(w.buffer, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines, dropped := w.buffer, w.dropped
	w.buffer, w.dropped = w.spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, `{"Event":"LinesDropped","Count":%d}`+"\n", dropped)
	}
	if len(lines) > 0 {
		// A log that cannot be written cannot be reported in the log.
		_, _ = w.out.Write(lines)
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}
