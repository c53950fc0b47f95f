package bench

import "time"

// site holds the size and the network delay of a customer site (docs/design.md, section 1).
type site struct {
	name        string
	oneWayDelay time.Duration // network delay of a message between processes on different hosts
	entries     int           // one per data centre
	servers     int
	slots       int // per backend server
}

// Names of the sites.
const (
	Trappelop = "trappelop"
	Atlas     = "atlas"
	AllSites  = "all"
)

// Sizes of both sites.
const (
	siteEntries = 3
	siteServers = 10
	siteSlots   = 8
)

func sites(name string) []site {
	all := []site{
		{name: Trappelop, oneWayDelay: 1500 * time.Microsecond},
		{name: Atlas, oneWayDelay: 500 * time.Microsecond},
	}
	var chosen []site
	for _, s := range all {
		s.entries, s.servers, s.slots = siteEntries, siteServers, siteSlots
		if name == AllSites || name == s.name {
			chosen = append(chosen, s)
		}
	}
	return chosen
}

func (s site) totalSlots() int { return s.servers * s.slots }
