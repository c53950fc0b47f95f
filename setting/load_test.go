package setting

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// Guards against errors in settings files that are accepted, or reported one at a time or without their position.
func TestDecode(t *testing.T) {
	datadriven.RunTest(t, "testdata/settings", func(t *testing.T, d *datadriven.TestData) string {
		var settings any
		var err error
		switch d.Cmd {
		case "entry":
			settings, err = Decode[Entry]("f.yaml", []byte(d.Input))
		case "agent":
			settings, err = Decode[Agent]("f.yaml", []byte(d.Input))
		case "platform":
			settings, err = Decode[Platform]("f.yaml", []byte(d.Input))
		default:
			t.Fatalf("unknown command %q", d.Cmd)
		}
		if err != nil {
			return err.Error() + "\n"
		}
		return strings.ReplaceAll(fmt.Sprintf("%+v\n", settings), " Platform:", "\nPlatform:")
	})
}

// Guards against default settings that are invalid, or with which the processes do not connect to each other.
func TestDefaultsAreValid(t *testing.T) {
	entry, _ := Load[Entry]("")
	agent, _ := Load[Agent]("")
	platform, _ := Load[Platform]("")
	for _, settings := range []interface{ Validate() error }{entry, agent, platform} {
		if err := settings.Validate(); err != nil {
			t.Errorf("%T: %v", settings, err)
		}
	}
	if agent.Entries[0] != entry.InnerAddress || entry.Platform != platform.Address || agent.Platform != platform.Address {
		t.Error("the default addresses to dial differ from the default listen addresses")
	}
	if got := entry.WithDefaults().OtherPeers(); len(got) != 0 {
		t.Errorf("got peers %q", got)
	}
}
