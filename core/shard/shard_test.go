package shard_test

import (
	"testing"

	"pgregory.net/rapid"

	"dogwoodglade/core/shard"
)

// Guards against a ticket that changes when it is formatted and parsed, which would let another process start the
// submission.
func TestTicketRoundTrip(t *testing.T) {
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

// Guards against a malformed ticket that is accepted, which could carry the epoch of another owner.
func TestParseTicketRejectsMalformedText(t *testing.T) {
	for _, text := range []string{"1", "1.2", "1.2.", "-1.2.a", "256.2.a", "1.0.a", "1.x.a", "x.1.a"} {
		if _, err := shard.ParseTicket(text); err == nil {
			t.Errorf("parse %q: got no error", text)
		}
	}
}

// Guards against two epochs neither of which is older, so that an agent could accept both owners.
func TestEpochsAreStrictlyOrdered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) shard.Epoch {
			return shard.Epoch{
				Counter:     rapid.Uint64Range(0, 3).Draw(t, name+" counter"),
				Incarnation: rapid.SampledFrom([]string{"a", "b"}).Draw(t, name+" incarnation"),
			}
		}
		a, b := draw("a"), draw("b")
		if a != b && a.Less(b) == b.Less(a) {
			t.Fatalf("%v and %v are not strictly ordered", a, b)
		}
		if !a.Less(a.Next("a")) {
			t.Fatalf("%v is not older than its successor", a)
		}
	})
}
