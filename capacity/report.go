package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// UnknownMeasureError reports a prefix that matches no measure.
type UnknownMeasureError struct{ Prefix string }

// Error implements error.
func (e *UnknownMeasureError) Error() string {
	return fmt.Sprintf("select measures: no name begins with %q", e.Prefix)
}

// Select returns the measures whose names begin with the prefix.
func Select(prefix string) ([]Measure, error) {
	var selected []Measure
	for _, m := range All() {
		if strings.HasPrefix(m.Name, prefix) {
			selected = append(selected, m)
		}
	}
	if len(selected) == 0 {
		return nil, errors.WithStack(&UnknownMeasureError{Prefix: prefix})
	}
	return selected, nil
}

// WriteText writes the slopes as a table.
func WriteText(w io.Writer, slopes []Slope) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "Measure\tQuantity\tPer unit\tBase\tR2\tLargest residual\tExponent\tSizes\tUnit")
	for _, s := range slopes {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%.4g\t%.4g\t%.4f\t%.1f%%\t%.2f\t%d-%d\t%s\n", s.Measure, s.Quantity, s.PerUnit, s.Base,
			s.R2, 100*s.LargestResidual, s.Exponent, s.Points[0].Size, s.Points[len(s.Points)-1].Size, s.Unit)
	}
	return errors.Wrap(t.Flush(), "write slopes")
}

// WriteJSON writes the slopes and their points as JSON.
func WriteJSON(w io.Writer, slopes []Slope) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(slopes), "write slopes")
}
