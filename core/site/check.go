package site

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

// Severity tells what follows from a Finding.
type Severity string

// The severities. An entry that is in error does not do what it says; one with a warning does, in an unexpected way.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
)

// Finding is what Check finds about an entry of a configuration.
type Finding struct {
	Severity Severity
	Entry    string // for example: route "a"
	Message  string
}

// String returns the finding as one line of text.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Severity, f.Entry, f.Message) }

// lowestDistinctPriority is the priority from which all are served alike.
const lowestDistinctPriority = 9

// Check returns what is wrong or unexpected in a configuration, in its order. spare are the names of pools that no route
// needs to use.
func Check(c Configuration, spare []string) []Finding {
	k := &checker{pools: map[string]bool{}, used: map[string]bool{}}
	for _, p := range c.Pools {
		if k.pools[p.Name] {
			k.add(Error, poolEntry(p.Name), "the name is taken by an earlier pool")
		}
		k.pools[p.Name] = true
	}
	if len(c.Routes) == 0 {
		k.add(Warning, "routes", "there are none; all requests are answered 404")
	}
	for i, r := range c.Routes {
		k.checkNames(r, c.Routes[:i])
		k.checkSelector(r, c.Routes[:i])
		k.checkLimits(r)
	}
	for _, p := range c.Pools {
		if !k.used[p.Name] && !slices.Contains(spare, p.Name) {
			k.add(Warning, poolEntry(p.Name), "no route uses it")
		}
	}
	return k.findings
}

type checker struct {
	findings []Finding
	pools    map[string]bool
	used     map[string]bool
}

func (k *checker) add(severity Severity, entry, format string, values ...any) {
	k.findings = append(k.findings, Finding{severity, entry, fmt.Sprintf(format, values...)})
}

func routeEntry(name string) string { return fmt.Sprintf("route %q", name) }

func poolEntry(name string) string { return fmt.Sprintf("pool %q", name) }

func (k *checker) checkNames(r Route, earlier []Route) {
	for _, other := range earlier {
		if other.Name == r.Name {
			k.add(Error, routeEntry(r.Name), "the name is taken by an earlier route")
			break
		}
	}
	k.used[r.Pool] = true
	switch {
	case r.Pool == "":
		k.add(Error, routeEntry(r.Name), "it names no pool; no backend server runs its tasks")
	case !k.pools[r.Pool]:
		k.add(Warning, routeEntry(r.Name), "the configuration has no pool %q; only backend servers that name it on their own run "+
			"its tasks, and they are taken as ones that refuse nothing", r.Pool)
	}
	if r.UnsupportedFeature != "" {
		k.add(Error, routeEntry(r.Name), "it needs %s, which entries do not support; its jobs are refused", r.UnsupportedFeature)
	}
}

// checkSelector finds routes that match no request, and those that take some requests of another route.
func (k *checker) checkSelector(r Route, earlier []Route) {
	entry := routeEntry(r.Name)
	_, _, portErr := net.SplitHostPort(r.Host)
	switch {
	case r.Host == "":
		k.add(Error, entry, "it can never match: it has no host")
	case portErr == nil:
		k.add(Error, entry, "it can never match: the host %q has a port, which is not compared", r.Host)
	case strings.ContainsAny(r.Host, "/?#@ \t"):
		k.add(Error, entry, "it can never match: %q is not a host name", r.Host)
	case r.Host != strings.ToLower(r.Host):
		k.add(Warning, entry, "the host %q is compared with upper and lower case, and most clients send lower case", r.Host)
	}
	switch {
	case !strings.HasPrefix(r.PathPrefix, "/"):
		k.add(Error, entry, "it can never match: the path prefix %q does not begin with /", r.PathPrefix)
	case strings.ContainsAny(r.PathPrefix, "?#"):
		k.add(Error, entry, "it can never match: the path prefix %q goes beyond a path", r.PathPrefix)
	}
	for _, other := range earlier {
		if other.Host != r.Host {
			continue
		}
		if other.PathPrefix == r.PathPrefix {
			k.add(Error, entry, "it can never match: route %q has the same host and path prefix and comes first", other.Name)
			return
		}
		short, long := other, r
		if len(long.PathPrefix) < len(short.PathPrefix) {
			short, long = long, short
		}
		rest, extends := strings.CutPrefix(long.PathPrefix, short.PathPrefix)
		if extends && beginsJobID(rest) {
			k.add(Error, entry, "the jobs of route %q whose IDs begin with %q match route %q instead", short.Name, rest, long.Name)
		}
	}
}

// jobIDLength is the number of hexadecimal digits of a job's ID, which follows the path prefix.
const jobIDLength = 16

func beginsJobID(rest string) bool {
	return len(rest) <= jobIDLength && strings.Trim(rest, "0123456789abcdef") == ""
}

func (k *checker) checkLimits(r Route) {
	entry := routeEntry(r.Name)
	switch {
	case r.Deadline <= 0:
		k.add(Error, entry, "the time-out %v has always passed", r.Deadline)
	case r.Target < 0:
		k.add(Error, entry, "the target latency %v has always passed", r.Target)
	case r.Target >= r.Deadline:
		k.add(Warning, entry, "callers that set no deadline stop waiting after %v, before the target latency of %v", r.Deadline, r.Target)
	}
	switch {
	case r.Priority < 0:
		k.add(Error, entry, "the priority %d is negative; 0 is the most urgent one", r.Priority)
	case r.Priority > lowestDistinctPriority:
		k.add(Warning, entry, "the priority %d is served like %d", r.Priority, lowestDistinctPriority)
	}
}

// RequestLimits are the limits of a configuration on callers' requests. 0 means that one is not set.
type RequestLimits struct {
	BodyBytes, HeaderBytes     int64
	HeaderTimeout, IdleTimeout time.Duration
}

// CheckLimits returns the limits of a configuration that contradict each other, its routes, or the limits of the process
// that serves it.
func CheckLimits(l, process RequestLimits, specBytes int64) (findings []Finding) {
	add := func(severity Severity, format string, values ...any) {
		findings = append(findings, Finding{severity, "limits", fmt.Sprintf(format, values...)})
	}
	switch {
	case l.BodyBytes < 0:
		add(Error, "the largest body has %d bytes", l.BodyBytes)
	case l.BodyBytes == 0:
		add(Warning, "there is no largest body; entries use their default")
	case l.BodyBytes < specBytes:
		add(Error, "a body of %d bytes cannot hold a job with a spec of %d bytes, which is allowed", l.BodyBytes, specBytes)
	case l.BodyBytes >= process.BodyBytes:
		add(Error, "bodies of %d bytes and more cannot be read within the memory of a process, and %d are allowed",
			process.BodyBytes, l.BodyBytes)
	}
	if l.HeaderBytes < 0 || l.HeaderBytes > process.HeaderBytes {
		add(Error, "headers of %d bytes are allowed, but entries refuse those of more than %d", l.HeaderBytes, process.HeaderBytes)
	}
	if l.HeaderTimeout < 0 || l.HeaderTimeout > process.HeaderTimeout {
		add(Error, "headers may take %v, but entries close the connection after %v", l.HeaderTimeout, process.HeaderTimeout)
	}
	if l.IdleTimeout < 0 || l.IdleTimeout > process.IdleTimeout {
		add(Warning, "connections may be idle for %v, but entries close them after %v", l.IdleTimeout, process.IdleTimeout)
	}
	return findings
}
