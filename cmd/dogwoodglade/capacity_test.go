package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"

	"github.com/urfave/cli/v3"

	"dogwoodglade/capacity"
)

func benchRoot(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "bench", Writer: out, ErrWriter: out, Commands: []*cli.Command{capacityCommand()},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// A selection that measures nothing and succeeds would pass for a measurement.
func TestCapacityRefusesUnknownMeasures(t *testing.T) {
	root := benchRoot(&bytes.Buffer{})
	if err := root.Run(context.Background(), []string{"bench", "capacity", "--select", "nothing"}); err == nil {
		t.Error("got no error")
	}
}

// Output that other programs cannot read would make the capacity page a matter of copying by hand.
func TestCapacityPrintsSlopesAsJSON(t *testing.T) {
	var out bytes.Buffer
	root := benchRoot(&out)
	arguments := []string{"bench", "capacity", "--select", "table.head", "--repeats", "1", "--json"}
	if err := root.Run(context.Background(), arguments); err != nil {
		t.Fatal(err)
	}
	var slopes []capacity.Slope
	if err := json.Unmarshal(out.Bytes(), &slopes); err != nil || len(slopes) != 1 || slopes[0].PerUnit <= 0 {
		t.Errorf("got %v, %v", slopes, err)
	}
}
