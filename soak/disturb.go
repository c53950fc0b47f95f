package main

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"dogwoodglade/platform/standin"
)

// executePlan applies the disturbances of a plan at their start times. It returns when all of them have been reverted.
func (s *testSite) executePlan(ctx context.Context, plan []disturbance) {
	start := time.Now()
	var running sync.WaitGroup
	for _, d := range plan {
		wait(ctx, time.Until(start.Add(d.Start)))
		if ctx.Err() != nil {
			break
		}
		running.Go(func() { s.apply(ctx, d) })
	}
	running.Wait()
}

func (s *testSite) apply(ctx context.Context, d disturbance) {
	subject := d.Target
	if slices.Contains(storeKinds, d.Kind) {
		subject = storeSubject
	}
	end := s.disturbances.Begin(subject, d.Kind.planned())
	defer end()
	switch {
	case slices.Contains(processKinds, d.Kind), d.Kind == throttleProcess, d.Kind == restartProcess:
		s.applyToProcess(d)
	case slices.Contains(linkKinds, d.Kind):
		s.applyToLink(ctx, d)
	case d.Kind == evacuateDataCentre:
		s.evacuate(ctx, d)
	case d.Kind == resetEntry:
		for _, suffix := range []string{"/callers", "/inner"} {
			s.links[d.Target+suffix].ResetConnections(d.Intensity)
		}
	case slices.Contains(storeKinds, d.Kind):
		s.applyToStore(ctx, d)
	case slices.Contains(callerKinds, d.Kind), slices.Contains(jobKinds, d.Kind), d.Kind == callerReturns:
		s.applyToCallers(ctx, d)
	case d.Kind == changeConfiguration:
		if err := s.configure(); err != nil {
			s.checker.ReportViolation("write configuration: %v", err)
		}
	default:
		s.applyToBackend(ctx, d)
	}
}

// restartDelay is the time after which the platform restarts a process that has ended.
const restartDelay = 300 * time.Millisecond

func (s *testSite) applyToProcess(d disturbance) {
	p := s.processes[d.Target]
	delay := restartDelay
	switch d.Kind {
	case restartProcess:
		p.Kill()
		delay = 0
	case pauseProcess:
		p.Pause(d.Duration)
		return
	case throttleProcess:
		p.Throttle(d.Duration, d.Intensity)
		return
	case killProcess:
		p.Kill()
		time.Sleep(d.Duration)
	default:
		start := time.Now()
		if !p.Stop(stopTimeout) && !s.disturbances.Disturbed(start, time.Now(), func(x *span) bool { return !x.planned }) {
			s.checker.ReportViolation("%s did not stop within %v with only planned disturbances", d.Target, stopTimeout)
		}
	}
	time.Sleep(delay)
	if err := p.Start(); err != nil {
		s.checker.ReportViolation("%s could not be restarted: %v", d.Target, err)
	}
}

func (s *testSite) applyToLink(ctx context.Context, d disturbance) {
	l := s.links[d.Target]
	f := linkFault{}
	switch d.Kind {
	case resetLink:
		l.ResetConnections(d.Intensity)
		return
	case blackholeLink:
		l.BlackholeConnections(d.Intensity)
		return
	case delayLink:
		f.Delay = seconds(d.Intensity)
	case blockForward:
		f.BlockForward = true
	case blockBackward:
		f.BlockBackward = true
	default:
		f.BlockForward, f.BlockBackward = true, true
	}
	withFault(ctx, d.Duration, &s.mu, s.linkFaults, d.Target, d.Kind, f, func(faults map[kind]linkFault) {
		var combined linkFault
		for _, x := range faults {
			combined = linkFault{
				Delay:         max(combined.Delay, x.Delay),
				BlockForward:  combined.BlockForward || x.BlockForward,
				BlockBackward: combined.BlockBackward || x.BlockBackward,
			}
		}
		l.SetFault(combined)
	})
}

func (s *testSite) applyToBackend(ctx context.Context, d disturbance) {
	b := s.backends[d.Target]
	f := standin.BackendFault{}
	switch d.Kind {
	case leaveBackend:
		b.Leave(leaveDelay)
		b.Start(true)
		return
	case crashBackend, replaceBackend, restartBackend:
		b.Crash()
		downtime := d.Duration / 4
		if d.Kind == restartBackend {
			downtime = d.Duration
		}
		wait(ctx, downtime)
		b.Start(d.Kind == replaceBackend)
		return
	case shrinkBackend:
		s.shrink(ctx, d)
		return
	case slowBackend:
		f.SlowFactor = d.Intensity
	case failBackend:
		f.FailShare = d.Intensity
	case hangBackend:
		f.Hang = true
	case refuseRequests:
		f.RefuseRequests = true
	case loseResponses:
		f.LostResponseShare = d.Intensity
	default:
		f.DelayedShare = d.Intensity
	}
	withFault(ctx, d.Duration, &s.mu, s.backendFaults, d.Target, d.Kind, f, func(faults map[kind]standin.BackendFault) {
		var combined standin.BackendFault
		for _, x := range faults {
			combined = standin.BackendFault{
				SlowFactor:        max(combined.SlowFactor, x.SlowFactor),
				FailShare:         max(combined.FailShare, x.FailShare),
				Hang:              combined.Hang || x.Hang,
				RefuseRequests:    combined.RefuseRequests || x.RefuseRequests,
				LostResponseShare: max(combined.LostResponseShare, x.LostResponseShare),
				DelayedShare:      max(combined.DelayedShare, x.DelayedShare),
			}
		}
		b.SetFault(combined)
	})
}

