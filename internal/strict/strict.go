// Package strict decodes YAML and JSON documents into structs and reports all errors at once, each with its file, line
// and key.
//
// It is used for settings, table files and operators' edits. Unknown keys, values of another type, missing values and
// anchors are errors. Fields whose keys are absent keep their values.
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

// Diagnostic is one error in a document, with its position.
type Diagnostic struct {
	File    string
	Line    int
	Column  int
	Key     string // path such as "Peers[1]"; empty if the error concerns the whole document
	Message string
}

// String formats the error as "file:line:column: key: message".
func (d Diagnostic) String() string {
	where := fmt.Sprintf("%s:%d:%d: ", d.File, d.Line, d.Column)
	if d.Key == "" {
		return where + d.Message
	}
	return where + d.Key + ": " + d.Message
}

// ValidationError reports all errors in a file.
type ValidationError struct{ Diagnostics []Diagnostic }

// Error implements error. It returns one line per error.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Diagnostics))
	for i, d := range e.Diagnostics {
		lines[i] = d.String()
	}
	return strings.Join(lines, "\n")
}

// AsError returns a ValidationError with the diagnostics sorted by position, or nil if there are none.
func AsError(diagnostics []Diagnostic) error {
	if len(diagnostics) == 0 {
		return nil
	}
	diagnostics = slices.Clone(diagnostics)
	slices.SortStableFunc(diagnostics, func(a, b Diagnostic) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return errors.WithStack(&ValidationError{Diagnostics: diagnostics})
}

// Document is one parsed YAML or JSON document of a file.
type Document struct {
	file      string
	body      ast.Node
	start     token.Position
	positions map[string]token.Position // of keys, by path
}

// maxNesting limits how deeply lists and mappings in brackets, and lists that begin on the same line, are nested. Time and
// memory of the parser are quadratic in the depth: 64 KiB of opening brackets took 17 s, 60,000 bytes of "- " 1.4 GB, and as
// many of anchors 1.3 GB.
const maxNesting = 64

// findExcessiveNesting returns the line of the first bracket that is nested too deeply, or that begins too many lists or
// keys, or has one anchor or tag too many. It does not parse the document, so those in strings and comments count as well.
func findExcessiveNesting(data []byte) (line int, found bool) {
	depth := 0  // of brackets
	begun := 0  // indicators "- " and "? " at the beginning of the line
	marked := 0 // words that may be anchors or tags
	atBeginning, previous := true, byte('\n')
	line = 1
	for i, c := range data {
		next := byte('\n')
		if i+1 < len(data) {
			next = data[i+1]
		}
		switch {
		case !atBeginning || isSpace(c):
		case (c == '-' || c == '?') && isSpace(next):
			begun++
		default:
			atBeginning = false
		}
		if (c == '&' || c == '!') && isSpace(previous) && !isSpace(next) {
			marked++
		}
		switch c {
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(0, depth-1)
		}
		if max(depth, begun, marked) > maxNesting {
			return line, true
		}
		if c == '\n' {
			line++
			begun, atBeginning = 0, true
		}
		previous = c
	}
	return 0, false
}

func isSpace(c byte) bool { return c == ' ' || c == '\t' || c == '\n' }

// Parse parses the documents of a file. It skips documents without content.
func Parse(file string, data []byte) ([]*Document, error) {
	if line, found := findExcessiveNesting(data); found {
		message := fmt.Sprintf("brackets or lists are nested more than %d levels deep", maxNesting)
		return nil, AsError([]Diagnostic{{File: file, Line: line, Column: 1, Message: message}})
	}
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		diagnostic := Diagnostic{File: file, Line: 1, Column: 1, Message: err.Error()}
		var syntax yaml.Error
		if errors.As(err, &syntax) {
			diagnostic.Message = syntax.GetMessage()
			if t := syntax.GetToken(); t != nil && t.Position != nil {
				diagnostic.Line, diagnostic.Column = t.Position.Line, t.Position.Column
			}
		}
		return nil, AsError([]Diagnostic{diagnostic})
	}
	var documents []*Document
	for _, d := range parsed.Docs {
		if d.Body == nil || d.Body.Type() == ast.CommentType || d.Body.Type() == ast.NullType {
			continue
		}
		documents = append(documents, &Document{
			file: file, body: d.Body, start: nodePosition(d.Body), positions: map[string]token.Position{},
		})
	}
	return documents, nil
}

// DiagnosticAt returns a diagnostic at the position of a key, or of the innermost enclosing key that is present.
func (d *Document) DiagnosticAt(key, message string) Diagnostic {
	at := d.start
	for path := key; path != ""; path = parentPath(path) {
		if p, ok := d.positions[path]; ok {
			at = p
			break
		}
	}
	return Diagnostic{File: d.file, Line: at.Line, Column: at.Column, Key: key, Message: message}
}

func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

func nodePosition(n ast.Node) token.Position {
	if m, ok := n.(ast.MapNode); ok {
		if entries := m.MapRange(); entries.Next() {
			return nodePosition(entries.Key())
		}
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		return *t.Position
	}
	return token.Position{Line: 1, Column: 1}
}
