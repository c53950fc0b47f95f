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

// Client calls the platform over HTTP. Deadlines come from the contexts of the calls.
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
	var answer rowsAnswer
	if err := c.post(ctx, "get rows", "/v1/rows/get", getRequest{keys}, &answer, false); err != nil {
		return nil, err
	}
	if !slices.EqualFunc(answer.Rows, keys, func(row Row, key string) bool { return row.Key == key }) {
		return nil, lostAnswer("get rows", errors.New("the answer has other rows"), false)
	}
	return answer.Rows, nil
}

// List implements Table.
func (c *Client) List(ctx context.Context, prefix string) ([]Row, error) {
	var answer rowsAnswer
	err := c.post(ctx, "list rows", "/v1/rows/list", listRequest{prefix}, &answer, false)
	return answer.Rows, err
}

// Commit implements Table.
func (c *Client) Commit(ctx context.Context, t Transaction) (uint64, error) {
	var answer commitAnswer
	err := c.post(ctx, "commit", "/v1/rows/commit", t, &answer, true)
	return answer.Version, err
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
	var answer namesAnswer
	path := "/v1/objects?" + url.Values{"Prefix": {prefix}}.Encode()
	data, err := c.call(ctx, "list objects", http.MethodGet, path, nil, false)
	if err != nil {
		return nil, err
	}
	err = decodeAnswer("list objects", data, &answer, false)
	return answer.Names, err
}

// SetFaults injects faults into a stand-in.
func (c *Client) SetFaults(ctx context.Context, f Faults) error {
	body, err := json.Marshal(faultsBody{
		Down: f.Down, DelayMilliseconds: f.Delay.Milliseconds(), LostAnswers: f.LostAnswers,
	})
	if err != nil {
		return errors.Wrap(err, "set faults")
	}
	_, err = c.call(ctx, "set faults", http.MethodPut, "/v1/faults", body, false)
	return err
}

func objectPath(name string) string { return "/v1/objects/" + (&url.URL{Path: name}).EscapedPath() }

func (c *Client) post(ctx context.Context, operation, path string, request, answer any, effect bool) error {
	body, err := json.Marshal(request)
	if err != nil {
		return errors.Wrap(err, operation)
	}
	data, err := c.call(ctx, operation, http.MethodPost, path, body, effect)
	if err != nil {
		return err
	}
	return decodeAnswer(operation, data, answer, effect)
}

func decodeAnswer(operation string, data []byte, answer any, effect bool) error {
	if err := json.Unmarshal(data, answer); err != nil {
		return lostAnswer(operation, err, effect)
	}
	return nil
}

// call sends a request. An operation with an effect whose answer does not arrive is OutcomeUnknownError,
// unless no connection was made.
func (c *Client) call(
	ctx context.Context, operation, method, path string, body []byte, effect bool,
) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, operation)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, lostAnswer(operation, err, effect && !dialFailed(err))
	}
	defer response.Body.Close()
	data, err := readBounded(operation, response.Body, MaxAnswer)
	if err != nil {
		return nil, lostAnswer(operation, err, effect)
	}
	if response.StatusCode == http.StatusOK {
		return data, nil
	}
	var answer errorAnswer
	if json.Unmarshal(data, &answer) == nil {
		if err := decodeError(operation, answer); err != nil {
			return nil, errors.WithStack(err)
		}
	}
	return nil, lostAnswer(operation, errors.Newf("unexpected status %s", response.Status), effect)
}

func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func lostAnswer(operation string, cause error, effect bool) error {
	if effect {
		return errors.WithStack(&OutcomeUnknownError{Operation: operation, Cause: cause})
	}
	return errors.WithStack(&UnavailableError{Operation: operation, Cause: cause})
}
