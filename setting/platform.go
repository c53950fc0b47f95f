package setting

// Platform has the settings of the stand-in for the platform's services.
type Platform struct {
	Process `yaml:",inline"`
	// Address is where the services are reached over HTTP. Default: 127.0.0.1:7400.
	Address string `yaml:"Address"`
}

// Defaults returns a copy whose unset settings have their defaults.
func (p Platform) Defaults() Platform {
	p.Process = p.defaults("platform-1")
	setText(&p.Address, DefaultPlatformAddress)
	return p
}

// Validate reports all faults, joined into one error.
func (p Platform) Validate() error {
	var v validation
	v.process(p.Process)
	v.listen("Address", p.Address)
	return v.err()
}
