package strict

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Decode decodes the document into the struct that target points to, and returns the errors.
func (d *Document) Decode(target any) []Diagnostic {
	decoder := decoder{document: d}
	decoder.decode(d.body, reflect.ValueOf(target).Elem(), "")
	return decoder.diagnostics
}

type decoder struct {
	document    *Document
	diagnostics []Diagnostic
}

func (d *decoder) addDiagnostic(n ast.Node, key, format string, args ...any) {
	at := nodePosition(n)
	d.diagnostics = append(d.diagnostics, Diagnostic{
		File: d.document.file, Line: at.Line, Column: at.Column, Key: key, Message: fmt.Sprintf(format, args...),
	})
}

var durationType = reflect.TypeFor[time.Duration]()

func (d *decoder) decode(n ast.Node, target reflect.Value, path string) {
	if path != "" {
		if _, ok := d.document.positions[path]; !ok {
			d.document.positions[path] = nodePosition(n)
		}
	}
	switch target.Kind() {
	case reflect.Pointer:
		value := reflect.New(target.Type().Elem())
		d.decode(n, value.Elem(), path)
		target.Set(value)
	case reflect.Struct:
		d.decodeStruct(n, target, path)
	case reflect.Slice:
		d.decodeSlice(n, target, path)
	case reflect.Map:
		d.decodeMap(n, target, path)
	default:
		if want := setScalar(n, target); want != "" {
			d.addDiagnostic(n, path, "got %s, want %s", describe(n), want)
		}
	}
}

func (d *decoder) decodeStruct(n ast.Node, target reflect.Value, path string) {
	fields := map[string]reflect.Value{}
	collectFields(target, fields)
	d.eachKey(n, path, func(key string, keyNode, value ast.Node) {
		field, ok := fields[key]
		if !ok {
			known := make([]string, 0, len(fields))
			for name := range fields {
				known = append(known, name)
			}
			slices.Sort(known)
			d.addDiagnostic(keyNode, joinPath(path, key), "unknown key; known keys are %s", strings.Join(known, ", "))
			return
		}
		d.decode(value, field, joinPath(path, key))
	})
}

// collectFields collects the fields by their YAML names, including those of inlined structs.
func collectFields(target reflect.Value, fields map[string]reflect.Value) {
	for i := range target.NumField() {
		field := target.Type().Field(i)
		name, options, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		switch {
		case options == "inline":
			collectFields(target.Field(i), fields)
		case name != "" && name != "-":
			fields[name] = target.Field(i)
		}
	}
}

func (d *decoder) decodeSlice(n ast.Node, target reflect.Value, path string) {
	sequence, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addDiagnostic(n, path, "got %s, want a list", describe(n))
		return
	}
	values := reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values))
	for i, element := range sequence.Values {
		setDefaults(values.Index(i))
		d.decode(element, values.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	target.Set(values)
}

// setDefaults sets a list element to its defaults if its type has a method WithDefaults that returns them.
func setDefaults(element reflect.Value) {
	method, ok := element.Type().MethodByName("WithDefaults")
	if ok && method.Type.NumIn() == 1 && method.Type.NumOut() == 1 && method.Type.Out(0) == element.Type() {
		element.Set(method.Func.Call([]reflect.Value{element})[0])
	}
}

func (d *decoder) decodeMap(n ast.Node, target reflect.Value, path string) {
	values := reflect.MakeMap(target.Type())
	d.eachKey(n, path, func(key string, _, value ast.Node) {
		element := reflect.New(target.Type().Elem()).Elem()
		d.decode(value, element, joinPath(path, key))
		values.SetMapIndex(reflect.ValueOf(key), element)
	})
	target.Set(values)
}

// eachKey calls visit for each key of a mapping. Repeated keys are errors.
func (d *decoder) eachKey(n ast.Node, path string, visit func(key string, keyNode, value ast.Node)) {
	mapping, ok := n.(ast.MapNode)
	if !ok {
		d.addDiagnostic(n, path, "got %s, want keys and values", describe(n))
		return
	}
	seen := map[string]bool{}
	for entries := mapping.MapRange(); entries.Next(); {
		keyNode := entries.Key()
		key := keyNode.GetToken().Value
		if seen[key] {
			d.addDiagnostic(keyNode, joinPath(path, key), "duplicate key")
			continue
		}
		seen[key] = true
		d.document.positions[joinPath(path, key)] = nodePosition(keyNode)
		visit(key, keyNode, entries.Value())
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// setScalar sets a single value. If the node has another type, it returns a description of the expected value.
func setScalar(n ast.Node, target reflect.Value) (want string) {
	switch {
	case target.Type() == durationType:
		if text, ok := textValue(n); ok {
			if duration, err := time.ParseDuration(text); err == nil {
				target.SetInt(int64(duration))
				return ""
			}
		}
		return "a duration with a unit, such as 250ms or 10s"
	case target.Kind() == reflect.String:
		value, ok := textValue(n)
		if !ok {
			return "text; put it in quotes if it is meant as text"
		}
		target.SetString(value)
	case target.Kind() == reflect.Bool:
		value, ok := n.(*ast.BoolNode)
		if !ok {
			return "true or false"
		}
		target.SetBool(value.Value)
	case target.CanInt():
		value, ok := integerValue(n)
		if !ok || target.OverflowInt(value) {
			return "a whole number"
		}
		target.SetInt(value)
	case target.CanFloat():
		value, ok := numberValue(n)
		if !ok {
			return "a number"
		}
		target.SetFloat(value)
	default:
		return "no value here"
	}
	return ""
}

func textValue(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	}
	return "", false
}

func integerValue(n ast.Node) (int64, bool) {
	i, ok := n.(*ast.IntegerNode)
	if !ok {
		return 0, false
	}
	switch value := i.Value.(type) {
	case int64:
		return value, true
	case uint64:
		return int64(value), value <= math.MaxInt64
	}
	return 0, false
}

func numberValue(n ast.Node) (float64, bool) {
	if f, ok := n.(*ast.FloatNode); ok {
		return f.Value, true
	}
	i, ok := integerValue(n)
	return float64(i), ok
}

func describe(n ast.Node) string {
	switch n.(type) {
	case *ast.NullNode:
		return "no value"
	case ast.MapNode:
		return "keys and values"
	case *ast.SequenceNode:
		return "a list"
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.StringNode, *ast.LiteralNode:
		return n.GetToken().Value
	}
	return "a YAML feature that is not supported here (" + n.Type().String() + ")"
}
