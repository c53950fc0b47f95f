package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/event"
	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	"dogwoodglade/core/table"
)

// Bounds of the client.
const (
	maxAnswer    = 64 << 20 // bytes
	editAttempts = 3        // of an edit whose answer was lost; the edit ID makes repetition safe
	repeatWait   = 200 * time.Millisecond
)

// Client calls a process at its operators' address. Its errors are of type *Error.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of a process at an address of the form host:port.
func NewClient(address string, client *http.Client) *Client {
	return &Client{base: "http://" + address, http: client}
}

// Routes returns all routes, ordered by name, and the version of the table.
func (c *Client) Routes(ctx context.Context) ([]route.Route, uint64, error) {
	return rows(ctx, c, path(table.Routes), routeRow.decode)
}

// Pools returns all pools, ordered by name, and the version of the table.
func (c *Client) Pools(ctx context.Context) ([]pool.Pool, uint64, error) {
	return rows(ctx, c, path(table.Pools), poolRow.decode)
}

// Route returns a route and the version of the table.
func (c *Client) Route(ctx context.Context, name string) (route.Route, uint64, error) {
	return row(ctx, c, rowPath(table.Routes, name), routeRow.decode)
}

// Pool returns a pool and the version of the table.
func (c *Client) Pool(ctx context.Context, name string) (pool.Pool, uint64, error) {
	return row(ctx, c, rowPath(table.Pools, name), poolRow.decode)
}

func rowPath(n table.Name, name string) string { return path(n) + "/" + url.PathEscape(name) }

func rows[W, R any](ctx context.Context, c *Client, path string, decode func(W) R) ([]R, uint64, error) {
	var answer rowsAnswer[W]
	if err := c.call(ctx, http.MethodGet, path, nil, &answer); err != nil {
		return nil, 0, err
	}
	decoded := make([]R, len(answer.Rows))
	for i, row := range answer.Rows {
		decoded[i] = decode(row)
	}
	return decoded, answer.Version, nil
}

func row[W, R any](ctx context.Context, c *Client, path string, decode func(W) R) (R, uint64, error) {
	found, version, err := rows(ctx, c, path, decode)
	if err == nil && len(found) != 1 {
		err = c.unreachable(errors.Newf("got %d rows, want 1", len(found)))
	}
	if err != nil {
		var zero R
		return zero, 0, err
	}
	return found[0], version, nil
}

// Edit sends an edit. If expected is not 0, the table must have that version. An edit whose answer is lost
// is sent again with the same ID.
func (c *Client) Edit(ctx context.Context, e table.Edit, expected uint64) (Accepted, error) {
	for attempt := 1; ; attempt++ {
		accepted, err := c.edit(ctx, e, expected)
		var failure *Error
		if attempt == editAttempts || !errors.As(err, &failure) {
			return accepted, err
		}
		switch failure.Type {
		case Unreachable:
		case OutcomeUnknown: // the edit must not be made again over later ones
			expected = max(expected, failure.Version)
		default:
			return Accepted{}, err
		}
		select {
		case <-ctx.Done():
			return Accepted{}, err
		case <-time.After(repeatWait):
		}
	}
}

func (c *Client) edit(ctx context.Context, e table.Edit, expected uint64) (Accepted, error) {
	query := url.Values{"EditID": {e.ID}}
	if expected > 0 {
		query.Set("ExpectedVersion", strconv.FormatUint(expected, 10))
	}
	method, body, err := encodeEdit(e)
	if err != nil {
		return Accepted{}, err
	}
	var accepted Accepted
	err = c.call(ctx, method, rowPath(e.Table, e.Row)+"?"+query.Encode(), body, &accepted)
	return accepted, err
}

func encodeEdit(e table.Edit) (method string, body []byte, err error) {
	r, p := rowOf(e)
	switch {
	case e.Deletes():
		return http.MethodDelete, nil, nil
	case e.Route != nil:
		body, err = json.Marshal(encodeRoute(r))
	default:
		body, err = json.Marshal(encodePool(p))
	}
	return http.MethodPut, body, errors.Wrap(err, "encode row")
}

// Events returns the process's name and its recent events that the filter selects.
func (c *Client) Events(ctx context.Context, f event.Filter) (process string, events []event.Event, err error) {
	var answer eventsAnswer
	err = c.call(ctx, http.MethodGet, "/v1/events?"+encodeFilter(f).Encode(), nil, &answer)
	return answer.Process, answer.Events, err
}

// Metrics returns the process's metrics by name.
func (c *Client) Metrics(ctx context.Context) (map[string]map[string]any, error) {
	var answer map[string]map[string]any
	err := c.call(ctx, http.MethodGet, "/v1/metrics", nil, &answer)
	return answer, err
}

// Ready returns why the process cannot take work, or nothing if it can.
func (c *Client) Ready(ctx context.Context) ([]string, error) {
	var answer readyAnswer
	err := c.call(ctx, http.MethodGet, "/v1/ready", nil, &answer)
	return answer.Reasons, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(&Error{Type: Invalid, Message: err.Error()})
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return c.unreachable(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err != nil {
		return c.unreachable(err)
	}
	if len(data) > maxAnswer {
		return errors.WithStack(&Error{Type: TooLarge, Message: fmt.Sprintf("the answer is over %d bytes", maxAnswer)})
	}
	failure := Error{Status: response.StatusCode}
	if response.StatusCode != http.StatusOK && json.Unmarshal(data, &failure) == nil && failure.Type != "" {
		return errors.WithStack(&failure)
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return c.unreachable(errors.Wrapf(err, "decode answer with status %s", response.Status))
	}
	return nil
}

func (c *Client) unreachable(cause error) error {
	return errors.WithStack(&Error{
		Type:    Unreachable,
		Message: fmt.Sprintf("%s does not answer as an operators' address; check the address and the process: %v", c.base, cause),
	})
}
