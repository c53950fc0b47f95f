// Package logs provides a buffered writer for log lines that does not block its callers.
//
// Lines are buffered for a short time and written together, so that many lines cost few system calls. If the output is
// slow and the buffer is full, lines are dropped and counted; the count is appended to the next write.
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxBuffered limits the size of the buffered lines, in bytes.
	maxBuffered = 1 << 20
	// maxWrite is the maximum size of a write, in bytes, unless a line is longer. A pipe keeps writes of up to this size
	// together (PIPE_BUF); longer ones can be cut or mixed with the output of other processes.
	maxWrite = 4096
	// flushDelay is the time from the first buffered line to the write.
	flushDelay = 100 * time.Millisecond
	// stopTimeout is how long the clean-up waits for an output that takes no more lines.
	stopTimeout = time.Second
)

// Writer buffers log lines. It is safe for concurrent use.
type Writer struct {
	out  io.Writer
	wake chan struct{} // signalled by each Write

	mu      sync.Mutex
	buffer  []byte
	spare   []byte // memory of the buffer written last, for reuse
	dropped int    // lines since the latest flush
}

// New returns a Writer to out. The returned clean-up function writes the buffered lines, and gives up if the output does
// not take them, so that a process whose output nobody reads can end.
func New(out io.Writer) (*Writer, func()) {
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	stop := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-w.wake:
			case <-stop:
				w.flush()
				return
			}
			select {
			case <-time.After(flushDelay):
			case <-stop:
			}
			w.flush()
		}
	}()
	return w, func() {
		close(stop)
		select {
		case <-ended:
		case <-time.After(stopTimeout):
		}
	}
}

// Write implements io.Writer for one line. It never returns an error and never waits for the output.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buffer)+len(line) > maxBuffered {
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
	for rest := lines; len(rest) > 0; {
		n := wholeLines(rest)
		// An error is ignored, because a failure to write the log cannot be logged.
		_, _ = w.out.Write(rest[:n])
		rest = rest[n:]
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}

// wholeLines returns the length of the lines at the start of the text that fit into one write, at least of one line.
func wholeLines(text []byte) int {
	if len(text) <= maxWrite {
		return len(text)
	}
	if n := bytes.LastIndexByte(text[:maxWrite], '\n'); n >= 0 {
		return n + 1
	}
	if n := bytes.IndexByte(text, '\n'); n >= 0 {
		return n + 1
	}
	return len(text)
}
