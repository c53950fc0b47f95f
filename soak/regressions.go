package main

import "time"

// regression is a run that violated a guarantee in the past.
type regression struct {
	options
	cause string
}

// regressions are run by TestShortSoak. Entries are never removed. Each fault also has a test that starts no processes.
var regressions = []regression{
	{
		options: options{seed: 19, duration: 15 * time.Second, entries: 3, agents: 5},
		cause:   "a second SIGTERM ended an entry at once while it was still draining its open work",
	},
	{
		options: options{seed: 109, duration: 15 * time.Second, entries: 3, agents: 5},
		cause: "an entry that had been suspended continued jobs that another entry had forwarded to it and given up " +
			"meanwhile, because that entry had reconnected before the end of the old connection was detected",
	},
	{
		options: options{seed: 115, duration: 15 * time.Second, entries: 3, agents: 5},
		cause: "entries that still received messages from a peer kept its session, while the peer received none from " +
			"them, considered them lost and reconnected",
	},
	{
		options: options{seed: 131, duration: 15 * time.Second, entries: 3, agents: 5},
		cause:   "as seed 115, with one of the two connections between two entries blocked",
	},
	{
		options: options{seed: 7024, duration: 15 * time.Second, entries: 3, agents: 5},
		cause:   "an agent started tasks within a capacity that had shrunk while the announcements were cut off",
	},
	{
		options: options{seed: 42006, duration: 15 * time.Second, entries: 3, agents: 5, overlapping: true, restarts: true},
		cause: "a job was reported as failed for two crashes, although its task had ended before one of them; the response " +
			"that listed its end was lost",
	},
	{
		options: options{seed: 13, duration: 9 * time.Second, entries: 11, agents: 3, configuration: true},
		cause: "entries that the store answered waited until others, which it did not answer, had noticed that one after the " +
			"other",
	},
}
