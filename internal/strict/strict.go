// Package strict decodes YAML and JSON documents into structs and reports all faults at once, each with
// its file, line and key.
//
// Settings, table files and operators' edits use it. Unknown keys, values of another type, missing values
// and anchors are faults. Keys that are absent keep the values that the struct has.
package strict

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Fault is one fault of a document.
type Fault struct {
	File    string
	Line    int
	Column  int
	Key     string // path such as "Peers[1]"; empty for the whole document
	Message string
}

// String formats the fault as "file:line:column: key: message".
func (f Fault) String() string {
	where := fmt.Sprintf("%s:%d:%d: ", f.File, f.Line, f.Column)
	if f.Key == "" {
		return where + f.Message
	}
	return where + f.Key + ": " + f.Message
}

// FaultsError reports all faults of a file.
type FaultsError struct{ Faults []Fault }

// Error implements error. Each fault is a line.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// AsError returns the faults as FaultsError in the order of their positions, or nil if there are none.
func AsError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	faults = slices.Clone(faults)
	slices.SortStableFunc(faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return errors.WithStack(&FaultsError{Faults: faults})
}

// Document is a parsed document of a file.
type Document struct {
	file      string
	body      ast.Node
	start     token.Position
	positions map[string]token.Position // of keys, by path
}

// maxNesting bounds the depth of lists and mappings in brackets. The parser's time grows with the square of
// the depth: 64 KiB of opening brackets took 17 s.
const maxNesting = 64

// tooDeep returns the line of the first bracket that is nested too deeply. Brackets in text and comments
// count as well.
func tooDeep(data []byte) (line int, found bool) {
	depth := 0
	line = 1
	for _, c := range data {
		switch c {
		case '\n':
			line++
		case '[', '{':
			if depth++; depth > maxNesting {
				return line, true
			}
		case ']', '}':
			depth = max(0, depth-1)
		}
	}
	return 0, false
}

// Parse parses the documents of a file. Documents without content are left out.
func Parse(file string, data []byte) ([]*Document, error) {
	if line, found := tooDeep(data); found {
		message := fmt.Sprintf("more than %d brackets are nested", maxNesting)
		return nil, AsError([]Fault{{File: file, Line: line, Column: 1, Message: message}})
	}
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		fault := Fault{File: file, Line: 1, Column: 1, Message: err.Error()}
		var syntax yaml.Error
		if errors.As(err, &syntax) {
			fault.Message = syntax.GetMessage()
			if t := syntax.GetToken(); t != nil && t.Position != nil {
				fault.Line, fault.Column = t.Position.Line, t.Position.Column
			}
		}
		return nil, AsError([]Fault{fault})
	}
	var documents []*Document
	for _, d := range parsed.Docs {
		if d.Body == nil || d.Body.Type() == ast.CommentType || d.Body.Type() == ast.NullType {
			continue
		}
		documents = append(documents, &Document{
			file: file, body: d.Body, start: position(d.Body), positions: map[string]token.Position{},
		})
	}
	return documents, nil
}

// Fault returns a fault at the position of a key, or of the innermost enclosing key that is present.
func (d *Document) Fault(key, message string) Fault {
	at := d.start
	for path := key; path != ""; path = parent(path) {
		if p, ok := d.positions[path]; ok {
			at = p
			break
		}
	}
	return Fault{File: d.file, Line: at.Line, Column: at.Column, Key: key, Message: message}
}

func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

func position(n ast.Node) token.Position {
	if m, ok := n.(ast.MapNode); ok {
		if entries := m.MapRange(); entries.Next() {
			return position(entries.Key())
		}
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		return *t.Position
	}
	return token.Position{Line: 1, Column: 1}
}
