package authenticator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"geraniumladder/internal/authenticator"
)

// Guards against acceptance of a request that was forged, modified, or replayed after the maximum clock skew.
func TestVerifyRejectsForgedRequests(t *testing.T) {
	signer, err := authenticator.New(authenticator.Config{Secret: "0123456789abcdef"})
	assert.NilError(t, err)
	other, err := authenticator.New(authenticator.Config{Secret: "fedcba9876543210"})
	assert.NilError(t, err)
	now := time.UnixMilli(1_760_000_000_000)
	good := signer.Sign("POST", "/peer/run", "r1", now)
	cases := []struct {
		name, value, method, path, id string
		at                            time.Time
		ok                            bool
	}{
		{"own", good, "POST", "/peer/run", "r1", now, true},
		{"within skew", good, "POST", "/peer/run", "r1", now.Add(29 * time.Second), true},
		{"other method", good, "GET", "/peer/run", "r1", now, false},
		{"other path", good, "POST", "/peer/void", "r1", now, false},
		{"other request", good, "POST", "/peer/run", "r2", now, false},
		{"replayed later", good, "POST", "/peer/run", "r1", now.Add(31 * time.Second), false},
		{"other secret", other.Sign("POST", "/peer/run", "r1", now), "POST", "/peer/run", "r1", now, false},
		{"empty", "", "POST", "/peer/run", "r1", now, false},
		{"a caller's key", "Bearer gl-1", "POST", "/peer/run", "r1", now, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			err := signer.Verify(c.value, c.method, c.path, c.id, c.at)
			assert.Equal(t, err == nil, c.ok, "%v", err)
		})
	}
}

func TestBearer(t *testing.T) {
	for header, want := range map[string]string{"Bearer k": "k", "bearer k": "k", "Basic k": "", "": "", "k": ""} {
		assert.Equal(t, authenticator.BearerToken(header), want)
	}
}
