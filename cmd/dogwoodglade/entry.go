package main

import (
	"context"
	"net"

	"github.com/urfave/cli/v3"

	"dogwoodglade/entry"
	"dogwoodglade/io/httpserver"
	"dogwoodglade/io/inner"
	"dogwoodglade/io/operator"
	"dogwoodglade/setting"
)

const entryUsage = `dogwoodglade entry [-f FILE]

Runs an entry: it accepts submissions, owns some key shards and allocates the slots of some pools. Callers
connect to CallerAddress, operators to OperatorAddress, agents and other entries to InnerAddress. On SIGINT
or SIGTERM it hands its shards over, waits up to DrainTimeout for its open jobs to finish, and exits.

EXAMPLES:
   dogwoodglade entry
   dogwoodglade entry -f examples/entry-1.yaml
` + exitCodes

func entryCommand() *cli.Command {
	return &cli.Command{
		Name: "entry", Usage: "run an entry", UsageText: entryUsage,
		Flags: []cli.Flag{settingsFlag()}, OnUsageError: onUsageError, Action: runEntry,
	}
}

func runEntry(ctx context.Context, cmd *cli.Command) error {
	settings, err := loadSettings[setting.Entry](cmd)
	if err != nil {
		return err
	}
	p, flushLog := newProcess(cmd, settings.Process)
	defer flushLog()
	e, stop, err := entry.New(entry.Options{
		Name: settings.Name, Region: settings.Region, DataCentre: settings.DataCentre, Rack: settings.Rack,
		InnerAddress: settings.InnerAddress, CallerAddress: settings.CallerAddress,
		Peers: settings.OtherPeers(), DrainTimeout: settings.DrainTimeout,
		Platform: newPlatformClient(settings.Platform), Recorder: p.recorder, Metrics: p.metrics,
		Callers: p.limits.callers, Incoming: inner.NewIncoming(p.limits.incoming), AnswerBytes: p.limits.answerBytes,
		RecordBytes: p.limits.recordBytes,
		Dial:        (&net.Dialer{}).DialContext, Listen: func(address string) (net.Listener, error) {
			if address == settings.CallerAddress {
				return httpserver.Listen(address)
			}
			return listenTCP(address)
		},
	})
	if err != nil {
		return withExitCode(err)
	}
	defer stop()
	stopOperatorAPI, err := serveOperatorAPI(settings.OperatorAddress, operator.Config{
		Process: settings.Name, Tables: e.Tables(), Recorder: p.recorder, Metrics: p.metrics,
		NotReadyReasons: e.NotReadyReasons,
	})
	if err != nil {
		return withExitCode(err)
	}
	defer stopOperatorAPI()
	waitForSignal(ctx, nil)
	return nil
}

func listenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }
