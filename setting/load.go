package setting

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"dogwoodglade/internal/strict"
)

const maxFileBytes = 1 << 20

// Settings is implemented by the settings of each kind of process.
type Settings[S any] interface {
	Entry | Agent | Platform
	WithDefaults() S
	Validate() error
}

// Load reads settings from a YAML file. If the file name is empty, it returns the defaults. It returns all errors in
// the file as one strict.ValidationError.
func Load[S Settings[S]](file string) (S, error) {
	var zero S
	if file == "" {
		return zero.WithDefaults(), nil
	}
	data, err := ReadFile(file)
	if err != nil {
		return zero, err
	}
	return Decode[S](file, data)
}

// Decode decodes settings from the content of a file. The file name is only used in errors.
func Decode[S Settings[S]](file string, data []byte) (S, error) {
	var zero S
	settings := zero.WithDefaults()
	documents, err := strict.Parse(file, data)
	if err != nil || len(documents) == 0 {
		return settings, err
	}
	document := documents[0]
	diagnostics := document.Decode(&settings)
	if len(documents) > 1 {
		diagnostics = append(diagnostics, documents[1].DiagnosticAt("", "a settings file must have only one document"))
	}
	for _, invalid := range invalidValues(settings.Validate()) {
		if !hasDiagnostic(diagnostics, invalid.Key) {
			diagnostics = append(diagnostics, document.DiagnosticAt(invalid.Key, invalid.message()))
		}
	}
	if err := strict.AsError(diagnostics); err != nil {
		return zero, err
	}
	return settings, nil
}

// ReadFile reads a file of at most 1 MiB. It returns a strict.ValidationError if the file is larger.
func ReadFile(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "read file")
	}
	defer f.Close() //nolint:errcheck // the file was only read
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read file")
	}
	if len(data) > maxFileBytes {
		return nil, strict.AsError([]strict.Diagnostic{
			{File: file, Line: 1, Column: 1, Message: "the file is larger than 1 MiB"},
		})
	}
	return data, nil
}

// invalidValues returns the errors that Validate joined into err.
func invalidValues(err error) []*InvalidValueError {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return nil
	}
	var values []*InvalidValueError
	for _, e := range joined.Unwrap() {
		var invalid *InvalidValueError
		if errors.As(e, &invalid) {
			values = append(values, invalid)
		}
	}
	return values
}

// hasDiagnostic reports whether the diagnostics already contain one for the key, such as a wrong type.
func hasDiagnostic(diagnostics []strict.Diagnostic, key string) bool {
	for _, d := range diagnostics {
		if d.Key == key {
			return true
		}
	}
	return false
}
