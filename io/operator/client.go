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

// Limits and retries of the client.
const (
	maxResponseBytes = 64 << 20 // of a response body
	editAttempts     = 3        // of an edit whose response was lost; the edit ID makes retries safe
	retryDelay       = 200 * time.Millisecond
)

// Client calls the operator API of a process. Its errors are of type *Error.
type Client struct {
	baseURL string
	http    *http.Client
}

// NewClient returns a client of the process whose operator API has the address, in the form host:port.
func NewClient(address string, client *http.Client) *Client {
	return &Client{baseURL: "http://" + address, http: client}
}

// Routes returns all routes, ordered by name, and the version of the table.
func (c *Client) Routes(ctx context.Context) ([]route.Route, uint64, error) {
	return getRows(ctx, c, tablePath(table.Routes), routeRow.decode)
}

// Pools returns all pools, ordered by name, and the version of the table.
func (c *Client) Pools(ctx context.Context) ([]pool.Pool, uint64, error) {
	return getRows(ctx, c, tablePath(table.Pools), poolRow.decode)
}

// Route returns a route and the version of the table.
func (c *Client) Route(ctx context.Context, name string) (route.Route, uint64, error) {
	return getRow(ctx, c, rowPath(table.Routes, name), routeRow.decode)
}

// Pool returns a pool and the version of the table.
func (c *Client) Pool(ctx context.Context, name string) (pool.Pool, uint64, error) {
	return getRow(ctx, c, rowPath(table.Pools, name), poolRow.decode)
}

func rowPath(n table.Name, name string) string { return tablePath(n) + "/" + url.PathEscape(name) }

func getRows[W, R any](ctx context.Context, c *Client, path string, decode func(W) R) ([]R, uint64, error) {
	var response rowsResponse[W]
	if err := c.call(ctx, http.MethodGet, path, nil, &response); err != nil {
		return nil, 0, err
	}
	decoded := make([]R, len(response.Rows))
	for i, row := range response.Rows {
		decoded[i] = decode(row)
	}
	return decoded, response.Version, nil
}

func getRow[W, R any](ctx context.Context, c *Client, path string, decode func(W) R) (R, uint64, error) {
	found, version, err := getRows(ctx, c, path, decode)
	if err == nil && len(found) != 1 {
		err = c.unreachableError(errors.Newf("got %d rows, want 1", len(found)))
	}
	if err != nil {
		var zero R
		return zero, 0, err
	}
	return found[0], version, nil
}

// Edit sends an edit. If expected is not 0, the edit conflicts unless the table has that version. If the response is
// lost or the outcome is unknown, Edit retries with the same edit ID.
func (c *Client) Edit(ctx context.Context, e table.Edit, expected uint64) (AcceptedEdit, error) {
	for attempt := 1; ; attempt++ {
		accepted, err := c.edit(ctx, e, expected)
		var failure *Error
		if attempt == editAttempts || !errors.As(err, &failure) {
			return accepted, err
		}
		switch failure.Type {
		case Unreachable:
		case OutcomeUnknown: // a retry must not overwrite later edits
			expected = max(expected, failure.Version)
		default:
			return AcceptedEdit{}, err
		}
		select {
		case <-ctx.Done():
			return AcceptedEdit{}, err
		case <-time.After(retryDelay):
		}
	}
}

func (c *Client) edit(ctx context.Context, e table.Edit, expected uint64) (AcceptedEdit, error) {
	query := url.Values{"EditID": {e.ID}}
	if expected > 0 {
		query.Set("ExpectedVersion", strconv.FormatUint(expected, 10))
	}
	method, body, err := encodeEdit(e)
	if err != nil {
		return AcceptedEdit{}, err
	}
	var accepted AcceptedEdit
	err = c.call(ctx, method, rowPath(e.Table, e.Row)+"?"+query.Encode(), body, &accepted)
	return accepted, err
}

func encodeEdit(e table.Edit) (method string, body []byte, err error) {
	r, p := editedRow(e)
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

// Events returns the name of the process and its recent events that match the filter.
func (c *Client) Events(ctx context.Context, f event.Filter) (process string, events []event.Event, err error) {
	var response eventsResponse
	err = c.call(ctx, http.MethodGet, "/v1/events?"+encodeFilter(f).Encode(), nil, &response)
	return response.Process, response.Events, err
}

// Metrics returns the process's metrics by name.
func (c *Client) Metrics(ctx context.Context) (map[string]map[string]any, error) {
	var snapshot map[string]map[string]any
	err := c.call(ctx, http.MethodGet, "/v1/metrics", nil, &snapshot)
	return snapshot, err
}

// NotReadyReasons returns why the process is not ready for work, or nothing if it is ready.
func (c *Client) NotReadyReasons(ctx context.Context) ([]string, error) {
	var response readyResponse
	err := c.call(ctx, http.MethodGet, "/v1/ready", nil, &response)
	return response.Reasons, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, result any) error {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return errors.WithStack(&Error{Type: Invalid, Message: err.Error()})
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return c.unreachableError(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return c.unreachableError(err)
	}
	if len(data) > maxResponseBytes {
		return errors.WithStack(&Error{
			Type: TooLarge, Message: fmt.Sprintf("the response is larger than %d bytes", maxResponseBytes),
		})
	}
	failure := Error{Status: response.StatusCode}
	if response.StatusCode != http.StatusOK && json.Unmarshal(data, &failure) == nil && failure.Type != "" {
		return errors.WithStack(&failure)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return c.unreachableError(errors.Wrapf(err, "decode response with status %s", response.Status))
	}
	return nil
}

func (c *Client) unreachableError(cause error) error {
	return errors.WithStack(&Error{
		Type: Unreachable,
		Message: fmt.Sprintf("no valid response from the operator API at %s; "+
			"check the address and that the process is running: %v", c.baseURL, cause),
	})
}
