package main

import (
	"syscall"
	"testing"
	"time"
)

// Guards against open requests that are cut off because a termination signal comes a second time, while the process
// finishes its open work: the runtime then ends the process at once.
func TestSecondTerminationIsIgnored(t *testing.T) {
	stopped := make(chan struct{})
	go func() {
		untilSignal(t.Context(), nil)
		close(stopped)
	}()
	for range 2 {
		time.Sleep(50 * time.Millisecond) // real time: signals do not follow a paused clock
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Fatal("the first signal was not taken")
	}
	time.Sleep(50 * time.Millisecond) // for the second one
}

// Guards against settings that are not read again, and against a process that ends when they change.
func TestHangUpReads(t *testing.T) {
	read, stopped := make(chan struct{}, 1), make(chan struct{})
	go func() {
		untilSignal(t.Context(), func() { read <- struct{}{} })
		close(stopped)
	}()
	time.Sleep(50 * time.Millisecond)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if err := syscall.Kill(syscall.Getpid(), s); err != nil {
			t.Fatal(err)
		}
		wait := stopped
		if s == syscall.SIGHUP {
			wait = read
		}
		select {
		case <-wait:
		case <-time.After(10 * time.Second):
			t.Fatalf("%v was not taken", s)
		}
	}
}
