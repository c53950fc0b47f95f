package event_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"testing"

	"dogwoodglade/core/event"
)

// constants parses event.go and returns its constants of type Number by name.
func constants(t *testing.T) map[string]event.Number {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "event.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]event.Number{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); ok && kind.Name == "Number" {
			for i, name := range spec.Names {
				value, err := strconv.Atoi(spec.Values[i].(*ast.BasicLit).Value)
				if err != nil {
					t.Fatal(err)
				}
				found[name.Name] = event.Number(value)
			}
		}
		return true
	})
	if len(found) == 0 {
		t.Fatal("no constants found")
	}
	return found
}

// Guards against a number with no name, a wrong name or two names, which operators could not read in a log line.
func TestNamesMatchConstants(t *testing.T) {
	seen := map[event.Number]string{}
	for name, number := range constants(t) {
		if number.String() != name {
			t.Errorf("%d prints as %q, want %q", number, number.String(), name)
		}
		if other, ok := seen[number]; ok {
			t.Errorf("%s and %s are both %d", name, other, number)
		}
		seen[number] = name
	}
}

// Guards against an event that docs/events.md lacks or names wrongly, which leaves operators without advice.
func TestCatalogueMatchesConstants(t *testing.T) {
	text, err := os.ReadFile("../../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	want := constants(t)
	row := regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| [^|]+ \| [^|]* \| [^|]+ \|$`)
	for _, match := range row.FindAllStringSubmatch(string(text), -1) {
		if number, ok := want[match[2]]; !ok || strconv.Itoa(int(number)) != match[1] {
			t.Errorf("docs/events.md lists %s %s; the constant is %d", match[1], match[2], number)
		}
		delete(want, match[2])
	}
	for name := range want {
		t.Errorf("docs/events.md lacks %s or its row is incomplete", name)
	}
}
