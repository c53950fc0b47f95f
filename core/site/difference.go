package site

import (
	"fmt"
	"slices"
)

// Difference is a difference between two configurations: Added, Removed or Changed.
type Difference interface {
	fmt.Stringer
	difference()
}

// Added is an entry that only the new configuration has.
type Added struct{ Entry string }

// Removed is an entry that only the old configuration has.
type Removed struct{ Entry string }

// Changed is a field with different values.
type Changed struct{ Entry, Field, Old, New string }

func (Added) difference()   {}
func (Removed) difference() {}
func (Changed) difference() {}

// String returns the difference as one line of text.
func (d Added) String() string { return "added: " + d.Entry }

// String returns the difference as one line of text.
func (d Removed) String() string { return "removed: " + d.Entry }

// String returns the difference as one line of text.
func (d Changed) String() string {
	return fmt.Sprintf("changed: %s: %s from %s to %s", d.Entry, d.Field, d.Old, d.New)
}

// Differences returns what changes for callers when a configuration replaces another one: what the new one adds and
// changes, in its order, then what it removes.
func Differences(from, to Configuration) []Difference {
	differences := compareEntries(from.Routes, to.Routes, func(r Route) string { return routeEntry(r.Name) }, compareRoutes)
	pools := func(c Configuration) (entries []poolOf) {
		for _, p := range c.Pools {
			entries = append(entries, poolOf{p.Name, slices.Contains(c.RefusingPools, p.Name)})
		}
		return entries
	}
	differences = append(differences, compareEntries(pools(from), pools(to),
		func(p poolOf) string { return poolEntry(p.name) }, func(l *fields, a, b poolOf) {
			compare(l, "refusal of work beyond the capacity", a.refuses, b.refuses)
		})...)
	l := &fields{entry: "limits"}
	compare(l, "largest body", from.Limits.BodyBytes, to.Limits.BodyBytes)
	return append(differences, l.changed...)
}

// poolOf is a pool with what the configuration says of its backend servers.
type poolOf struct {
	name    string
	refuses bool
}

func compareRoutes(l *fields, a, b Route) {
	compare(l, "host", a.Host, b.Host)
	compare(l, "path prefix", a.PathPrefix, b.PathPrefix)
	compare(l, "pool", a.Pool, b.Pool)
	compare(l, "priority", a.Priority, b.Priority)
	compare(l, "time-out", a.Deadline, b.Deadline)
	compare(l, "target latency", a.Target, b.Target)
	compare(l, "stretch", a.Stretch, b.Stretch)
	compare(l, "attempts", a.Attempts, b.Attempts)
	compare(l, "unsupported feature", a.UnsupportedFeature, b.UnsupportedFeature)
}

// compareEntries compares entries of the same name. Of several with one name, the last one counts.
func compareEntries[E any](
	from, to []E, name func(E) string, compareFields func(l *fields, a, b E),
) (differences []Difference) {
	old, kept := map[string]E{}, map[string]bool{}
	for _, e := range from {
		old[name(e)] = e
	}
	for _, e := range to {
		kept[name(e)] = true
		before, ok := old[name(e)]
		if !ok {
			differences = append(differences, Added{name(e)})
			continue
		}
		l := &fields{entry: name(e)}
		compareFields(l, before, e)
		differences = append(differences, l.changed...)
	}
	for _, e := range from {
		if !kept[name(e)] {
			differences = append(differences, Removed{name(e)})
		}
	}
	return differences
}

// fields collects the changed fields of an entry.
type fields struct {
	entry   string
	changed []Difference
}

func compare[V comparable](l *fields, field string, a, b V) {
	if a != b {
		l.changed = append(l.changed, Changed{l.entry, field, show(a), show(b)})
	}
}

func show(value any) string {
	if text, ok := value.(string); ok {
		return fmt.Sprintf("%q", text)
	}
	return fmt.Sprint(value)
}
