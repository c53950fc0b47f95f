package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/platform"
)

// process runs a program of the site: it starts, signals and restarts it. It only signals processes that it has started
// itself.
type process struct {
	name         string
	binary       string
	arguments    []string
	settings     string              // path
	log          string              // path
	onUnexpected func(detail string) // called for an unexpected exit, and for panics and data races in the log
	onEffect     func(name string)   // called when a signal is known to have taken effect

	mu          sync.Mutex // guards what follows
	cmd         *exec.Cmd
	done        chan struct{} // closed when cmd has exited
	terminating bool          // a signal that ends cmd was sent
	paused      bool
	incarnation int
}

func newProcess(
	directory, name, binary string, arguments []string, onUnexpected, onEffect func(string),
) *process {
	return &process{
		name: name, binary: binary, arguments: arguments, onUnexpected: onUnexpected, onEffect: onEffect,
		settings: filepath.Join(directory, name+".toml"), log: filepath.Join(directory, name+".log"),
	}
}

// Start starts the process unless it is running.
func (p *process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	defer func() { _ = out.Close() }() // the process has inherited a duplicate
	cmd := exec.Command(p.binary, p.arguments...)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	// The kernel kills the process if the soak itself is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", p.name)
	}
	p.cmd, p.done, p.terminating, p.paused = cmd, make(chan struct{}), false, false
	p.incarnation++
	go p.awaitExit(cmd, p.done)
	return nil
}

func (p *process) awaitExit(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	terminating := p.terminating
	p.cmd = nil
	p.mu.Unlock()
	close(done)
	if status, ok := cmd.ProcessState.Sys().(syscall.WaitStatus); ok && status.Signal() == syscall.SIGKILL {
		p.onEffect(effectKilled)
	}
	if !terminating {
		p.onUnexpected(fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
	}
	if data, err := os.ReadFile(p.log); err == nil {
		for _, marker := range []string{"panic:", "fatal error:", "DATA RACE"} {
			if bytes.Contains(data, []byte(marker)) {
				p.onUnexpected(fmt.Sprintf("%s logged %q", p.name, marker))
			}
		}
	}
}

// Running reports whether the process is running and was not asked to end, and its incarnation.
func (p *process) Running() (incarnation int, running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation, p.cmd != nil && !p.terminating
}

// signal sends a signal; ends tells whether the signal ends the process. It reports false if the process is not
// running.
func (p *process) signal(s syscall.Signal, ends bool) (done <-chan struct{}, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil, false
	}
	p.terminating = p.terminating || ends
	if err := p.cmd.Process.Signal(s); err != nil {
		return nil, false // it has just exited
	}
	return p.done, true
}

// Kill kills the process and waits until it has exited.
func (p *process) Kill() {
	if done, ok := p.signal(syscall.SIGKILL, true); ok {
		<-done
	}
}

// Stop sends SIGTERM, and kills the process if it has not exited within the limit. It reports whether the process
// exited in time.
func (p *process) Stop(limit time.Duration) bool {
	done, ok := p.signal(syscall.SIGTERM, true)
	if !ok {
		return true
	}
	select {
	case <-done:
		return true
	case <-time.After(limit):
		p.Kill()
		return false
	}
}

// Pause suspends the process for a time with SIGSTOP and SIGCONT.
func (p *process) Pause(d time.Duration) {
	if p.suspend(d) {
		p.onEffect(effectPaused)
	}
}

// suspend is Pause without the report. It reports whether the process was still suspended at the end.
func (p *process) suspend(d time.Duration) (suspended bool) {
	if _, ok := p.signal(syscall.SIGSTOP, false); ok {
		time.Sleep(d)
		suspended = p.state() == 'T'
		p.signal(syscall.SIGCONT, false)
	}
	return suspended
}

// state returns the state of the process as in proc_pid_stat(5), or 0 if it is not running.
func (p *process) state() byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	_, rest, found := bytes.Cut(data, []byte(") "))
	if err != nil || !found || len(rest) == 0 {
		return 0
	}
	return rest[0]
}

// throttlePeriod is the period of a processor quota.
const throttlePeriod = 100 * time.Millisecond

// Throttle lets the process run for a share of each period.
func (p *process) Throttle(d time.Duration, share float64) {
	running := time.Duration(share * float64(throttlePeriod))
	suspended := false
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(running) {
		suspended = p.suspend(throttlePeriod-running) || suspended
	}
	if suspended {
		p.onEffect(effectThrottled)
	}
}
