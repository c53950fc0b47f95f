package main

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"dogwoodglade/platform/standin"
)

// perform carries out a plan. It returns when everything that it disturbed was put right again.
func (s *testSite) perform(ctx context.Context, plan []disturbance) {
	begun := time.Now()
	var running sync.WaitGroup
	for _, d := range plan {
		wait(ctx, time.Until(begun.Add(d.At)))
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
	end := s.calm.Begin(subject, d.Kind.planned())
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
			s.judge.Broke("the configuration was not written: %v", err)
		}
	default:
		s.disturbBackend(ctx, d)
	}
}

// restartDelay is the time after which the platform starts a process that has ended.
const restartDelay = 300 * time.Millisecond

func (s *testSite) disturbProcess(d disturbance) {
	p := s.process[d.Target]
	switch d.Kind {
	case pauseProcess:
		p.Pause(d.For)
		return
	case killProcess:
		p.Kill()
		time.Sleep(d.For)
	default:
		begun := time.Now()
		if !p.Stop(stopTime) && !s.calm.Disturbed(begun, time.Now(), func(x *span) bool { return !x.planned }) {
			s.judge.Broke("%s did not stop within %v beside planned work only", d.Target, stopTime)
		}
	}
	time.Sleep(restartDelay)
	if err := p.Start(); err != nil {
		s.judge.Broke("%s was not started: %v", d.Target, err)
	}
}

func (s *testSite) disturbLink(ctx context.Context, d disturbance) {
	l := s.links[d.Target]
	r := rule{}
	switch d.Kind {
	case resetLink:
		l.Reset(d.Amount)
		return
	case silenceLink:
		l.Silence(d.Amount)
		return
	case delayLink:
		r.Delay = seconds(d.Amount)
	case cutForward:
		r.Forward = true
	case cutBackward:
		r.Backward = true
	default:
		r.Forward, r.Backward = true, true
	}
	hold(ctx, d.For, &s.mu, s.linkNow, d.Target, d.Kind, r, func(rules map[kind]rule) {
		var sum rule
		for _, x := range rules {
			sum = rule{
				Delay: max(sum.Delay, x.Delay), Forward: sum.Forward || x.Forward, Backward: sum.Backward || x.Backward,
			}
		}
		l.Set(sum)
	})
}

func (s *testSite) disturbBackend(ctx context.Context, d disturbance) {
	b := s.backends[d.Target]
	f := standin.BackendFault{}
	switch d.Kind {
	case leaveBackend:
		b.Leave(leaveTime)
		b.Start(true)
		return
	case crashBackend, replace:
		b.Crash()
		wait(ctx, d.For/4)
		b.Start(d.Kind == replace)
		return
	case slowBackend:
		f.Slow = d.Amount
	case failBackend:
		f.FailShare = d.Amount
	case hangBackend:
		f.Hang = true
	case refuseOrders:
		f.Refuse = true
	case loseAnswers:
		f.LostShare = d.Amount
	default:
		f.LateShare = d.Amount
	}
	hold(ctx, d.For, &s.mu, s.backNow, d.Target, d.Kind, f, func(faults map[kind]standin.BackendFault) {
		var sum standin.BackendFault
		for _, x := range faults {
			sum = standin.BackendFault{
				Slow: max(sum.Slow, x.Slow), FailShare: max(sum.FailShare, x.FailShare), Hang: sum.Hang || x.Hang,
				Refuse: sum.Refuse || x.Refuse, LostShare: max(sum.LostShare, x.LostShare),
				LateShare: max(sum.LateShare, x.LateShare),
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
		f.Down = standin.Busy
	case storeReset:
		f.Down = standin.Resetting
	case storeSilent:
		f.Down = standin.Silent
	case storeSlow:
		f.Delay = seconds(d.Amount)
	case storeLost:
		f.LostShare = d.Amount
	default:
		f.LateShare = d.Amount
	}
	all := map[string]map[kind]standin.StoreFault{storeSubject: s.storeNow}
	hold(ctx, d.For, &s.mu, all, storeSubject, d.Kind, f, func(faults map[kind]standin.StoreFault) {
		var sum standin.StoreFault
		for _, x := range faults {
			sum = standin.StoreFault{
				Down: max(sum.Down, x.Down), Delay: max(sum.Delay, x.Delay), LostShare: max(sum.LostShare, x.LostShare),
				LateShare: max(sum.LateShare, x.LateShare),
			}
		}
		s.store.SetFault(sum)
	})
}

// hold applies a fault for a time beside the others of its target. apply gets all that are in force.
func hold[F any](
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
	change := func(do func(x *shares)) {
		s.mu.Lock()
		defer s.mu.Unlock()
		do(&s.shares)
	}
	switch d.Kind {
	case burst:
		change(func(x *shares) { x.rate *= d.Amount })
		defer change(func(x *shares) { x.rate /= d.Amount })
	case cancels:
		change(func(x *shares) { x.cancel += d.Amount })
		defer change(func(x *shares) { x.cancel -= d.Amount })
	default:
		change(func(x *shares) { x.abandon += d.Amount })
		defer change(func(x *shares) { x.abandon -= d.Amount })
	}
	wait(ctx, d.For)
}

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
