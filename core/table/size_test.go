package table

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
)

// Guards against a response to a pull, with all rows or with edits, that does not fit into a frame of the protocol
// between processes.
func TestPullResponsesFitIntoAFrame(t *testing.T) {
	const limit = 4 << 20 // well under the 16 MiB of a frame
	name := func(i int) string { return fmt.Sprintf("%s%05d", strings.Repeat("n", 59), i) }
	fill := func(edit func(name string) Edit) (edits []Edit, next Edit) {
		for size := 0; ; {
			next = edit(name(len(edits)))
			next.Version = uint64(len(edits) + 1)
			if size += next.rowSize(); size > MaxTableBytes {
				return edits, next
			}
			edits = append(edits, next)
		}
	}
	const share = 0.12345678901234567
	wide := pool.New("").WithSlots(1024).WithReservedSlots(share).WithRetryBudget(share).WithMaxEjectedShare(share).
		WithLongThreshold(time.Hour).WithLongMaxWait(time.Hour).WithEmptyPoolWait(time.Hour).WithQueueLimit(1_000_000)
	for i := range 50 {
		wide = wide.WithShare(name(i), 1000).WithQuota(name(i), math.MaxInt)
	}
	pools, _ := fill(func(name string) Edit { p := wide; p.Name = name; return SetPool(name, p) })
	row := route.New("", name(0)).WithAttempts(10).WithDeadline(5 * time.Minute).WithMaxBody(1 << 20)
	routes, next := fill(func(name string) Edit { r := row; r.Name = name; return SetRoute(name, r) })
	replica := NewReplica()
	if _, err := replica.Apply(slices.Concat(pools, routes)); err != nil {
		t.Fatal(err)
	}
	var tooLarge *SizeLimitError
	if err := replica.current.checkConstraints(next); !errors.As(err, &tooLarge) {
		t.Errorf("got %v for a route beyond %d", err, len(routes))
	}
	for _, peer := range []Versions{
		{}, {Routes: uint64(len(routes)), Pools: 9}, {Routes: uint64(len(routes) - 1000), Pools: 99},
	} {
		response := replica.PullResponse(peer)
		data, err := json.Marshal(response)
		if err != nil || len(data) > limit-limit/100 {
			t.Errorf("the response to a peer at %v has %d bytes, %v", peer, len(data), err)
		}
		t.Logf("%d pools, %d routes, peer at %v: %d bytes, all rows %t",
			len(pools), len(routes), peer, len(data), response.All)
	}
}
