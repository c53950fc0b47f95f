package setting

import (
	"fmt"
	"net/netip"
)

// listen checks an address that the process listens on. Port 0 is not allowed, because other processes
// learn the address from their settings.
func (v *validation) listen(key, address string) {
	parsed, err := netip.ParseAddrPort(address)
	v.check(err == nil && parsed.Port() != 0, key, fmt.Sprintf("%q", address),
		"IP address and port, such as 127.0.0.1:7100")
}

// dial checks an address that the process connects to.
func (v *validation) dial(key, address string) {
	parsed, err := netip.ParseAddrPort(address)
	v.check(err == nil && parsed.Port() != 0 && !parsed.Addr().IsUnspecified(), key, fmt.Sprintf("%q", address),
		"IP address and port of another process, such as 127.0.0.1:7300")
}

// dialAll checks a list of addresses that the process connects to.
func (v *validation) dialAll(key string, addresses []string) {
	seen := map[string]bool{}
	for i, address := range addresses {
		element := fmt.Sprintf("%s[%d]", key, i)
		v.dial(element, address)
		v.check(!seen[address], element, fmt.Sprintf("%q", address), "an address that is not in the list yet")
		seen[address] = true
	}
}

// distinct checks that the process does not listen twice on an address.
func (v *validation) distinct(keys, addresses []string) {
	for i, address := range addresses {
		for j := range i {
			v.check(address != addresses[j], keys[i], fmt.Sprintf("%q", address), "an address other than "+keys[j])
		}
	}
}
