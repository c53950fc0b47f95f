package setting

import (
	"fmt"
	"net/netip"
)

// checkListenAddress validates an address that the process listens on. Port 0 is not allowed, because other processes
// have the address in their settings.
func (v *validation) checkListenAddress(key, address string) {
	parsed, err := netip.ParseAddrPort(address)
	v.check(err == nil && parsed.Port() != 0, key, fmt.Sprintf("%q", address),
		"IP address and port, such as 127.0.0.1:7100")
}

// checkDialAddress validates an address that the process connects to.
func (v *validation) checkDialAddress(key, address string) {
	parsed, err := netip.ParseAddrPort(address)
	v.check(err == nil && parsed.Port() != 0 && !parsed.Addr().IsUnspecified(), key, fmt.Sprintf("%q", address),
		"IP address and port of another process, such as 127.0.0.1:7300")
}

// checkDialAddresses validates a list of addresses that the process connects to.
func (v *validation) checkDialAddresses(key string, addresses []string) {
	seen := map[string]bool{}
	for i, address := range addresses {
		element := fmt.Sprintf("%s[%d]", key, i)
		v.checkDialAddress(element, address)
		v.check(!seen[address], element, fmt.Sprintf("%q", address), "an address that is not already in the list")
		seen[address] = true
	}
}

// checkDistinct checks that all addresses that the process listens on are different.
func (v *validation) checkDistinct(keys, addresses []string) {
	for i, address := range addresses {
		for j := range i {
			v.check(address != addresses[j], keys[i], fmt.Sprintf("%q", address), "an address other than "+keys[j])
		}
	}
}
