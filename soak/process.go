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

// process is a program of the site that is started, signalled and restarted. Only the process that it started itself
// is ever signalled.
type process struct {
	name         string
	binary       string
	arguments    []string
	settings     string // path
	log          string // path
	onUnexpected func(detail string)

	mu          sync.Mutex // guards what follows
	cmd         *exec.Cmd
	done        chan struct{} // closed when cmd has ended
	terminating bool          // a signal was sent that ends cmd
	paused      bool
	incarnation int
}

func newProcess(directory, name, binary string, arguments []string, onUnexpected func(string)) *process {
	return &process{
		name: name, binary: binary, arguments: arguments, onUnexpected: onUnexpected,
		settings: filepath.Join(directory, name+".toml"), log: filepath.Join(directory, name+".log"),
	}
}

// Start starts the process unless it runs.
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
	defer func() { _ = out.Close() }() // the process has a copy
	cmd := exec.Command(p.binary, p.arguments...)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	// The process does not outlive a soak that is killed.
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
	if !terminating {
		p.onUnexpected(fmt.Sprintf("%s ended by itself: %v", p.name, err))
	}
	if data, err := os.ReadFile(p.log); err == nil {
		for _, marker := range []string{"panic:", "fatal error:", "DATA RACE"} {
			if bytes.Contains(data, []byte(marker)) {
				p.onUnexpected(fmt.Sprintf("%s wrote %q", p.name, marker))
			}
		}
	}
}

// Running reports whether the process runs, and its incarnation.
func (p *process) Running() (incarnation int, running bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.incarnation, p.cmd != nil && !p.terminating
}

// signal sends a signal. It reports false if the process does not run.
func (p *process) signal(s syscall.Signal, ends bool) (done <-chan struct{}, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil, false
	}
	p.terminating = p.terminating || ends
	if err := p.cmd.Process.Signal(s); err != nil {
		return nil, false // it has ended just now
	}
	return p.done, true
}

// Kill ends the process at once.
func (p *process) Kill() {
	if done, ok := p.signal(syscall.SIGKILL, true); ok {
		<-done
	}
}

// Stop asks the process to end, and kills it when the time is over. It reports whether it ended by itself.
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

// Pause stops the process for a time.
func (p *process) Pause(d time.Duration) {
	if _, ok := p.signal(syscall.SIGSTOP, false); ok {
		time.Sleep(d)
		p.signal(syscall.SIGCONT, false)
	}
}
