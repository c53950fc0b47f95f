package main

import (
	"context"
	"net"

	"github.com/urfave/cli/v3"

	"dogwoodglade/agent"
	"dogwoodglade/io/httpserver"
	"dogwoodglade/io/inner"
	"dogwoodglade/io/operator"
	"dogwoodglade/setting"
)

const agentUsage = `dogwoodglade agent [-f FILE]

Runs the agent beside the backend servers of a host. Backend servers register at BackendAddress; the agent
connects to the entries. On SIGINT or SIGTERM it stops accepting tasks, waits up to DrainTimeout for the
running ones to finish, and exits.

EXAMPLES:
   dogwoodglade agent
   dogwoodglade agent -f examples/agent-1.yaml
` + exitCodes

func agentCommand() *cli.Command {
	return &cli.Command{
		Name: "agent", Usage: "run the agent of a backend server host", UsageText: agentUsage,
		Flags: []cli.Flag{settingsFlag()}, OnUsageError: onUsageError, Action: runAgent,
	}
}

func runAgent(ctx context.Context, cmd *cli.Command) error {
	settings, err := loadSettings[setting.Agent](cmd)
	if err != nil {
		return err
	}
	p, flushLog := newProcess(cmd, settings.Process)
	defer flushLog()
	a, stop, err := agent.New(agent.Options{
		Name: settings.Name, Region: settings.Region, DataCentre: settings.DataCentre, Rack: settings.Rack,
		Entries: settings.Entries, BackendAddress: settings.BackendAddress, DrainTimeout: settings.DrainTimeout,
		Platform: newPlatformClient(settings.Platform), Recorder: p.recorder, Metrics: p.metrics,
		Incoming: inner.NewIncoming(p.limits.incoming), RecordBytes: p.limits.startBytes,
		Dial: (&net.Dialer{}).DialContext, Listen: httpserver.Listen,
	})
	if err != nil {
		return withExitCode(err)
	}
	defer stop()
	stopOperatorAPI, err := serveOperatorAPI(settings.OperatorAddress, operator.Config{
		Process: settings.Name, Recorder: p.recorder, Metrics: p.metrics, NotReadyReasons: a.NotReadyReasons,
	})
	if err != nil {
		return withExitCode(err)
	}
	defer stopOperatorAPI()
	waitForSignal(ctx, nil)
	return nil
}
