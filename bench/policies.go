package bench

import "dogwoodglade/core/allocator"

// Names of the policies.
const (
	chosenPolicy = "allocator"
	idealPolicy  = "ideal"
)

// namedPolicy is a policy with the name under which it is reported.
type namedPolicy struct {
	name     string
	create   func(*simulation) policy
	baseline bool // not built on the allocator
}

// policies returns all policies of a run: the allocator, the allocator with mechanisms switched off, and the
// baselines.
func policies() []namedPolicy {
	all := allocator.DefaultOptions()
	plain := all.WithFairness(false).WithClasses(false).WithAdmission(false).WithEjection(false)
	return []namedPolicy{
		{name: chosenPolicy, create: newAllocatorPolicy(all)},
		{name: "no fairness", create: newAllocatorPolicy(all.WithFairness(false))},
		{name: "no classes", create: newAllocatorPolicy(all.WithClasses(false))},
		{name: "no admission", create: newAllocatorPolicy(all.WithAdmission(false))},
		{name: "no ejection", create: newAllocatorPolicy(all.WithEjection(false))},
		{name: "plain FIFO", create: newAllocatorPolicy(plain)},
		{name: "random", create: newQueueingPolicy(pickRandom), baseline: true},
		{name: "round robin", create: newQueueingPolicy(pickRoundRobin), baseline: true},
		{name: "two choices", create: newQueueingPolicy(pickShorterOfTwo), baseline: true},
		{name: "batch sampling", create: newLateBindingPolicy, baseline: true},
		{name: "slot credits", create: newCreditPolicy, baseline: true},
	}
}
