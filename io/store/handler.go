package store

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Handler serves a Memory over HTTP:
//
//	POST   /v1/rows/get, /v1/rows/list, /v1/rows/commit
//	GET    /v1/objects?Prefix=
//	PUT, GET, DELETE /v1/objects/{name}
//	GET, PUT /v1/faults
//
// For a lost response, it closes the connection without replying. An operation continues after its client has
// disconnected, as it would in a remote service.
func Handler(m *Memory) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, serve func(ctx context.Context, r *http.Request) (any, error)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			response, err := serve(context.WithoutCancel(r.Context()), r)
			respond(w, response, err)
		})
	}
	handle("POST /v1/rows/get", func(ctx context.Context, r *http.Request) (any, error) {
		var request getRequest
		if err := decodeRequest("get rows", r.Body, &request); err != nil {
			return nil, err
		}
		rows, err := m.Get(ctx, request.Keys...)
		return rowsResponse{rows}, err
	})
	handle("POST /v1/rows/list", func(ctx context.Context, r *http.Request) (any, error) {
		var request listRequest
		if err := decodeRequest("list rows", r.Body, &request); err != nil {
			return nil, err
		}
		rows, err := m.List(ctx, request.Prefix)
		return rowsResponse{rows}, err
	})
	handle("POST /v1/rows/commit", func(ctx context.Context, r *http.Request) (any, error) {
		var t Transaction
		if err := decodeRequest("commit", r.Body, &t); err != nil {
			return nil, err
		}
		version, err := m.Commit(ctx, t)
		return commitResponse{version}, err
	})
	handleObjects(m, handle)
	handleFaults(m, handle)
	return mux
}

func handleObjects(m *Memory, handle func(string, func(context.Context, *http.Request) (any, error))) {
	handle("GET /v1/objects", func(ctx context.Context, r *http.Request) (any, error) {
		names, err := m.ListObjects(ctx, r.URL.Query().Get("Prefix"))
		return namesResponse{names}, err
	})
	handle("PUT /v1/objects/{name...}", func(ctx context.Context, r *http.Request) (any, error) {
		data, err := readAtMost("put object", r.Body, MaxObject)
		if err != nil {
			return nil, err
		}
		return struct{}{}, m.PutObject(ctx, r.PathValue("name"), data)
	})
	handle("GET /v1/objects/{name...}", func(ctx context.Context, r *http.Request) (any, error) {
		return m.GetObject(ctx, r.PathValue("name"))
	})
	handle("DELETE /v1/objects/{name...}", func(ctx context.Context, r *http.Request) (any, error) {
		return struct{}{}, m.DeleteObject(ctx, r.PathValue("name"))
	})
}

func handleFaults(m *Memory, handle func(string, func(context.Context, *http.Request) (any, error))) {
	handle("GET /v1/faults", func(context.Context, *http.Request) (any, error) {
		f := m.Faults()
		return faultsBody{
			Down: f.Down, DelayMilliseconds: f.Delay.Milliseconds(), LostAnswers: f.LostResponses,
		}, nil
	})
	handle("PUT /v1/faults", func(_ context.Context, r *http.Request) (any, error) {
		var body faultsBody
		if err := decodeRequest("set faults", r.Body, &body); err != nil {
			return nil, err
		}
		return body, m.SetFaults(Faults{
			Down: body.Down, Delay: time.Duration(body.DelayMilliseconds) * time.Millisecond,
			LostResponses: body.LostAnswers,
		})
	})
}

func respond(w http.ResponseWriter, response any, err error) {
	var outcomeUnknown *OutcomeUnknownError
	var unavailable *UnavailableError
	switch {
	case errors.As(err, &outcomeUnknown), errors.As(err, &unavailable) && unavailable.Cause != nil:
		// The response to a write or, if an UnavailableError has a cause, to a read was lost.
		panic(http.ErrAbortHandler) // closes the connection without a response
	case err != nil:
		status, body := encodeError(err)
		writeJSON(w, status, body)
	default:
		if data, ok := response.([]byte); ok {
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(data) // a client that has disconnected gets no response
			return
		}
		writeJSON(w, http.StatusOK, response)
	}
}

func writeJSON(w http.ResponseWriter, status int, response any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(response) // a client that has disconnected gets no response
}
