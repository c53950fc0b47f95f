package bench

import "dogwoodglade/core/allocator"

// Names of the policies.
const (
	chosenPolicy = "allocator"
	idealPolicy  = "ideal"
)

// namedPolicy is a policy of a run.
type namedPolicy struct {
	name     string
	create   func(*world) policy
	baseline bool // not built on the allocator
}

// policies returns all policies of a run: the chosen one, the same without each mechanism, and baselines.
func policies() []namedPolicy {
	all := allocator.DefaultOptions()
	plain := all.WithFairness(false).WithClasses(false).WithAdmission(false).WithEjection(false)
	return []namedPolicy{
		{name: chosenPolicy, create: newGranted(all)},
		{name: "no fairness", create: newGranted(all.WithFairness(false))},
		{name: "no classes", create: newGranted(all.WithClasses(false))},
		{name: "no admission", create: newGranted(all.WithAdmission(false))},
		{name: "no ejection", create: newGranted(all.WithEjection(false))},
		{name: "plain FIFO", create: newGranted(plain)},
		{name: "random", create: newQueueing(pickRandom), baseline: true},
		{name: "round robin", create: newQueueing(pickInTurn), baseline: true},
		{name: "two choices", create: newQueueing(pickShorter), baseline: true},
		{name: "batch sampling", create: newLateBinding, baseline: true},
		{name: "slot credits", create: newCredits, baseline: true},
	}
}
