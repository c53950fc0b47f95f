// Package site owns the configuration of a site whose operators write it as one document: routes, which are
// found by host and path, and the pools that they name.
//
// Entries match requests against it. A process never goes back to an older version: Newer decides what it
// adopts, from the store or from a peer.
package site

import (
	"strings"
	"time"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
)

// Route is a route with what selects it and with what its callers expect.
type Route struct {
	route.Route
	Host       string
	PathPrefix string
	Priority   int           // 0 is the most urgent
	Stretch    float64       // times the run time of a job that an answer may take
	Target     time.Duration // beyond Stretch times the run time
	Disabled   string        // why no job is taken, if the route asks for something that is not built
}

// Limits bound the requests of callers.
type Limits struct{ BodyBytes int64 }

// Configuration is a version of the document. It is a value.
type Configuration struct {
	Version uint64
	Routes  []Route
	Pools   []pool.Pool
	Skipped int // rows that could not be read
	Limits  Limits
}

// Newer returns the configuration to use of the current one and a candidate. It reports whether that is the
// candidate.
func (c Configuration) Newer(candidate Configuration) (Configuration, bool) {
	if candidate.Version <= c.Version {
		return c, false
	}
	return candidate, true
}

// Match returns the route of a host and path, and the rest of the path behind the route's prefix. The longest
// prefix wins.
func (c Configuration) Match(host, path string) (found Route, rest string, ok bool) {
	for _, r := range c.Routes {
		if r.Host == host && strings.HasPrefix(path, r.PathPrefix) && (!ok || len(r.PathPrefix) > len(found.PathPrefix)) {
			found, ok = r, true
		}
	}
	if !ok {
		return Route{}, "", false
	}
	return found, path[len(found.PathPrefix):], true
}
