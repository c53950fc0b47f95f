// Package watch decides how often an entry polls the store for changes of the configuration.
//
// A connection can stop delivering data without being closed, so a lost response shows only when its poll times out. A
// poll must therefore be short to notice a change soon after the store was silent, but with short polls of every entry
// the rate of calls would grow with the region. So only a few entries, the watchers, make short polls. They notify the
// others of a new version. All entries choose the watchers by the same order of names, among those whose latest call
// succeeded. If watchers are lost or cannot reach the store, others take their place.
//
// No entry relies on the watchers for longer than Plan.MaxAge: one that has not heard for so long that its configuration
// is the newest reads the store itself, whatever the others report. The entries do so in turns, so that most of them hear
// of the result before their own turn. The package is called by batchentry.
package watch

import (
	"cmp"
	"math/bits"
	"time"

	"dogwoodglade/internal/uniform"
)

const (
	// watcherCount is how many of the entries that are connected to each other are watchers.
	watcherCount = 2
	// watcherWait is the long-poll time of a watcher.
	watcherWait = time.Second
	// otherWait is the long-poll time of the other entries.
	otherWait = 15 * time.Second
	// callTimeout limits a call to the store, in addition to its long-poll time. The store normally responds within a
	// few ms, and a slow one within 400 ms.
	callTimeout = time.Second
	// preferredRetryDelay and otherRetryDelay are the maximum delays before a retry. Entries that would be watchers if
	// every entry could reach the store use the shorter one.
	preferredRetryDelay = time.Second
	otherRetryDelay     = 2 * time.Second
	// firstTurn is the MaxAge of the entries that would be watchers if every entry could reach the store. A watcher's poll
	// takes 1 s, a slow response 0.4 s, and its way to the other entries 0.1 s.
	firstTurn = 1500 * time.Millisecond
	// turnInterval is the time between the turns. In each one, twice as many entries read the store as in all before.
	turnInterval = 100 * time.Millisecond
)

// Entry is another entry that this one is connected to.
type Entry struct {
	Name string
	// ReadsStore reports whether the latest call of the entry to the store succeeded.
	ReadsStore bool
}

// Plan says how an entry polls the store.
type Plan struct {
	Watcher       bool
	Wait          time.Duration // long-poll time
	Timeout       time.Duration // of a call, in addition to its long-poll time
	MaxRetryDelay time.Duration // maximum delay before a failed call is repeated
	// MaxAge is how long the store may have had a newer configuration, by what the entry knows, before it reads the store
	// without waiting for a change.
	MaxAge time.Duration
}

// For returns the plan of an entry that is connected to the others.
func For(name string, others []Entry) Plan {
	ahead, reading := 0, 0 // entries that come before this one
	for _, o := range others {
		if precedes(o.Name, name) {
			ahead++
			if o.ReadsStore {
				reading++
			}
		}
	}
	p := Plan{
		Wait: otherWait, Timeout: callTimeout, MaxRetryDelay: otherRetryDelay,
		MaxAge: firstTurn + time.Duration(bits.Len(uint(ahead/watcherCount)))*turnInterval,
	}
	if reading < watcherCount {
		p.Watcher, p.Wait = true, watcherWait
	}
	if ahead < watcherCount {
		p.MaxRetryDelay = preferredRetryDelay
	}
	return p
}

// precedes orders entries by a hash, so that watchers are spread over the data centres, which names often begin with.
func precedes(a, b string) bool {
	return cmp.Or(cmp.Compare(uniform.FromString(a), uniform.FromString(b)), cmp.Compare(a, b)) < 0
}
