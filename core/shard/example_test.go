package shard_test

import (
	"fmt"

	"dogwoodglade/core/shard"
)

func ExampleParseTicket() {
	ticket, err := shard.ParseTicket("214.3.QGVBL4LA")
	fmt.Println(ticket.Shard, ticket.Epoch.Counter, ticket.Epoch.Incarnation, err)
	_, err = shard.ParseTicket("256.3.QGVBL4LA")
	fmt.Println(err)
	// Output:
	// 214 3 QGVBL4LA <nil>
	// parse ticket "256.3.QGVBL4LA": want shard.counter.incarnation
}
