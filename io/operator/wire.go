package operator

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/event"
	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	"dogwoodglade/core/table"
)

// AcceptedEdit is the response to an edit that was accepted.
type AcceptedEdit struct {
	EditID  string
	Table   table.Name
	Row     string
	Version uint64 // of the table after the edit
}

type rowsResponse[R any] struct {
	Version uint64 // of the table
	Rows    []R
}

type eventsResponse struct {
	Process string
	Events  []event.Event
}

type healthResponse struct {
	Process string
	Healthy bool
}

type readyResponse struct {
	Process string
	Ready   bool
	Reasons []string `json:",omitempty"`
}

// duration is a time.Duration that is encoded as text such as "10s".
type duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Wrap(err, "decode duration")
	}
	*d = duration(parsed)
	return nil
}

type routeRow struct {
	Name       string
	Pool       string
	Attempts   int
	Deadline   duration
	MaxTasks   int
	MaxBody    int
	Idempotent bool
}

func encodeRoute(r route.Route) routeRow {
	return routeRow{
		Name: r.Name, Pool: r.Pool, Attempts: r.Attempts, Deadline: duration(r.Deadline), MaxTasks: r.MaxTasks,
		MaxBody: r.MaxBody, Idempotent: r.Idempotent,
	}
}

func (r routeRow) decode() route.Route {
	return route.Route{
		Name: r.Name, Pool: r.Pool, Attempts: r.Attempts, Deadline: time.Duration(r.Deadline), MaxTasks: r.MaxTasks,
		MaxBody: r.MaxBody, Idempotent: r.Idempotent,
	}
}

type poolRow struct {
	Name            string
	Slots           int
	ReservedSlots   *float64
	LongThreshold   duration
	LongMaxWait     duration
	QueueLimit      int
	RetryBudget     *float64
	MaxEjectedShare *float64
	EmptyPoolWait   duration
	Shares          map[string]int `json:",omitempty"`
	Quotas          map[string]int `json:",omitempty"`
}

func encodePool(p pool.Pool) poolRow {
	return poolRow{
		Name: p.Name, Slots: p.Slots, ReservedSlots: p.ReservedSlots, LongThreshold: duration(p.LongThreshold),
		LongMaxWait: duration(p.LongMaxWait), QueueLimit: p.QueueLimit, RetryBudget: p.RetryBudget,
		MaxEjectedShare: p.MaxEjectedShare, EmptyPoolWait: duration(p.EmptyPoolWait), Shares: p.Shares, Quotas: p.Quotas,
	}
}

func (p poolRow) decode() pool.Pool {
	return pool.Pool{
		Name: p.Name, Slots: p.Slots, ReservedSlots: p.ReservedSlots, LongThreshold: time.Duration(p.LongThreshold),
		LongMaxWait: time.Duration(p.LongMaxWait), QueueLimit: p.QueueLimit, RetryBudget: p.RetryBudget,
		MaxEjectedShare: p.MaxEjectedShare, EmptyPoolWait: time.Duration(p.EmptyPoolWait), Shares: p.Shares, Quotas: p.Quotas,
	}
}

func writeResponse(w http.ResponseWriter, body any, err error) {
	if err != nil {
		e := encodeError(err)
		writeJSON(w, e.Status, e)
		return
	}
	writeJSON(w, http.StatusOK, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a client that has disconnected gets no response
}
