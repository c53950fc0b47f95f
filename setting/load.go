package setting

import (
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"dogwoodglade/internal/strict"
)

// maxFile bounds a settings file, in bytes.
const maxFile = 1 << 20

// Settings are the settings of one kind of process.
type Settings[S any] interface {
	Entry | Agent | Platform
	Defaults() S
	Validate() error
}

// Load reads settings from a YAML file. Without a file name, it returns the defaults. It reports all
// faults of the file as strict.FaultsError.
func Load[S Settings[S]](file string) (S, error) {
	var zero S
	if file == "" {
		return zero.Defaults(), nil
	}
	data, err := ReadFile(file)
	if err != nil {
		return zero, err
	}
	return Decode[S](file, data)
}

// Decode decodes settings from the content of a file.
func Decode[S Settings[S]](file string, data []byte) (S, error) {
	var zero S
	settings := zero.Defaults()
	documents, err := strict.Parse(file, data)
	if err != nil || len(documents) == 0 {
		return settings, err
	}
	document := documents[0]
	faults := document.Decode(&settings)
	if len(documents) > 1 {
		faults = append(faults, documents[1].Fault("", "a settings file has one document"))
	}
	for _, key := range keyErrors(settings.Validate()) {
		if !reported(faults, key.Key) {
			faults = append(faults, document.Fault(key.Key, key.message()))
		}
	}
	if err := strict.AsError(faults); err != nil {
		return zero, err
	}
	return settings, nil
}

// ReadFile reads a file of at most 1 MiB.
func ReadFile(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "read file")
	}
	defer f.Close() //nolint:errcheck // the file was only read
	data, err := io.ReadAll(io.LimitReader(f, maxFile+1))
	if err != nil {
		return nil, errors.Wrap(err, "read file")
	}
	if len(data) > maxFile {
		return nil, strict.AsError([]strict.Fault{{File: file, Line: 1, Column: 1, Message: "the file is over 1 MiB"}})
	}
	return data, nil
}

func keyErrors(err error) []*KeyError {
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return nil
	}
	var keys []*KeyError
	for _, e := range joined.Unwrap() {
		var key *KeyError
		if errors.As(e, &key) {
			keys = append(keys, key)
		}
	}
	return keys
}

// reported reports whether the key has a fault already, such as a wrong type.
func reported(faults []strict.Fault, key string) bool {
	for _, f := range faults {
		if f.Key == key {
			return true
		}
	}
	return false
}
