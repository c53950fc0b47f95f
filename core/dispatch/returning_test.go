package dispatch

import (
	"testing"
	"time"

	"dogwoodglade/core/batch"
)

// Guards against callers that are put last because they wait for less than the time-out of their route, where all callers
// do, or where the time-out was raised a moment ago.
func TestShortWaitAloneDoesNotMeanReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	first, short := batch.Job{Version: 1}, batch.Job{Version: 1, Returning: true}
	raised := batch.Job{Version: 2, Returning: true}
	r := &routeState{}
	if r.returns(now, short) {
		t.Error("a caller returns before any other was seen")
	}
	if r.returns(now, first) || !r.returns(now.Add(time.Second), short) {
		t.Error("a caller with less time than others does not return")
	}
	if r.returns(now.Add(time.Second), raised) {
		t.Error("a caller returns because the time-out was raised")
	}
	if r.returns(now.Add(time.Minute), short) {
		t.Error("a caller returns although all others wait for less as well")
	}
}
