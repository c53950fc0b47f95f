package site_test

import (
	"maps"
	"testing"

	"dogwoodglade/core/overload"
	"dogwoodglade/core/route"
	"dogwoodglade/core/site"
)

func configuration(version uint64) site.Configuration {
	return site.Configuration{Version: version, Routes: []site.Route{
		{Route: route.New("all", "p"), Host: "a.example", PathPrefix: "/x/"},
		{Route: route.New("some", "p"), Host: "a.example", PathPrefix: "/x/y/"},
		{Route: route.New("other", "p"), Host: "b.example", PathPrefix: "/x/"},
	}}
}

// Guards against requests that are not given the route of their host with the longest matching prefix.
func TestMatch(t *testing.T) {
	for _, c := range []struct{ host, path, route, rest string }{
		{"a.example", "/x/1", "all", "1"},
		{"a.example", "/x/y/1", "some", "1"},
		{"a.example", "/x/y", "all", "y"},
		{"b.example", "/x/y/1", "other", "y/1"},
		{"a.example", "/z", "", ""},
		{"c.example", "/x/1", "", ""},
	} {
		r, rest, ok := configuration(1).Match(c.host, c.path)
		if r.Name != c.route || rest != c.rest || ok != (c.route != "") {
			t.Errorf("%s%s: got %q %q %v, want %q %q", c.host, c.path, r.Name, rest, ok, c.route, c.rest)
		}
	}
}

// Guards against a process that goes back to an older configuration when a delayed response arrives after a newer one.
func TestNewerNeverGoesBack(t *testing.T) {
	c, updated := site.Configuration{}.Newer(configuration(7))
	if !updated || c.Version != 7 {
		t.Fatalf("got version %d, %v", c.Version, updated)
	}
	for _, version := range []uint64{3, 7} {
		if c, updated = c.Newer(configuration(version)); updated || c.Version != 7 {
			t.Errorf("version %d: got version %d, %v", version, c.Version, updated)
		}
	}
}

// Guards against parts of the overload policy that apply to a pool because of routes of other pools, of routes that serve
// no jobs, or of priorities that are not told apart.
func TestOverloadRules(t *testing.T) {
	withPriority := func(name, pool string, priority int, unsupported string) site.Route {
		return site.Route{Route: route.New(name, pool), Priority: priority, UnsupportedFeature: unsupported}
	}
	c := site.Configuration{Routes: []site.Route{
		withPriority("a", "shared", 0, ""), withPriority("b", "shared", 2, ""),
		withPriority("c", "single", 1, ""), withPriority("d", "single", 0, "advice"),
		withPriority("e", "equal", 10, ""), withPriority("f", "equal", 12, ""),
	}}
	want := map[string]overload.Rules{
		"shared": {Displace: true, GuardRoutes: true}, "single": {}, "equal": {GuardRoutes: true},
	}
	if got := c.OverloadRules(); !maps.Equal(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
