// Package route defines the rows of the routes table. A route maps a kind of request to a pool and sets the limits
// for these requests.
package route

import (
	"fmt"
	"regexp"
	"time"

	"github.com/cockroachdb/errors"
)

// Default values of a route's columns.
const (
	DefaultAttempts = 1
	DefaultDeadline = 10 * time.Second
	DefaultMaxTasks = 160
	DefaultMaxBody  = 64 << 10 // bytes
)

// Maximum values of a route's columns.
const (
	LimitAttempts = 10
	LimitDeadline = 5 * time.Minute
	LimitMaxTasks = 160
	LimitMaxBody  = 1 << 20 // bytes
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// Route is a row of the routes table. The With methods return changed copies.
type Route struct {
	Name       string        `yaml:"Name"`
	Pool       string        `yaml:"Pool"`
	Attempts   int           `yaml:"Attempts"`   // maximum number of starts of each task of an idempotent request
	Deadline   time.Duration `yaml:"Deadline"`   // default and maximum deadline of requests
	MaxTasks   int           `yaml:"MaxTasks"`   // maximum number of tasks of a job
	MaxBody    int           `yaml:"MaxBody"`    // maximum size of a task's body, in bytes
	Idempotent bool          `yaml:"Idempotent"` // default for requests that do not say whether they are idempotent
}

// New returns a route whose other columns have their default values.
func New(name, pool string) Route {
	return Route{Name: name, Pool: pool}.WithDefaults()
}

// WithDefaults returns a copy in which unset columns have their default values.
func (r Route) WithDefaults() Route {
	if r.Attempts == 0 {
		r.Attempts = DefaultAttempts
	}
	if r.Deadline == 0 {
		r.Deadline = DefaultDeadline
	}
	if r.MaxTasks == 0 {
		r.MaxTasks = DefaultMaxTasks
	}
	if r.MaxBody == 0 {
		r.MaxBody = DefaultMaxBody
	}
	return r
}

// WithPool returns a copy that sends its requests to the given pool.
func (r Route) WithPool(pool string) Route { r.Pool = pool; return r }

// WithAttempts returns a copy with the given maximum number of starts of each task.
func (r Route) WithAttempts(n int) Route { r.Attempts = n; return r }

// WithDeadline returns a copy with the given default and maximum deadline.
func (r Route) WithDeadline(d time.Duration) Route { r.Deadline = d; return r }

// WithMaxTasks returns a copy with the given maximum number of tasks of a job.
func (r Route) WithMaxTasks(n int) Route { r.MaxTasks = n; return r }

// WithMaxBody returns a copy with the given maximum size of a task's body, in bytes.
func (r Route) WithMaxBody(n int) Route { r.MaxBody = n; return r }

// WithIdempotent returns a copy with the given default for requests that do not say whether they are idempotent.
func (r Route) WithIdempotent(idempotent bool) Route { r.Idempotent = idempotent; return r }

// ColumnError reports an invalid value in a column of a row.
type ColumnError struct {
	Table  string
	Row    string
	Column string
	Value  string
	Want   string
}

// Error implements error.
func (e *ColumnError) Error() string {
	return fmt.Sprintf("validate %s %q: %s is %s, want %s", e.Table, e.Row, e.Column, e.Value, e.Want)
}

// ValidName reports whether a name is valid for a row, a customer or a process.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Validate returns an error that joins a *ColumnError for each invalid column, or nil.
func (r Route) Validate() error {
	var errs []error
	check := func(ok bool, column, want string, value any) {
		if !ok {
			errs = append(errs, &ColumnError{
				Table: "route", Row: r.Name, Column: column, Value: fmt.Sprintf("%v", value), Want: want,
			})
		}
	}
	const nameRule = "1 to 64 letters, digits, dots, dashes or underscores"
	check(ValidName(r.Name), "Name", nameRule, fmt.Sprintf("%q", r.Name))
	check(ValidName(r.Pool), "Pool", nameRule, fmt.Sprintf("%q", r.Pool))
	check(r.Attempts >= 1 && r.Attempts <= LimitAttempts, "Attempts", "1 to 10", r.Attempts)
	check(r.Deadline >= time.Millisecond && r.Deadline <= LimitDeadline, "Deadline", "1ms to 5m", r.Deadline)
	check(r.MaxTasks >= 1 && r.MaxTasks <= LimitMaxTasks, "MaxTasks", "1 to 160", r.MaxTasks)
	check(r.MaxBody >= 1 && r.MaxBody <= LimitMaxBody, "MaxBody", "1 to 1048576 bytes", r.MaxBody)
	return errors.Join(errs...)
}
