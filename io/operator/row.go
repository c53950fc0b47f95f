package operator

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
	"dogwoodglade/core/table"
	"dogwoodglade/internal/strict"
)

// DecodeRows decodes the rows of a file, one per document, as edits without IDs. It reports all invalid values
// together in a strict.ValidationError.
func DecodeRows(n table.Name, file string, data []byte) ([]table.Edit, error) {
	return decodeRows(n, file, data, "")
}

// decodeRows is DecodeRows with a default name for rows that have none.
func decodeRows(n table.Name, file string, data []byte, defaultName string) ([]table.Edit, error) {
	documents, err := strict.Parse(file, data)
	if err != nil {
		return nil, err
	}
	if len(documents) == 0 {
		return nil, strict.AsError([]strict.Diagnostic{{File: file, Line: 1, Column: 1, Message: "there is no row"}})
	}
	var edits []table.Edit
	var diagnostics []strict.Diagnostic
	for _, d := range documents {
		var e table.Edit
		var rowDiagnostics []strict.Diagnostic
		if n == table.Routes {
			r := route.New(defaultName, "")
			rowDiagnostics = d.Decode(&r)
			rowDiagnostics = append(rowDiagnostics, columnDiagnostics(d, "", r.Validate(), rowDiagnostics)...)
			e = table.SetRoute("", r)
		} else {
			p := pool.New(defaultName)
			rowDiagnostics = d.Decode(&p)
			rowDiagnostics = append(rowDiagnostics, columnDiagnostics(d, "", p.Validate(), rowDiagnostics)...)
			e = table.SetPool("", p)
		}
		diagnostics = append(diagnostics, rowDiagnostics...)
		edits = append(edits, e)
	}
	return edits, strict.AsError(diagnostics)
}

// tablesFile is a file with both tables.
type tablesFile struct {
	Routes []route.Route `yaml:"Routes"`
	Pools  []pool.Pool   `yaml:"Pools"`
}

// DecodeTables decodes a file with the lists Routes and Pools and validates both tables together. It reports all
// invalid values together in a strict.ValidationError.
func DecodeTables(file string, data []byte) (table.Snapshot, error) {
	documents, err := strict.Parse(file, data)
	if err != nil || len(documents) == 0 {
		return table.Snapshot{}, err
	}
	d := documents[0]
	var tables tablesFile
	diagnostics := d.Decode(&tables)
	if len(documents) > 1 {
		diagnostics = append(diagnostics, documents[1].DiagnosticAt("", "a tables file must be a single document"))
	}
	diagnostics = append(diagnostics, tables.validate(d, diagnostics)...)
	return table.NewSnapshot(table.Versions{}, tables.Routes, tables.Pools), strict.AsError(diagnostics)
}

// validate returns the invalid columns, duplicate names, and routes whose pool does not exist. It skips columns that
// have a diagnostic in known.
func (t tablesFile) validate(d *strict.Document, known []strict.Diagnostic) []strict.Diagnostic {
	var diagnostics []strict.Diagnostic
	checkRow := func(names map[string]bool, list string, i int, name string, err error) {
		key := fmt.Sprintf("%s[%d]", list, i)
		diagnostics = append(diagnostics, columnDiagnostics(d, key+".", err, known)...)
		if names[name] {
			diagnostics = append(diagnostics, d.DiagnosticAt(key+".Name", fmt.Sprintf("duplicate row name %q", name)))
		}
		names[name] = true
	}
	pools, routes := map[string]bool{}, map[string]bool{}
	for i, p := range t.Pools {
		checkRow(pools, "Pools", i, p.Name, p.Validate())
	}
	for i, r := range t.Routes {
		checkRow(routes, "Routes", i, r.Name, r.Validate())
		if !pools[r.Pool] && route.ValidName(r.Pool) {
			diagnostics = append(diagnostics,
				d.DiagnosticAt(fmt.Sprintf("Routes[%d].Pool", i), fmt.Sprintf("pool %q does not exist", r.Pool)))
		}
	}
	return diagnostics
}

// columnDiagnostics returns a diagnostic for each route.ColumnError joined in err, except for columns that have one in
// known.
func columnDiagnostics(d *strict.Document, prefix string, err error, known []strict.Diagnostic) []strict.Diagnostic {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return nil
	}
	reported := map[string]bool{}
	for _, diagnostic := range known {
		reported[diagnostic.Key] = true
	}
	var diagnostics []strict.Diagnostic
	for _, e := range joined.Unwrap() {
		var columnErr *route.ColumnError
		if errors.As(e, &columnErr) && !reported[prefix+columnErr.Column] {
			diagnostics = append(diagnostics, d.DiagnosticAt(prefix+columnErr.Column,
				fmt.Sprintf("got %s, want %s", columnErr.Value, columnErr.Want)))
		}
	}
	return diagnostics
}
