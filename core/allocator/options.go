package allocator

// Options switch the mechanisms of an allocator. It is a value: With methods return changed copies.
type Options struct {
	Fairness  bool // weighted fair queueing between customers; off: age order across customers
	Classes   bool // short and long work, reserved slots; off: all work is short
	Admission bool // refusal by predicted wait; off: only the queue limit and expired deadlines refuse
	Ejection  bool // ejection of backend servers by outcome

	// Incarnation makes the grant IDs of this allocator unique among the runs of the entry. If it is empty,
	// the time of the first call takes its place.
	Incarnation string
}

// DefaultOptions returns options with every mechanism on.
func DefaultOptions() Options {
	return Options{Fairness: true, Classes: true, Admission: true, Ejection: true}
}

// WithFairness returns a copy with fair queueing between customers on or off.
func (o Options) WithFairness(on bool) Options { o.Fairness = on; return o }

// WithClasses returns a copy with short and long classes on or off.
func (o Options) WithClasses(on bool) Options { o.Classes = on; return o }

// WithAdmission returns a copy with admission control by predicted wait on or off.
func (o Options) WithAdmission(on bool) Options { o.Admission = on; return o }

// WithEjection returns a copy with ejection of backend servers on or off.
func (o Options) WithEjection(on bool) Options { o.Ejection = on; return o }

// WithIncarnation returns a copy with the incarnation of the entry, which becomes a part of grant IDs. It
// must not contain a slash.
func (o Options) WithIncarnation(incarnation string) Options { o.Incarnation = incarnation; return o }
