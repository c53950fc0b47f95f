package operator

import (
	"context"
	"io"
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

// path returns the path of a table's rows.
func path(n table.Name) string {
	if n == table.Routes {
		return "/v1/routes"
	}
	return "/v1/pools"
}

func handleRows(mux *http.ServeMux, tables Tables) {
	for _, n := range []table.Name{table.Routes, table.Pools} {
		mux.HandleFunc("GET "+path(n), func(w http.ResponseWriter, _ *http.Request) {
			respond(w, encodeRows(n, tables.Current()), nil)
		})
		mux.HandleFunc("GET "+path(n)+"/{name}", func(w http.ResponseWriter, r *http.Request) {
			answer, err := showRow(n, tables.Current(), r.PathValue("name"))
			respond(w, answer, err)
		})
		mux.HandleFunc("PUT "+path(n)+"/{name}", func(w http.ResponseWriter, r *http.Request) {
			e, err := readRow(n, w, r)
			if err != nil {
				respond(w, nil, err)
				return
			}
			answer, err := edit(r.Context(), tables, e, r.URL.Query())
			respond(w, answer, err)
		})
		mux.HandleFunc("DELETE "+path(n)+"/{name}", func(w http.ResponseWriter, r *http.Request) {
			answer, err := edit(r.Context(), tables, table.Delete("", n, r.PathValue("name")), r.URL.Query())
			respond(w, answer, err)
		})
	}
}

func encodeRows(n table.Name, s table.Snapshot) any {
	if n == table.Routes {
		answer := rowsAnswer[routeRow]{Version: s.Versions.Routes, Rows: []routeRow{}}
		for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
			answer.Rows = append(answer.Rows, encodeRoute(s.Routes[name]))
		}
		return answer
	}
	answer := rowsAnswer[poolRow]{Version: s.Versions.Pools, Rows: []poolRow{}}
	for _, name := range slices.Sorted(maps.Keys(s.Pools)) {
		answer.Rows = append(answer.Rows, encodePool(s.Pools[name]))
	}
	return answer
}

func showRow(n table.Name, s table.Snapshot, name string) (any, error) {
	if n == table.Routes {
		if r, ok := s.Routes[name]; ok {
			return rowsAnswer[routeRow]{Version: s.Versions.Routes, Rows: []routeRow{encodeRoute(r)}}, nil
		}
	} else if p, ok := s.Pools[name]; ok {
		return rowsAnswer[poolRow]{Version: s.Versions.Pools, Rows: []poolRow{encodePool(p)}}, nil
	}
	return nil, errors.WithStack(&table.RowNotFoundError{Table: n, Row: name})
}

// readRow decodes the row of a PUT request. A row without a name gets the one in the path.
func readRow(n table.Name, w http.ResponseWriter, r *http.Request) (table.Edit, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRow))
	if err != nil {
		return table.Edit{}, errors.Wrap(err, "read row")
	}
	rows, err := decodeRows(n, "body", data, r.PathValue("name"))
	if err != nil {
		return table.Edit{}, err
	}
	if len(rows) != 1 {
		return table.Edit{}, badRequest("the body has %d rows; send one row", len(rows))
	}
	if rows[0].Row != r.PathValue("name") {
		return table.Edit{}, badRequest("the row is named %q, but the path names %q", rows[0].Row, r.PathValue("name"))
	}
	return rows[0], nil
}

func edit(ctx context.Context, tables Tables, e table.Edit, query url.Values) (any, error) {
	var expected uint64
	for key, values := range query {
		switch key {
		case "EditID":
			e.ID = values[0]
		case "ExpectedVersion":
			version, err := strconv.ParseUint(values[0], 10, 64)
			if err != nil || version == 0 {
				return nil, badRequest("ExpectedVersion is %q; give a table version from 1, or leave it out", values[0])
			}
			expected = version
		default:
			return nil, badRequest("unknown parameter %q; known are EditID and ExpectedVersion", key)
		}
	}
	if e.ID == "" {
		return nil, badRequest("EditID is missing; add an ID of your choice, and repeat the edit with the same ID " +
			"if its answer is lost")
	}
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	accepted, err := tables.Edit(ctx, e, expected)
	if err != nil {
		return nil, err
	}
	return Accepted{EditID: accepted.ID, Table: accepted.Table, Row: accepted.Row, Version: accepted.Version}, nil
}

// rowOf returns the row that an edit sets.
func rowOf(e table.Edit) (route.Route, pool.Pool) {
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
