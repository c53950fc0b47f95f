package shard_test

import (
	"testing"

	"pgregory.net/rapid"

	"dogwoodglade/core/shard"
)

// A ticket that changes on its way through a caller would let another process start the submission.
func TestTicketSurvivesItsTextForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := shard.Ticket{
			Shard: shard.ID(rapid.IntRange(0, shard.Count-1).Draw(t, "shard")),
			Epoch: shard.Epoch{
				Counter:     rapid.Uint64Min(1).Draw(t, "counter"),
				Incarnation: rapid.StringMatching(`[a-z0-9.]{1,20}`).Draw(t, "incarnation"),
			},
		}
		got, err := shard.ParseTicket(want.String())
		if err != nil || got != want {
			t.Fatalf("parse %q: got %v, %v", want.String(), got, err)
		}
	})
}

// A malformed ticket that parses could carry the epoch of another owner.
func TestMalformedTicketsAreRefused(t *testing.T) {
	for _, text := range []string{"1", "1.2", "1.2.", "-1.2.a", "256.2.a", "1.0.a", "1.x.a", "x.1.a"} {
		if _, err := shard.ParseTicket(text); err == nil {
			t.Errorf("parse %q: got no error", text)
		}
	}
}

// Two owners whose epochs do not order strictly could both be accepted by an agent.
func TestEpochsOrderStrictly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) shard.Epoch {
			return shard.Epoch{
				Counter:     rapid.Uint64Range(0, 3).Draw(t, name+" counter"),
				Incarnation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, name+" incarnation"),
			}
		}
		a, b := draw("a"), draw("b")
		if a != b && a.Less(b) == b.Less(a) {
			t.Fatalf("%v and %v do not order", a, b)
		}
		if !a.Less(a.Next("a")) {
			t.Fatalf("%v is not older than its successor", a)
		}
	})
}
