package main

import "time"

// regression is a run that broke a promise once.
type regression struct {
	options
	cause string
}

// regressions are kept for good. Each also has a test without processes.
var regressions = []regression{
	{
		options: options{seed: 19, duration: 15 * time.Second, entries: 3, agents: 5},
		cause:   "a second SIGTERM ended an entry at once that was finishing its open work",
	},
	{
		options: options{seed: 109, duration: 15 * time.Second, entries: 3, agents: 5},
		cause: "an entry that froze went on with jobs that another one had passed to it and given up meanwhile, because " +
			"that one was connected again before the end of the old connection was seen",
	},
	{
		options: options{seed: 115, duration: 15 * time.Second, entries: 3, agents: 5},
		cause: "entries that heard an entry which did not hear them kept its session, while it took them as lost and was " +
			"connected again",
	},
	{
		options: options{seed: 131, duration: 15 * time.Second, entries: 3, agents: 5},
		cause:   "the same as seed 115, over one of two connections between two entries that was cut",
	},
}
