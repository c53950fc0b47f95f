// Package executor decides, on one agent, which tasks start.
//
// It owns the fences of the key shards, the start records of the retention window, the slots of the
// backend servers announced to the agent, and the agent's drain. The agent calls it for each message. An
// owner that was superseded is refused; an owner that dies leaves its records here for its successor.
package executor

import "time"

// RetentionWindow is how long an agent remembers a start. Callers may resubmit a key within it.
const RetentionWindow = 10 * time.Minute
