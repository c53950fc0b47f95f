// Package setting defines, loads and validates the settings of the processes.
//
// The commands that start a process load its settings from a YAML file, or use the defaults, with which one entry, one
// agent and the stand-in for the platform work together on the loopback interface. A file with errors is rejected as a
// whole, and all errors are reported with file, line and key.
package setting

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/route"
)

// Default addresses.
const (
	DefaultCallerAddress   = "127.0.0.1:7100"
	DefaultOperatorAddress = "127.0.0.1:7200"
	DefaultInnerAddress    = "127.0.0.1:7300"
	DefaultPlatformAddress = "127.0.0.1:7400"
	DefaultBackendAddress  = "127.0.0.1:7500"

	DefaultAgentOperatorAddress = "127.0.0.1:7600"
)

// Defaults and limits of the settings that all processes have.
const (
	DefaultLocation      = "local" // region, data centre and rack
	DefaultLogLevel      = "info"
	DefaultEventCapacity = 20_000
	DefaultDrainTimeout  = 30 * time.Second
	DefaultMemory        = 2048 // MB

	minMemory        = 256
	maxMemory        = 1 << 20
	minEventCapacity = 100
	maxEventCapacity = 10_000_000
	minDrainTimeout  = time.Second
	maxDrainTimeout  = time.Hour
)

// Process has the settings that every process has.
type Process struct {
	// Name is the unique name of the process in its region. Default: the kind of process and "-1".
	Name string `yaml:"Name"`
	// Region, DataCentre and Rack say where the process runs. Default: "local".
	Region     string `yaml:"Region"`
	DataCentre string `yaml:"DataCentre"`
	Rack       string `yaml:"Rack"`
	// LogLevel is the least severe level that is logged: debug, info, warn or error. Default: info.
	LogLevel string `yaml:"LogLevel"`
	// EventCapacity is the number of recent events kept in memory, at about 250 bytes each. Default: 20000.
	EventCapacity int `yaml:"EventCapacity"`
	// DrainTimeout is the longest time that a graceful shutdown waits for unfinished work, from 1s to 1h. Default: 30s.
	DrainTimeout time.Duration `yaml:"DrainTimeout"`
	// MemoryMegabytes is the memory of the process in units of 2^20 bytes, from 256. The limits on clients and on other
	// processes follow from it. Default: 2048.
	MemoryMegabytes int `yaml:"MemoryMegabytes"`
}

// MemoryBytes returns the memory of the process.
func (p Process) MemoryBytes() int64 { return int64(p.MemoryMegabytes) << 20 }

func (p Process) withDefaults(name string) Process {
	setDefault(&p.Name, name)
	setDefault(&p.Region, DefaultLocation)
	setDefault(&p.DataCentre, DefaultLocation)
	setDefault(&p.Rack, DefaultLocation)
	setDefault(&p.LogLevel, DefaultLogLevel)
	if p.EventCapacity == 0 {
		p.EventCapacity = DefaultEventCapacity
	}
	if p.DrainTimeout == 0 {
		p.DrainTimeout = DefaultDrainTimeout
	}
	if p.MemoryMegabytes == 0 {
		p.MemoryMegabytes = DefaultMemory
	}
	return p
}

func setDefault(s *string, value string) {
	if *s == "" {
		*s = value
	}
}

// InvalidValueError reports a setting with an invalid value.
type InvalidValueError struct {
	Key   string
	Value string
	Want  string
}

// Error implements error.
func (e *InvalidValueError) Error() string { return fmt.Sprintf("%s: %s", e.Key, e.message()) }

func (e *InvalidValueError) message() string { return fmt.Sprintf("got %s, want %s", e.Value, e.Want) }

// validation collects the errors of settings.
type validation struct{ errs []error }

func (v *validation) check(ok bool, key string, value any, want string) {
	if !ok {
		v.errs = append(v.errs, &InvalidValueError{Key: key, Value: fmt.Sprint(value), Want: want})
	}
}

func (v *validation) err() error { return errors.Join(v.errs...) }

func (v *validation) checkProcess(p Process) {
	const nameRule = "1 to 64 letters, digits, dots, dashes or underscores"
	for _, name := range []struct{ key, value string }{
		{"Name", p.Name}, {"Region", p.Region}, {"DataCentre", p.DataCentre}, {"Rack", p.Rack},
	} {
		v.check(route.ValidName(name.value), name.key, fmt.Sprintf("%q", name.value), nameRule)
	}
	switch p.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		v.check(false, "LogLevel", fmt.Sprintf("%q", p.LogLevel), "debug, info, warn or error")
	}
	v.check(p.EventCapacity >= minEventCapacity && p.EventCapacity <= maxEventCapacity, "EventCapacity",
		p.EventCapacity, fmt.Sprintf("%d to %d events", minEventCapacity, maxEventCapacity))
	v.check(p.DrainTimeout >= minDrainTimeout && p.DrainTimeout <= maxDrainTimeout, "DrainTimeout",
		p.DrainTimeout, fmt.Sprintf("%v to %v", minDrainTimeout, maxDrainTimeout))
	v.check(p.MemoryMegabytes >= minMemory && p.MemoryMegabytes <= maxMemory, "MemoryMegabytes",
		p.MemoryMegabytes, fmt.Sprintf("%d to %d MB", minMemory, maxMemory))
}
