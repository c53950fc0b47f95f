package setting

import "slices"

// Entry has the settings of an entry.
type Entry struct {
	Process `yaml:",inline"`
	// CallerAddress is where callers connect over HTTP. Default: 127.0.0.1:7100.
	CallerAddress string `yaml:"CallerAddress"`
	// OperatorAddress is where operators connect over HTTP. Default: 127.0.0.1:7200.
	OperatorAddress string `yaml:"OperatorAddress"`
	// InnerAddress is where agents and other entries connect. Default: 127.0.0.1:7300.
	InnerAddress string `yaml:"InnerAddress"`
	// Peers are the inner addresses of the other entries of the region. The process's own address may be
	// among them, so that all entries can have the same list. Default: none.
	Peers []string `yaml:"Peers"`
	// Platform is the address of the platform's services. Default: 127.0.0.1:7400.
	Platform string `yaml:"Platform"`
}

// Defaults returns a copy whose unset settings have their defaults.
func (e Entry) Defaults() Entry {
	e.Process = e.defaults("entry-1")
	setText(&e.CallerAddress, DefaultCallerAddress)
	setText(&e.OperatorAddress, DefaultOperatorAddress)
	setText(&e.InnerAddress, DefaultInnerAddress)
	setText(&e.Platform, DefaultPlatformAddress)
	return e
}

// Validate reports all faults, joined into one error.
func (e Entry) Validate() error {
	var v validation
	v.process(e.Process)
	v.listen("CallerAddress", e.CallerAddress)
	v.listen("OperatorAddress", e.OperatorAddress)
	v.listen("InnerAddress", e.InnerAddress)
	v.distinct([]string{"CallerAddress", "OperatorAddress", "InnerAddress"},
		[]string{e.CallerAddress, e.OperatorAddress, e.InnerAddress})
	v.dialAll("Peers", e.Peers)
	v.dial("Platform", e.Platform)
	return v.err()
}

// OtherPeers returns the peers without the process itself.
func (e Entry) OtherPeers() []string {
	return slices.DeleteFunc(slices.Clone(e.Peers), func(address string) bool { return address == e.InnerAddress })
}
