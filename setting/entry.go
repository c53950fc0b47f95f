package setting

import "slices"

// Entry has the settings of an entry process.
type Entry struct {
	Process `yaml:",inline"`
	// CallerAddress is the address of the HTTP API for callers. Default: 127.0.0.1:7100.
	CallerAddress string `yaml:"CallerAddress"`
	// OperatorAddress is the address of the HTTP API for operators. Default: 127.0.0.1:7200.
	OperatorAddress string `yaml:"OperatorAddress"`
	// InnerAddress is the address to which agents and other entries connect. Default: 127.0.0.1:7300.
	InnerAddress string `yaml:"InnerAddress"`
	// Peers are the InnerAddress settings of the other entries in the region. The process's own address may be
	// among them, so that all entries can have the same list. Default: none.
	Peers []string `yaml:"Peers"`
	// Platform is the address of the platform's services. Default: 127.0.0.1:7400.
	Platform string `yaml:"Platform"`
}

// WithDefaults returns a copy with unset settings replaced by their defaults.
func (e Entry) WithDefaults() Entry {
	e.Process = e.withDefaults("entry-1")
	setDefault(&e.CallerAddress, DefaultCallerAddress)
	setDefault(&e.OperatorAddress, DefaultOperatorAddress)
	setDefault(&e.InnerAddress, DefaultInnerAddress)
	setDefault(&e.Platform, DefaultPlatformAddress)
	return e
}

// Validate returns all invalid settings, joined into one error.
func (e Entry) Validate() error {
	var v validation
	v.checkProcess(e.Process)
	v.checkListenAddress("CallerAddress", e.CallerAddress)
	v.checkListenAddress("OperatorAddress", e.OperatorAddress)
	v.checkListenAddress("InnerAddress", e.InnerAddress)
	v.checkDistinct([]string{"CallerAddress", "OperatorAddress", "InnerAddress"},
		[]string{e.CallerAddress, e.OperatorAddress, e.InnerAddress})
	v.checkDialAddresses("Peers", e.Peers)
	v.checkDialAddress("Platform", e.Platform)
	return v.err()
}

// OtherPeers returns the peers without the process's own address.
func (e Entry) OtherPeers() []string {
	return slices.DeleteFunc(slices.Clone(e.Peers), func(address string) bool { return address == e.InnerAddress })
}
