// Package site holds the configuration of a site whose operators write it as one document: routes, which are selected
// by host and path, and the pools to which they refer.
//
// Entries match requests against it. A process never goes back to an older version: Newer selects between the
// configuration it has and one from the store or from a peer.
package site

import (
	"strings"
	"time"

	"dogwoodglade/core/pool"
	"dogwoodglade/core/route"
)

// Route is a route with the host and path that select it, its priority and its latency targets.
type Route struct {
	route.Route
	Host               string
	PathPrefix         string
	Priority           int           // 0 is the most urgent
	Stretch            float64       // a job should be answered within Stretch times its run time plus Target
	Target             time.Duration // latency allowed beyond Stretch times the run time
	UnsupportedFeature string        `json:"Disabled"` // needed by the route but not implemented; its jobs are refused
}

// Limits are the limits of callers' requests.
type Limits struct{ BodyBytes int64 }

// Configuration is one version of the document. It is immutable.
type Configuration struct {
	Version uint64
	Routes  []Route
	Pools   []pool.Pool
	// RefusingPools names the pools whose backend servers refuse runs beyond their capacity.
	RefusingPools []string
	Skipped       int // number of routes and pools that could not be decoded
	Limits        Limits
}

// Newer returns the candidate and true if it has a higher version than c, and c and false otherwise.
func (c Configuration) Newer(candidate Configuration) (Configuration, bool) {
	if candidate.Version <= c.Version {
		return c, false
	}
	return candidate, true
}

// Match returns the route with the longest path prefix that matches the host and path, and the rest of the path after
// this prefix. It returns false if no route matches.
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
