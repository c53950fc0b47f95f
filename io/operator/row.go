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
// together in a strict.FaultsError.
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
		return nil, strict.AsError([]strict.Fault{{File: file, Line: 1, Column: 1, Message: "there is no row"}})
	}
	var edits []table.Edit
	var faults []strict.Fault
	for _, d := range documents {
		var e table.Edit
		var rowFaults []strict.Fault
		if n == table.Routes {
			r := route.New(defaultName, "")
			rowFaults = d.Decode(&r)
			rowFaults = append(rowFaults, columnFaults(d, "", r.Validate(), rowFaults)...)
			e = table.SetRoute("", r)
		} else {
			p := pool.New(defaultName)
			rowFaults = d.Decode(&p)
			rowFaults = append(rowFaults, columnFaults(d, "", p.Validate(), rowFaults)...)
			e = table.SetPool("", p)
		}
		faults = append(faults, rowFaults...)
		edits = append(edits, e)
	}
	return edits, strict.AsError(faults)
}

// tablesFile is a file with both tables.
type tablesFile struct {
	Routes []route.Route `yaml:"Routes"`
	Pools  []pool.Pool   `yaml:"Pools"`
}

// DecodeTables decodes a file with the lists Routes and Pools and validates both tables together. It reports all
// invalid values together in a strict.FaultsError.
func DecodeTables(file string, data []byte) (table.Snapshot, error) {
	documents, err := strict.Parse(file, data)
	if err != nil || len(documents) == 0 {
		return table.Snapshot{}, err
	}
	d := documents[0]
	var tables tablesFile
	faults := d.Decode(&tables)
	if len(documents) > 1 {
		faults = append(faults, documents[1].Fault("", "a tables file must be a single document"))
	}
	faults = append(faults, tables.faults(d, faults)...)
	return table.NewSnapshot(table.Versions{}, tables.Routes, tables.Pools), strict.AsError(faults)
}

// faults returns the invalid columns, duplicate names, and routes whose pool does not exist. It skips columns that
// have a fault in known.
func (t tablesFile) faults(d *strict.Document, known []strict.Fault) []strict.Fault {
	var faults []strict.Fault
	checkRow := func(names map[string]bool, list string, i int, name string, err error) {
		key := fmt.Sprintf("%s[%d]", list, i)
		faults = append(faults, columnFaults(d, key+".", err, known)...)
		if names[name] {
			faults = append(faults, d.Fault(key+".Name", fmt.Sprintf("duplicate row name %q", name)))
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
			faults = append(faults, d.Fault(fmt.Sprintf("Routes[%d].Pool", i), fmt.Sprintf("pool %q does not exist", r.Pool)))
		}
	}
	return faults
}

// columnFaults returns a fault for each route.ColumnError joined in err, except for columns that have a fault in
// known.
func columnFaults(d *strict.Document, prefix string, err error, known []strict.Fault) []strict.Fault {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return nil
	}
	reported := map[string]bool{}
	for _, f := range known {
		reported[f.Key] = true
	}
	var faults []strict.Fault
	for _, e := range joined.Unwrap() {
		var columnErr *route.ColumnError
		if errors.As(e, &columnErr) && !reported[prefix+columnErr.Column] {
			faults = append(faults, d.Fault(prefix+columnErr.Column,
				fmt.Sprintf("got %s, want %s", columnErr.Value, columnErr.Want)))
		}
	}
	return faults
}
