package dispatch

import (
	"testing"
	"time"

	"dogwoodglade/core/evacuation"
	"dogwoodglade/core/resource"
	"dogwoodglade/core/supervise"
)

// Guards against searches through the queue for a job that fits, at each event, although only evacuated backend servers
// have free capacity.
func TestEvacuatedCapacityIsNotFree(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New()
	d.Connect(now, "a-1")
	d.SetDataCentre("a-1", "a")
	d.HandleReport(now, "a-1", supervise.Report{
		Offered: true, Server: supervise.Server{ID: "a-1", Pool: "pool", Capacity: resource.Amount{Processor: 4000}},
	})
	if d.isFull("pool") {
		t.Error("the pool is full although its backend server is idle")
	}
	d.SetEvacuations(now, evacuation.NewState(7, map[string]uint64{"a": 7}))
	if !d.isFull("pool") {
		t.Error("the capacity of an evacuated backend server counts as free")
	}
}
