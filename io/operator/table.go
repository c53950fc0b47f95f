package operator

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	"dogwoodglade/core/table"
)

// tablePath returns the URL path of a table's rows.
func tablePath(n table.Name) string {
	if n == table.Routes {
		return "/v1/routes"
	}
	return "/v1/pools"
}

func handleRows(mux *http.ServeMux, tables Tables) {
	for _, n := range []table.Name{table.Routes, table.Pools} {
		mux.HandleFunc("GET "+tablePath(n), func(w http.ResponseWriter, _ *http.Request) {
			writeResponse(w, encodeRows(n, tables.Current()), nil)
		})
		mux.HandleFunc("GET "+tablePath(n)+"/{name}", func(w http.ResponseWriter, r *http.Request) {
			response, err := encodeRow(n, tables.Current(), r.PathValue("name"))
			writeResponse(w, response, err)
		})
		mux.HandleFunc("PUT "+tablePath(n)+"/{name}", func(w http.ResponseWriter, r *http.Request) {
			e, err := readRow(n, r)
			if err != nil {
				writeResponse(w, nil, err)
				return
			}
			response, err := applyEdit(r.Context(), tables, e, r.URL.Query())
			writeResponse(w, response, err)
		})
		mux.HandleFunc("DELETE "+tablePath(n)+"/{name}", func(w http.ResponseWriter, r *http.Request) {
			response, err := applyEdit(r.Context(), tables, table.Delete("", n, r.PathValue("name")), r.URL.Query())
			writeResponse(w, response, err)
		})
	}
}

func encodeRows(n table.Name, s table.Snapshot) any {
	if n == table.Routes {
		response := rowsResponse[routeRow]{Version: s.Versions.Routes, Rows: []routeRow{}}
		for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
			response.Rows = append(response.Rows, encodeRoute(s.Routes[name]))
		}
		return response
	}
	response := rowsResponse[poolRow]{Version: s.Versions.Pools, Rows: []poolRow{}}
	for _, name := range slices.Sorted(maps.Keys(s.Pools)) {
		response.Rows = append(response.Rows, encodePool(s.Pools[name]))
	}
	return response
}

func encodeRow(n table.Name, s table.Snapshot, name string) (any, error) {
	if n == table.Routes {
		if r, ok := s.Routes[name]; ok {
			return rowsResponse[routeRow]{Version: s.Versions.Routes, Rows: []routeRow{encodeRoute(r)}}, nil
		}
	} else if p, ok := s.Pools[name]; ok {
		return rowsResponse[poolRow]{Version: s.Versions.Pools, Rows: []poolRow{encodePool(p)}}, nil
	}
	return nil, errors.WithStack(&table.RowNotFoundError{Table: n, Row: name})
}

// maxDocuments limits the documents in the body of a PUT request, which should have one: each takes thousands of times its
// text while it is parsed.
const maxDocuments = 16

// readRow decodes the row of a PUT request. If the row has no name, it gets the name in the path.
func readRow(n table.Name, r *http.Request) (table.Edit, error) {
	data, release, err := readRowBody(r)
	defer release()
	if err != nil {
		return table.Edit{}, errors.Wrap(err, "read row")
	}
	if bytes.Count(data, []byte("\n---")) > maxDocuments {
		return table.Edit{}, badRequestError("the body has more than %d documents; send one row", maxDocuments)
	}
	rows, err := decodeRows(n, "body", data, r.PathValue("name"))
	if err != nil {
		return table.Edit{}, err
	}
	if len(rows) != 1 {
		return table.Edit{}, badRequestError("the body has %d rows; send one row", len(rows))
	}
	if rows[0].Row != r.PathValue("name") {
		return table.Edit{}, badRequestError("the row is named %q, but the path names %q", rows[0].Row, r.PathValue("name"))
	}
	return rows[0], nil
}

func applyEdit(ctx context.Context, tables Tables, e table.Edit, query url.Values) (any, error) {
	var expected uint64
	for key, values := range query {
		switch key {
		case "EditID":
			e.ID = values[0]
		case "ExpectedVersion":
			version, err := strconv.ParseUint(values[0], 10, 64)
			if err != nil || version == 0 {
				return nil, badRequestError("ExpectedVersion is %q; give a table version from 1, or leave it out", values[0])
			}
			expected = version
		default:
			return nil, badRequestError("unknown parameter %q; known are EditID and ExpectedVersion", key)
		}
	}
	if e.ID == "" {
		return nil, badRequestError("EditID is missing; add an ID of your choice, and repeat the edit with the same ID " +
			"if the response is lost")
	}
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	accepted, err := tables.Edit(ctx, e, expected)
	if err != nil {
		return nil, err
	}
	return AcceptedEdit{EditID: accepted.ID, Table: accepted.Table, Row: accepted.Row, Version: accepted.Version}, nil
}

// editedRow returns the route or the pool that the edit sets, and the zero value of the other.
func editedRow(e table.Edit) (route.Route, pool.Pool) {
	var r route.Route
	var p pool.Pool
	if e.Route != nil {
		r = *e.Route
	}
	if e.Pool != nil {
		p = *e.Pool
	}
	return r, p
}
