package configurer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"geraniumladder/internal/configurer"
)

const validSidecar = `Vm: e1
FailureDomain: a
Platform: http://127.0.0.1:9000
Secret: 0123456789abcdef
Endpoint:
  Url: http://127.0.0.1:9100
  BaseModel: base
  Slots: 4
Heartbeat: 2s
`

func TestParseFillsInDefaults(t *testing.T) {
	s, err := configurer.Parse[configurer.Sidecar]("s.yaml", []byte(validSidecar))
	assert.NilError(t, err)
	assert.Equal(t, s.Endpoint.Slots, 4)
	assert.Equal(t, s.Endpoint.MaxRunning, 16)
	assert.Equal(t, s.Heartbeat, 2*time.Second)
	assert.Equal(t, s.VM, "e1")
}

// Guards against a process that starts with invalid settings, and against errors without the file, line and field.
func TestParseRejectsInvalidSettings(t *testing.T) {
	cases := []struct{ name, content, want string }{
		{"unknown field", validSidecar + "Heartbeet: 3s\n", `s.yaml:10: file: [10:1] unknown field "Heartbeet"`},
		{"out of range", validSidecar + "LeaseTtl: 1s\n", "s.yaml:10: LeaseTtl: is 1s; give a value from 3s to 5m"},
		{"nested out of range", "Vm: e\nFailureDomain: a\nPlatform: p\nEndpoint:\n  Url: u\n  Slots: 0\n", "s.yaml:6: Endpoint.Slots: is 0"},
		{"missing", "Vm: e1\n", "s.yaml:1: FailureDomain: is not set; add FailureDomain"},
		{"not one of", validSidecar + "LogLevel: loud\n", "s.yaml:10: LogLevel: is \"loud\"; give one of: debug info warn error"},
		{"duplicate", validSidecar + "Vm: e2\n", "s.yaml:10"},
		{"wrong type", validSidecar + "Remember: soon\n", "s.yaml:10: Remember: is \"soon\"; give a duration"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := configurer.Parse[configurer.Sidecar]("s.yaml", []byte(c.content))
			assert.Assert(t, err != nil)
			assert.Check(t, cmp.Contains(err.Error(), c.want))
		})
	}
}

// Guards against defaults printed by Describe that Parse rejects. Only the required fields may be missing.
func TestDescribeLacksOnlyRequiredFields(t *testing.T) {
	_, err := configurer.Parse[configurer.Entry]("d.yaml", []byte(configurer.Describe[configurer.Entry]()))
	assert.Assert(t, err != nil)
	for _, field := range []string{"Vm", "FailureDomain", "Platform"} {
		assert.Check(t, cmp.Contains(err.Error(), field+": is not set"))
	}
	assert.Check(t, len(err.Error()) < 600, "%v", err)
}
