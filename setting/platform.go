package setting

// Platform has the settings of the process that stands in for the platform's services in development and tests.
type Platform struct {
	Process `yaml:",inline"`
	// Address is the HTTP address of the services. Default: 127.0.0.1:7400.
	Address string `yaml:"Address"`
}

// WithDefaults returns a copy with unset settings replaced by their defaults.
func (p Platform) WithDefaults() Platform {
	p.Process = p.withDefaults("platform-1")
	setDefault(&p.Address, DefaultPlatformAddress)
	return p
}

// Validate returns all invalid settings, joined into one error.
func (p Platform) Validate() error {
	var v validation
	v.checkProcess(p.Process)
	v.checkListenAddress("Address", p.Address)
	return v.err()
}
