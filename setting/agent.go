package setting

import "slices"

// Agent has the settings of an agent process.
type Agent struct {
	Process `yaml:",inline"`
	// BackendAddress is the HTTP address at which backend servers on the host announce themselves.
	// Default: 127.0.0.1:7500.
	BackendAddress string `yaml:"BackendAddress"`
	// OperatorAddress is the address of the HTTP API for operators. Default: 127.0.0.1:7600.
	OperatorAddress string `yaml:"OperatorAddress"`
	// Entries are the InnerAddress settings of the entries in the region. Default: 127.0.0.1:7300.
	Entries []string `yaml:"Entries"`
	// Platform is the address of the platform's services. Default: 127.0.0.1:7400.
	Platform string `yaml:"Platform"`
}

// WithDefaults returns a copy with unset settings replaced by their defaults.
func (a Agent) WithDefaults() Agent {
	a.Process = a.withDefaults("agent-1")
	setDefault(&a.BackendAddress, DefaultBackendAddress)
	setDefault(&a.OperatorAddress, DefaultAgentOperatorAddress)
	if a.Entries == nil {
		a.Entries = []string{DefaultInnerAddress}
	}
	a.Entries = slices.Clone(a.Entries)
	setDefault(&a.Platform, DefaultPlatformAddress)
	return a
}

// Validate returns all invalid settings, joined into one error.
func (a Agent) Validate() error {
	var v validation
	v.checkProcess(a.Process)
	v.checkListenAddress("BackendAddress", a.BackendAddress)
	v.checkListenAddress("OperatorAddress", a.OperatorAddress)
	v.checkDistinct([]string{"BackendAddress", "OperatorAddress"}, []string{a.BackendAddress, a.OperatorAddress})
	v.check(len(a.Entries) > 0, "Entries", "an empty list", "at least one address")
	v.checkDialAddresses("Entries", a.Entries)
	v.checkDialAddress("Platform", a.Platform)
	return v.err()
}
