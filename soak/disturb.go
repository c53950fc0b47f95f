package main

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"dogwoodglade/platform/standin"
)

// executePlan carries out a plan. It returns when everything that it disturbed was put right again.
func (s *testSite) executePlan(ctx context.Context, plan []disturbance) {
	start := time.Now()
	var running sync.WaitGroup
	for _, d := range plan {
		wait(ctx, time.Until(start.Add(d.At)))
		if ctx.Err() != nil {
			break
		}
		running.Go(func() { s.disturb(ctx, d) })
	}
	running.Wait()
}

func (s *testSite) disturb(ctx context.Context, d disturbance) {
	subject := d.Target
	if slices.Contains(storeKinds, d.Kind) {
		subject = storeSubject
	}
	end := s.disturbances.Begin(subject, d.Kind.planned())
	defer end()
	switch {
	case slices.Contains(processKinds, d.Kind):
		s.disturbProcess(d)
	case slices.Contains(linkKinds, d.Kind):
		s.disturbLink(ctx, d)
	case slices.Contains(storeKinds, d.Kind):
		s.disturbStore(ctx, d)
	case slices.Contains(callerKinds, d.Kind):
		s.disturbCallers(ctx, d)
	case d.Kind == configure:
		if err := s.configure(); err != nil {
			s.checker.ReportViolation("the configuration was not written: %v", err)
		}
	default:
		s.disturbBackend(ctx, d)
	}
}

// restartDelay is the time after which the platform starts a process that has ended.
const restartDelay = 300 * time.Millisecond

func (s *testSite) disturbProcess(d disturbance) {
	p := s.processes[d.Target]
	switch d.Kind {
	case pauseProcess:
		p.Pause(d.For)
		return
	case killProcess:
		p.Kill()
		time.Sleep(d.For)
	default:
		begun := time.Now()
		if !p.Stop(stopTimeout) && !s.disturbances.Disturbed(begun, time.Now(), func(x *span) bool { return !x.planned }) {
			s.checker.ReportViolation("%s did not stop within %v beside planned work only", d.Target, stopTimeout)
		}
	}
	time.Sleep(restartDelay)
	if err := p.Start(); err != nil {
		s.checker.ReportViolation("%s was not started: %v", d.Target, err)
	}
}

func (s *testSite) disturbLink(ctx context.Context, d disturbance) {
	l := s.links[d.Target]
	r := linkFault{}
	switch d.Kind {
	case resetLink:
		l.ResetConnections(d.Amount)
		return
	case silenceLink:
		l.BlackholeConnections(d.Amount)
		return
	case delayLink:
		r.Delay = seconds(d.Amount)
	case cutForward:
		r.BlockForward = true
	case cutBackward:
		r.BlockBackward = true
	default:
		r.BlockForward, r.BlockBackward = true, true
	}
	applyFor(ctx, d.For, &s.mu, s.linkFaults, d.Target, d.Kind, r, func(rules map[kind]linkFault) {
		var sum linkFault
		for _, x := range rules {
			sum = linkFault{
				Delay: max(sum.Delay, x.Delay), BlockForward: sum.BlockForward || x.BlockForward, BlockBackward: sum.BlockBackward || x.BlockBackward,
			}
		}
		l.SetFault(sum)
	})
}

func (s *testSite) disturbBackend(ctx context.Context, d disturbance) {
	b := s.backends[d.Target]
	f := standin.BackendFault{}
	switch d.Kind {
	case leaveBackend:
		b.Leave(leaveDelay)
		b.Start(true)
		return
	case crashBackend, replaceBackend:
		b.Crash()
		wait(ctx, d.For/4)
		b.Start(d.Kind == replaceBackend)
		return
	case slowBackend:
		f.SlowFactor = d.Amount
	case failBackend:
		f.FailShare = d.Amount
	case hangBackend:
		f.Hang = true
	case refuseOrders:
		f.RefuseRequests = true
	case loseAnswers:
		f.LostResponseShare = d.Amount
	default:
		f.DelayedShare = d.Amount
	}
	applyFor(ctx, d.For, &s.mu, s.backendFaults, d.Target, d.Kind, f, func(faults map[kind]standin.BackendFault) {
		var sum standin.BackendFault
		for _, x := range faults {
			sum = standin.BackendFault{
				SlowFactor: max(sum.SlowFactor, x.SlowFactor), FailShare: max(sum.FailShare, x.FailShare), Hang: sum.Hang || x.Hang,
				RefuseRequests: sum.RefuseRequests || x.RefuseRequests, LostResponseShare: max(sum.LostResponseShare, x.LostResponseShare),
				DelayedShare: max(sum.DelayedShare, x.DelayedShare),
			}
		}
		b.SetFault(sum)
	})
}

func (s *testSite) disturbStore(ctx context.Context, d disturbance) {
	f := standin.StoreFault{}
	switch d.Kind {
	case dropHistory:
		s.store.DropHistory()
		return
	case storeBusy:
		f.Outage = standin.OutageBusy
	case storeReset:
		f.Outage = standin.OutageReset
	case storeSilent:
		f.Outage = standin.OutageNoResponse
	case storeSlow:
		f.Delay = seconds(d.Amount)
	case storeLost:
		f.LostResponseShare = d.Amount
	default:
		f.DelayedShare = d.Amount
	}
	all := map[string]map[kind]standin.StoreFault{storeSubject: s.storeFaults}
	applyFor(ctx, d.For, &s.mu, all, storeSubject, d.Kind, f, func(faults map[kind]standin.StoreFault) {
		var sum standin.StoreFault
		for _, x := range faults {
			sum = standin.StoreFault{
				Outage: max(sum.Outage, x.Outage), Delay: max(sum.Delay, x.Delay), LostResponseShare: max(sum.LostResponseShare, x.LostResponseShare),
				DelayedShare: max(sum.DelayedShare, x.DelayedShare),
			}
		}
		s.store.SetFault(sum)
	})
}

// applyFor applies a fault for a time beside the others of its target. apply gets all that are in force.
func applyFor[F any](
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

func (s *testSite) disturbCallers(ctx context.Context, d disturbance) {
	change := func(do func(x *callerBehaviour)) {
		s.mu.Lock()
		defer s.mu.Unlock()
		do(&s.behaviour)
	}
	switch d.Kind {
	case burst:
		change(func(x *callerBehaviour) { x.rateFactor *= d.Amount })
		defer change(func(x *callerBehaviour) { x.rateFactor /= d.Amount })
	case cancels:
		change(func(x *callerBehaviour) { x.cancelShare += d.Amount })
		defer change(func(x *callerBehaviour) { x.cancelShare -= d.Amount })
	default:
		change(func(x *callerBehaviour) { x.abandonShare += d.Amount })
		defer change(func(x *callerBehaviour) { x.abandonShare -= d.Amount })
	}
	wait(ctx, d.For)
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
