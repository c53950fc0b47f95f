package store

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"slices"

	"github.com/cockroachdb/errors"
)

// Client is an HTTP client of the platform. It sets no timeouts of its own; deadlines come from the contexts of the
// calls.
type Client struct {
	base string
	http *http.Client
}

var _ Service = (*Client)(nil)

// NewClient returns a client of the platform at an address of the form host:port.
func NewClient(address string, client *http.Client) *Client {
	return &Client{base: "http://" + address, http: client}
}

// Get implements Table.
func (c *Client) Get(ctx context.Context, keys ...string) ([]Row, error) {
	var response rowsResponse
	if err := c.post(ctx, "get rows", "/v1/rows/get", getRequest{keys}, &response, false); err != nil {
		return nil, err
	}
	if !slices.EqualFunc(response.Rows, keys, func(row Row, key string) bool { return row.Key == key }) {
		return nil, callError("get rows", errors.New("rows in the response do not match the requested keys"), false)
	}
	return response.Rows, nil
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	var response rowsResponse
	err := c.post(ctx, "list rows", "/v1/rows/list", listRequest{prefix}, &response, false)
	return response.Rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, t Transaction) (uint64, error) {
	var response commitResponse
	err := c.post(ctx, "commit", "/v1/rows/commit", t, &response, true)
	return response.Version, err
}

// PutObject implements Objects.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.call(ctx, "put object", http.MethodPut, objectPath(name), data, true)
	return err
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	return c.call(ctx, "get object", http.MethodGet, objectPath(name), nil, false)
}

// DeleteObject implements Objects.
func (c *Client) DeleteObject(ctx context.Context, name string) error {
	_, err := c.call(ctx, "delete object", http.MethodDelete, objectPath(name), nil, true)
	return err
}

// ListObjects implements Objects.
func (c *Client) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	var response namesResponse
	path := "/v1/objects?" + url.Values{"Prefix": {prefix}}.Encode()
	data, err := c.call(ctx, "list objects", http.MethodGet, path, nil, false)
	if err != nil {
		return nil, err
	}
	err = decodeResponse("list objects", data, &response, false)
	return response.Names, err
}

// SetFaults sets the faults that the in-memory implementation of the platform injects.
func (c *Client) SetFaults(ctx context.Context, f Faults) error {
	body, err := json.Marshal(faultsBody{
		Down: f.Down, DelayMilliseconds: f.Delay.Milliseconds(), LostAnswers: f.LostResponses,
	})
	if err != nil {
		return errors.Wrap(err, "set faults")
	}
	_, err = c.call(ctx, "set faults", http.MethodPut, "/v1/faults", body, false)
	return err
}

func objectPath(name string) string { return "/v1/objects/" + (&url.URL{Path: name}).EscapedPath() }

func (c *Client) post(ctx context.Context, operation, path string, request, response any, isWrite bool) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, operation)
	}
	data, err := c.call(ctx, operation, http.MethodPost, path, body, isWrite)
	if err != nil {
		return err
	}
	return decodeResponse(operation, data, response, isWrite)
}

func decodeResponse(operation string, data []byte, response any, isWrite bool) error {
	if err := json.Unmarshal(data, response); err != nil {
		return callError(operation, err, isWrite)
	}
	return nil
}

// call sends a request and returns the body of the response. A write whose response does not arrive is reported as
// OutcomeUnknownError, unless the connection could not be established.
func (c *Client) call(
	ctx context.Context, operation, method, path string, body []byte, isWrite bool,
) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, operation)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, callError(operation, err, isWrite && !isDialError(err))
	}
	defer response.Body.Close()
	data, err := readAtMost(operation, response.Body, MaxResponse)
	if err != nil {
		return nil, callError(operation, err, isWrite)
	}
	if response.StatusCode == http.StatusOK {
		return data, nil
	}
	var failure errorResponse
	if json.Unmarshal(data, &failure) == nil {
		if err := decodeError(operation, failure); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return nil, callError(operation, errors.Newf("unexpected status %s", response.Status), isWrite)
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// callError returns an OutcomeUnknownError for a write that may have taken effect, and an UnavailableError otherwise.
func callError(operation string, cause error, isWrite bool) error {
	if isWrite {
		return errors.WithStack(&OutcomeUnknownError{Operation: operation, Cause: cause})
	}
	return errors.WithStack(&UnavailableError{Operation: operation, Cause: cause})
}
