package table

import (
	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
)

// MaxTableBytes limits the estimated JSON size of all rows of one table. A response to a pull with all rows of both
// tables must stay well under 16 MiB, the maximum frame size of the protocol between processes.
const MaxTableBytes = 1792 << 10

// Upper estimates of the JSON size of rows and edits without the names in them, in bytes.
const (
	routeBytes    = 128
	poolBytes     = 320
	customerBytes = 24 // one entry of Shares or Quotas
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

// rowSize returns the estimated JSON size of the row of an edit, or 0 if the edit deletes it.
func (e Edit) rowSize() int {
	switch {
	case e.Route != nil:
		return routeSize(*e.Route)
	case e.Pool != nil:
		return poolSize(*e.Pool)
	}
	return 0
}

// tableSizeAfter returns the estimated JSON size that the edited table will have after the edit.
func (s Snapshot) tableSizeAfter(e Edit) int {
	size := e.rowSize()
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

// editsSize returns the estimated JSON size of edits.
func editsSize(edits []Edit) int {
	size := 0
	for _, e := range edits {
		size += editBytes + len(e.ID) + len(e.Row) + e.rowSize()
	}
	return size
}
