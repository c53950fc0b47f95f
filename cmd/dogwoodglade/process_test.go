package main

import (
	"syscall"
	"testing"
	"time"
)

// Guards against cutting off open requests when a second SIGTERM arrives during the graceful stop: if the handler were
// removed by then, the runtime would end the process at once.
func TestSecondTerminationSignalIsIgnored(t *testing.T) {
	stopped := make(chan struct{})
	go func() {
		waitForSignal(t.Context(), nil)
		close(stopped)
	}()
	for range 2 {
		time.Sleep(50 * time.Millisecond) // real time: signals are not subject to the fake clock of synctest
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Fatal("the first SIGTERM was not handled within 10 s")
	}
	time.Sleep(50 * time.Millisecond) // until the second SIGTERM has arrived
}

// Guards against a SIGHUP that does not reload the settings or that ends the process.
func TestHangUpReloadsSettings(t *testing.T) {
	reloaded, stopped := make(chan struct{}, 1), make(chan struct{})
	go func() {
		waitForSignal(t.Context(), func() { reloaded <- struct{}{} })
		close(stopped)
	}()
	time.Sleep(50 * time.Millisecond)
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		if err := syscall.Kill(syscall.Getpid(), s); err != nil {
			t.Fatal(err)
		}
		wait := stopped
		if s == syscall.SIGHUP {
			wait = reloaded
		}
		select {
		case <-wait:
		case <-time.After(10 * time.Second):
			t.Fatalf("%v was not handled within 10 s", s)
		}
	}
}
