package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/urfave/cli/v3"

	"dogwoodglade/core/event"
	"dogwoodglade/core/table"
	"dogwoodglade/io/operator"
	"dogwoodglade/io/store"
	"dogwoodglade/io/tables"
)

// startOperatorAPI serves the operator API of a process whose clock is fixed at the given Unix time in seconds.
func startOperatorAPI(t *testing.T, name string, seconds int64, store store.Table) string {
	t.Helper()
	recorder := event.NewRecorder(name, 1000, func() time.Time { return time.Unix(seconds, 0) })
	current, stop := tables.New(tables.Config{
		Platform: store,
		Pull: func(context.Context, string, table.Versions) (table.PullResponse, error) {
			return table.PullResponse{}, nil
		},
		Record: func(e event.Event) { recorder.Record(e) },
		Random: rand.New(rand.NewPCG(1, 1)),
	})
	t.Cleanup(stop)
	server := httptest.NewServer(operator.Handler(operator.Config{
		Process: name, Tables: current, Recorder: recorder, Metrics: metrics.NewRegistry(),
		NotReadyReasons: func() []string { return nil },
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// run runs a command line and returns its output, followed by a line with the exit code if it fails.
func run(ctx context.Context, arguments []string, input string) string {
	var out strings.Builder
	root := &cli.Command{
		Name: "dogwoodglade", Reader: strings.NewReader(input), Writer: &out, ErrWriter: &out,
		Commands:       []*cli.Command{routeCommand(), poolCommand(), timelineCommand(), checkCommand(), loadCommand()},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := root.Run(ctx, append([]string{"dogwoodglade"}, arguments...))
	var exit cli.ExitCoder
	switch {
	case errors.As(err, &exit):
		fmt.Fprintf(&out, "exit %d: %v\n", exit.ExitCode(), err)
	case err != nil:
		fmt.Fprintf(&out, "error without exit code: %v\n", err)
	}
	return out.String()
}

// Guards against commands whose output or exit code differs from what their usage text says.
func TestCommands(t *testing.T) {
	memory := store.NewMemory(store.Limits{}, rand.New(rand.NewPCG(1, 0)))
	addresses := map[string]string{
		"ENTRY":        startOperatorAPI(t, "entry-1", 10, memory),
		"OTHER_REGION": startOperatorAPI(t, "entry-2", 5, store.NewMemory(store.Limits{}, rand.New(rand.NewPCG(2, 0)))),
		"UNREACHABLE":  "127.0.0.1:1",
		"FILE":         filepath.Join(t.TempDir(), "f.yaml"),
	}
	datadriven.RunTest(t, "testdata/commands", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "store" {
			if err := memory.SetFaults(store.Faults{Down: d.HasArg("down")}); err != nil {
				t.Fatal(err)
			}
			return ""
		}
		var arguments, replacements []string
		for name, value := range addresses {
			replacements = append(replacements, value, name)
		}
		line, input, _ := strings.Cut(d.Input, "\n")
		if err := os.WriteFile(addresses["FILE"], []byte(input), 0o600); err != nil {
			t.Fatal(err)
		}
		for _, word := range strings.Fields(line) {
			if value, ok := addresses[word]; ok {
				word = value
			}
			arguments = append(arguments, word)
		}
		return strings.NewReplacer(replacements...).Replace(run(t.Context(), arguments, input))
	})
}