// shrink reduces the capacity of a backend server for a time. If several disturbances overlap, the smallest applies.
func (s *testSite) shrink(ctx context.Context, d disturbance) {
	withFault(ctx, d.Duration, &s.mu, s.capacityShares, d.Target, kind(d.String()), d.Intensity,
		func(shares map[kind]float64) {
			capacity := fullCapacity
			for _, share := range shares {
				capacity.Processor = min(capacity.Processor, int(share*float64(fullCapacity.Processor)))
			}
			// Recorded first, so that no run starts within a grown capacity that the checker does not know.
			s.checker.RecordCapacity(d.Target, capacity, time.Now())
			s.backends[d.Target].SetCapacity(capacity)
		})
}

func (s *testSite) applyToStore(ctx context.Context, d disturbance) {
	f := standin.StoreFault{}
	switch d.Kind {
	case dropHistory:
		s.store.DropHistory()
		return
	case storeBusy:
		f.Outage = standin.OutageBusy
	case storeReset:
		f.Outage = standin.OutageReset
	case storeNoResponse:
		f.Outage = standin.OutageNoResponse
	case storeSlow:
		f.Delay = seconds(d.Intensity)
	case storeLoseResponses:
		f.LostResponseShare = d.Intensity
	default:
		f.DelayedShare = d.Intensity
	}
	all := map[string]map[kind]standin.StoreFault{storeSubject: s.storeFaults}
	withFault(ctx, d.Duration, &s.mu, all, storeSubject, d.Kind, f, func(faults map[kind]standin.StoreFault) {
		var combined standin.StoreFault
		for _, x := range faults {
			combined = standin.StoreFault{
				Outage:            max(combined.Outage, x.Outage),
				Delay:             max(combined.Delay, x.Delay),
				LostResponseShare: max(combined.LostResponseShare, x.LostResponseShare),
				DelayedShare:      max(combined.DelayedShare, x.DelayedShare),
			}
		}
		s.store.SetFault(combined)
	})
}

// withFault applies a fault to a target for a time, in addition to other faults of the same target. apply is called
// with all faults that are in effect.
func withFault[F any](
	ctx context.Context, d time.Duration, mu *sync.Mutex, all map[string]map[kind]F, target string, k kind, f F,
	apply func(faults map[kind]F),
) {
	set := func(change func(faults map[kind]F)) {
		mu.Lock()
		defer mu.Unlock()
		if all[target] == nil {
			all[target] = map[kind]F{}
		}
		change(all[target])
		apply(maps.Clone(all[target]))
	}
	set(func(faults map[kind]F) { faults[k] = f })
	wait(ctx, d)
	set(func(faults map[kind]F) { delete(faults, k) })
}

func (s *testSite) applyToCallers(ctx context.Context, d disturbance) {
	change := func(do func(x *callerBehaviour)) {
		s.mu.Lock()
		defer s.mu.Unlock()
		do(&s.behaviour)
	}
	switch d.Kind {
	case callerBurst:
		change(func(x *callerBehaviour) { x.rateFactor *= d.Intensity })
		defer change(func(x *callerBehaviour) { x.rateFactor /= d.Intensity })
	case callerCancels:
		change(func(x *callerBehaviour) { x.cancelShare += d.Intensity })
		defer change(func(x *callerBehaviour) { x.cancelShare -= d.Intensity })
	case callerReturns:
		change(func(x *callerBehaviour) { x.returnShare += d.Intensity })
		defer change(func(x *callerBehaviour) { x.returnShare -= d.Intensity })
	case deadlyJobs:
		change(func(x *callerBehaviour) { x.deadlyShare += d.Intensity })
		defer change(func(x *callerBehaviour) { x.deadlyShare -= d.Intensity })
	default:
		change(func(x *callerBehaviour) { x.abandonShare += d.Intensity })
		defer change(func(x *callerBehaviour) { x.abandonShare -= d.Intensity })
	}
	wait(ctx, d.Duration)
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
