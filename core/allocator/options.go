package allocator

// Options turns the mechanisms of an allocator on or off. The With methods return changed copies.
type Options struct {
	Fairness  bool // weighted fair queueing between customers; off: oldest request first across customers
	Classes   bool // separate classes for short and long work, with reserved slots; off: all work is short
	Admission bool // refuse work by its predicted wait; off: only for a full queue, a passed deadline or an empty pool
	Ejection  bool // eject backend servers whose tasks fail

	// Incarnation is a part of the grant IDs that makes them unique across restarts of the entry. If it is
	// empty, the time of the first call is used.
	Incarnation string
}

// DefaultOptions returns options with every mechanism on.
func DefaultOptions() Options {
	return Options{Fairness: true, Classes: true, Admission: true, Ejection: true}
}

// WithFairness returns a copy with fair queueing between customers on or off.
func (o Options) WithFairness(on bool) Options { o.Fairness = on; return o }

// WithClasses returns a copy with separate classes for short and long work on or off.
func (o Options) WithClasses(on bool) Options { o.Classes = on; return o }

// WithAdmission returns a copy with admission control by predicted wait on or off.
func (o Options) WithAdmission(on bool) Options { o.Admission = on; return o }

// WithEjection returns a copy with ejection of backend servers on or off.
func (o Options) WithEjection(on bool) Options { o.Ejection = on; return o }

// WithIncarnation returns a copy with the given incarnation of the entry, which becomes a part of grant IDs. It
// must not contain a slash.
func (o Options) WithIncarnation(incarnation string) Options { o.Incarnation = incarnation; return o }
