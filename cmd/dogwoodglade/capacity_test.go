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

func newBenchRoot(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "bench", Writer: out, ErrWriter: out, Commands: []*cli.Command{capacityCommand()},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// Guards against a mistyped --select that measures nothing but succeeds.
func TestCapacityRejectsUnknownMeasure(t *testing.T) {
	root := newBenchRoot(&bytes.Buffer{})
	if err := root.Run(context.Background(), []string{"bench", "capacity", "--select", "nothing"}); err == nil {
		t.Error("got no error")
	}
}

// Guards against JSON output that programs cannot parse, or that lacks the slopes of the capacity page.
func TestCapacityPrintsSlopesAsJSON(t *testing.T) {
	var out bytes.Buffer
	root := newBenchRoot(&out)
	arguments := []string{"bench", "capacity", "--select", "table.head", "--repeats", "1", "--json"}
	if err := root.Run(context.Background(), arguments); err != nil {
		t.Fatal(err)
	}
	var slopes []capacity.Slope
	if err := json.Unmarshal(out.Bytes(), &slopes); err != nil || len(slopes) != 1 || slopes[0].PerUnit <= 0 {
		t.Errorf("got %v, %v", slopes, err)
	}
}
