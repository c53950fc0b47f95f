package setting

import "slices"

// Agent has the settings of an agent.
type Agent struct {
	Process `yaml:",inline"`
	// BackendAddress is where backend servers of the host announce themselves over HTTP.
	// Default: 127.0.0.1:7500.
	BackendAddress string `yaml:"BackendAddress"`
	// OperatorAddress is where operators connect over HTTP. Default: 127.0.0.1:7600.
	OperatorAddress string `yaml:"OperatorAddress"`
	// Entries are the inner addresses of the entries of the region. Default: 127.0.0.1:7300.
	Entries []string `yaml:"Entries"`
	// Platform is the address of the platform's services. Default: 127.0.0.1:7400.
	Platform string `yaml:"Platform"`
}

// Defaults returns a copy whose unset settings have their defaults.
func (a Agent) Defaults() Agent {
	a.Process = a.defaults("agent-1")
	setText(&a.BackendAddress, DefaultBackendAddress)
	setText(&a.OperatorAddress, DefaultAgentOperatorAddress)
	if a.Entries == nil {
		a.Entries = []string{DefaultInnerAddress}
	}
	a.Entries = slices.Clone(a.Entries)
	setText(&a.Platform, DefaultPlatformAddress)
	return a
}

// Validate reports all faults, joined into one error.
func (a Agent) Validate() error {
	var v validation
	v.process(a.Process)
	v.listen("BackendAddress", a.BackendAddress)
	v.listen("OperatorAddress", a.OperatorAddress)
	v.distinct([]string{"BackendAddress", "OperatorAddress"}, []string{a.BackendAddress, a.OperatorAddress})
	v.check(len(a.Entries) > 0, "Entries", "an empty list", "at least one address")
	v.dialAll("Entries", a.Entries)
	v.dial("Platform", a.Platform)
	return v.err()
}
