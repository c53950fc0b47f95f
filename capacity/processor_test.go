//go:build !race

package capacity

import "testing"

// The race detector multiplies processor time, so this test is not built with it.

// Control messages that cost too much would take processor time from the tasks of the node. The time is
// measured for both ends of a connection and is therefore more than the agent's own.
func TestControlMessageProcessorTimeWithinBudget(t *testing.T) {
	perSecond := map[string]float64{
		"message.Heartbeat.grants": 2 * budgetEntries, "message.Alive": 4 * budgetEntries,
		"message.StartReply": 830_000 / 39_000.0, "message.Release": 830_000 / 39_000.0,
	}
	sum := 0.0
	for name, rate := range perSecond {
		measures, err := Select(name)
		if err != nil {
			t.Fatal(err)
		}
		size := 64 // grants in use
		if name != "message.Heartbeat.grants" {
			size = 1000
		}
		cost, err := measures[0].Run(size)
		if err != nil {
			t.Fatal(err)
		}
		micros := cost[CPUMicroseconds]
		if name != "message.Heartbeat.grants" {
			micros /= float64(size)
		}
		t.Logf("%s: %.0f us, %.1f messages per second", name, micros, rate)
		sum += micros * rate
	}
	if share := sum / 1e6; share > BudgetCoreShare {
		t.Errorf("control messages take %.4f of a core, the budget is %.4f", share, BudgetCoreShare)
	} else {
		t.Logf("control messages take %.4f of a core", share)
	}
}
