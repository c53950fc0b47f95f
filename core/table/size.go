package table

import (
	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
)

// LimitBytes bounds the rows of one table, as upper estimates of their JSON. An answer with all rows of both
// tables must stay well under the 16 MiB of a frame of the inner protocol.
const LimitBytes = 1792 << 10

// Upper estimates of the JSON of rows and edits without their names, in bytes.
const (
	routeBytes    = 128
	poolBytes     = 320
	customerBytes = 24 // of an element of Shares or Quotas
	editBytes     = 192
)

func routeSize(r route.Route) int { return routeBytes + len(r.Name) + len(r.Pool) }

func poolSize(p pool.Pool) int {
	size := poolBytes + len(p.Name)
	for _, m := range []map[string]int{p.Shares, p.Quotas} {
		for customer := range m {
			size += customerBytes + len(customer)
		}
	}
	return size
}

// size returns the estimate for the row of an edit, 0 if it deletes the row.
func (e Edit) size() int {
	switch {
	case e.Route != nil:
		return routeSize(*e.Route)
	case e.Pool != nil:
		return poolSize(*e.Pool)
	}
	return 0
}

// sizeAfter returns the estimate for the table of an edit after the edit.
func (s Snapshot) sizeAfter(e Edit) int {
	size := e.size()
	if e.Table == Routes {
		for name, r := range s.Routes {
			if name != e.Row {
				size += routeSize(r)
			}
		}
		return size
	}
	for name, p := range s.Pools {
		if name != e.Row {
			size += poolSize(p)
		}
	}
	return size
}

// editsSize returns the estimate for the JSON of edits.
func editsSize(edits []Edit) int {
	size := 0
	for _, e := range edits {
		size += editBytes + len(e.ID) + len(e.Row) + e.size()
	}
	return size
}
