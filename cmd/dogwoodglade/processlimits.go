package main

import (
	"dogwoodglade/io/caller"
	"dogwoodglade/io/httpserver"
	"dogwoodglade/io/inner"
)

// Shares of the memory of a process of the commands entry and agent. The rest is for the program and its own state, about
// 25 MB, and for garbage that has not been collected yet.
const (
	callerConnectionShare = 0.15
	callerBodyShare       = 0.1
	callerJobShare        = 0.2
	answerShare           = 0.08
	recordShare           = 0.2
	startShare            = 0.4
	peerFrameShare        = 0.1
	peerRequestShare      = 0.12
	peerPendingShare      = 0.03
)

// processLimits are the limits on clients and on other processes, derived from the memory of a process.
type processLimits struct {
	callers     caller.Limits
	incoming    inner.IncomingLimits
	answerBytes int64 // results that are kept for resubmissions
	recordBytes int64 // jobs that are kept for resubmissions
	startBytes  int64 // start records of an agent
}

func newProcessLimits(memory int64) processLimits {
	share := func(x float64) int64 { return int64(x * float64(memory)) }
	return processLimits{
		callers: caller.Limits{
			Connections: int(share(callerConnectionShare) / httpserver.ConnectionBytes),
			BodyBytes:   share(callerBodyShare), JobBytes: share(callerJobShare),
		},
		incoming: inner.IncomingLimits{
			FrameBytes: share(peerFrameShare), RequestBytes: share(peerRequestShare),
			MaxPending: int(share(peerPendingShare) / pendingBytes),
		},
		answerBytes: share(answerShare), recordBytes: share(recordShare),
		startBytes: share(startShare),
	}
}
