// Package pool defines the rows of the pools table. A pool is a group of backend servers, with the rules by which
// their slots are shared.
package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/route"
)

// Default values of a pool's columns.
const (
	DefaultReservedSlots   = 0.2
	DefaultLongThreshold   = 1500 * time.Millisecond
	DefaultLongMaxWait     = 5 * time.Second
	DefaultQueueLimit      = 10_000 // tasks
	DefaultRetryBudget     = 0.1
	DefaultMaxEjectedShare = 0.5
	DefaultEmptyPoolWait   = 5 * time.Second
)

// Pool is a row of the pools table. The With methods return changed copies.
type Pool struct {
	Name            string         `yaml:"Name"`
	Slots           int            `yaml:"Slots"`           // per backend server; 0: as announced by the server
	ReservedSlots   *float64       `yaml:"ReservedSlots"`   // share of the pool's slots that long work may not use
	LongThreshold   time.Duration  `yaml:"LongThreshold"`   // estimated run time above which work is long
	LongMaxWait     time.Duration  `yaml:"LongMaxWait"`     // wait after which long work may use reserved slots
	QueueLimit      int            `yaml:"QueueLimit"`      // maximum number of queued tasks
	RetryBudget     *float64       `yaml:"RetryBudget"`     // maximum number of retries, as a share of the tasks started
	MaxEjectedShare *float64       `yaml:"MaxEjectedShare"` // maximum share of the backend servers ejected at once
	EmptyPoolWait   time.Duration  `yaml:"EmptyPoolWait"`   // time without backend servers after which work is refused
	Shares          map[string]int `yaml:"Shares"`          // weight of each customer; 1 if absent
	Quotas          map[string]int `yaml:"Quotas"`          // concurrent tasks of each customer; unlimited if absent
}

// New returns a pool whose other columns have their default values.
func New(name string) Pool {
	return Pool{Name: name}.WithDefaults()
}

// WithDefaults returns a copy in which unset columns have their default values.
func (p Pool) WithDefaults() Pool {
	setShare := func(share **float64, value float64) {
		if *share == nil {
			*share = &value
		}
	}
	setDuration := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	setShare(&p.ReservedSlots, DefaultReservedSlots)
	setShare(&p.RetryBudget, DefaultRetryBudget)
	setShare(&p.MaxEjectedShare, DefaultMaxEjectedShare)
	setDuration(&p.LongThreshold, DefaultLongThreshold)
	setDuration(&p.LongMaxWait, DefaultLongMaxWait)
	setDuration(&p.EmptyPoolWait, DefaultEmptyPoolWait)
	if p.QueueLimit == 0 {
		p.QueueLimit = DefaultQueueLimit
	}
	return p
}

// WithSlots returns a copy with the given number of slots per backend server.
func (p Pool) WithSlots(n int) Pool { p.Slots = n; return p }

// WithReservedSlots returns a copy with the given share of slots that long work may not use.
func (p Pool) WithReservedSlots(share float64) Pool { p.ReservedSlots = &share; return p }

// WithLongThreshold returns a copy with the given estimated run time above which work is long.
func (p Pool) WithLongThreshold(d time.Duration) Pool { p.LongThreshold = d; return p }

// WithLongMaxWait returns a copy with the given wait after which long work may use reserved slots.
func (p Pool) WithLongMaxWait(d time.Duration) Pool { p.LongMaxWait = d; return p }

// WithQueueLimit returns a copy with the given maximum number of queued tasks.
func (p Pool) WithQueueLimit(n int) Pool { p.QueueLimit = n; return p }

// WithRetryBudget returns a copy with the given maximum number of retries, as a share of the tasks started.
func (p Pool) WithRetryBudget(share float64) Pool { p.RetryBudget = &share; return p }

// WithMaxEjectedShare returns a copy with the given maximum share of backend servers ejected at once.
func (p Pool) WithMaxEjectedShare(share float64) Pool { p.MaxEjectedShare = &share; return p }

// WithEmptyPoolWait returns a copy with the given time without backend servers after which work is refused.
func (p Pool) WithEmptyPoolWait(d time.Duration) Pool { p.EmptyPoolWait = d; return p }

// WithShare returns a copy in which the customer has the given weight.
func (p Pool) WithShare(customer string, weight int) Pool {
	p.Shares = withValue(p.Shares, customer, weight)
	return p
}

// WithQuota returns a copy in which the customer may run the given number of tasks at once.
func (p Pool) WithQuota(customer string, tasks int) Pool {
	p.Quotas = withValue(p.Quotas, customer, tasks)
	return p
}

func withValue(m map[string]int, key string, value int) map[string]int {
	copied := maps.Clone(m)
	if copied == nil {
		copied = map[string]int{}
	}
	copied[key] = value
	return copied
}

// Share returns the customer's weight in the fair sharing of slots.
func (p Pool) Share(customer string) int {
	if weight, ok := p.Shares[customer]; ok {
		return weight
	}
	return 1
}

// Quota returns the maximum number of tasks that the customer may run at once, or 0 if it is unlimited.
func (p Pool) Quota(customer string) int { return p.Quotas[customer] }

// Validate returns an error that joins a *route.ColumnError for each invalid column, or nil.
func (p Pool) Validate() error {
	var errs []error
	check := func(ok bool, column, want string, value any) {
		if !ok {
			errs = append(errs, &route.ColumnError{
				Table: "pool", Row: p.Name, Column: column, Value: fmt.Sprintf("%v", value), Want: want,
			})
		}
	}
	checkShare := func(share *float64, column string) {
		if share != nil {
			check(*share >= 0 && *share <= 1, column, "0 to 1", *share)
		}
	}
	check(route.ValidName(p.Name), "Name", "1 to 64 letters, digits, dots, dashes or underscores",
		fmt.Sprintf("%q", p.Name))
	check(p.Slots >= 0 && p.Slots <= 1024, "Slots", "0 to 1024", p.Slots)
	checkShare(p.ReservedSlots, "ReservedSlots")
	checkShare(p.RetryBudget, "RetryBudget")
	checkShare(p.MaxEjectedShare, "MaxEjectedShare")
	check(p.LongThreshold > 0 && p.LongThreshold <= time.Hour, "LongThreshold", "up to 1h", p.LongThreshold)
	check(p.LongMaxWait > 0 && p.LongMaxWait <= time.Hour, "LongMaxWait", "up to 1h", p.LongMaxWait)
	check(p.EmptyPoolWait > 0 && p.EmptyPoolWait <= time.Hour, "EmptyPoolWait", "up to 1h", p.EmptyPoolWait)
	check(p.QueueLimit >= 1 && p.QueueLimit <= 1_000_000, "QueueLimit", "1 to 1000000 tasks", p.QueueLimit)
	const nameRule = "a customer of 1 to 64 letters, digits, dots, dashes or underscores"
	for _, customer := range slices.Sorted(maps.Keys(p.Shares)) {
		check(route.ValidName(customer), "Shares."+customer, nameRule, fmt.Sprintf("%q", customer))
		check(p.Shares[customer] >= 1 && p.Shares[customer] <= 1000, "Shares."+customer, "1 to 1000",
			p.Shares[customer])
	}
	for _, customer := range slices.Sorted(maps.Keys(p.Quotas)) {
		check(route.ValidName(customer), "Quotas."+customer, nameRule, fmt.Sprintf("%q", customer))
		check(p.Quotas[customer] >= 1, "Quotas."+customer, "1 or more tasks", p.Quotas[customer])
	}
	return errors.Join(errs...)
}
