// Package authenticator checks the keys of callers and signs and checks the requests between the project's own
// processes. It owns no state.
package authenticator

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// PeerHeader carries the signature of a request between the project's own processes.
const PeerHeader = "Geraniumladder-Peer"

// DefaultMaxSkew is how far the clocks of two VMs may differ before a signature is refused.
// It limits replay of a captured request to this time; the run guard drops repeated request IDs within it.
const DefaultMaxSkew = 30 * time.Second

// ErrPeer is returned for a request that no process of this system has signed.
var ErrPeer = errors.New("the request is not signed by a process of this system; set the same Secret in the settings of all processes")

// Digest returns the hexadecimal SHA-256 of a caller's key, the only form in which keys are stored.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Bearer returns the key in an Authorization header such as "Bearer gl-1234", or "" when there is none.
func Bearer(header string) string {
	scheme, token, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// Signer signs and checks requests between processes with their shared secret.
type Signer struct {
	secret  []byte
	maxSkew time.Duration
}

// Config configures a Signer.
type Config struct {
	// Secret is shared by all processes; at least MinSecretBytes long.
	Secret string
	// MaxSkew is DefaultMaxSkew when 0.
	MaxSkew time.Duration
}

// MinSecretBytes is the shortest shared secret that New accepts.
const MinSecretBytes = 16

// New returns a Signer.
func New(c Config) (Signer, error) {
	if len(c.Secret) < MinSecretBytes {
		return Signer{}, errors.Newf("the Secret has %d bytes; give at least %d", len(c.Secret), MinSecretBytes)
	}
	if c.MaxSkew == 0 {
		c.MaxSkew = DefaultMaxSkew
	}
	return Signer{secret: []byte(c.Secret), maxSkew: c.MaxSkew}, nil
}

// Sign returns the value of PeerHeader for a request, as in "1760000000000.9f86d0...".
func (s Signer) Sign(method, path, requestID string, now time.Time) string {
	millis := strconv.FormatInt(now.UnixMilli(), 10)
	return millis + "." + s.mac(method, path, requestID, millis)
}

// Check returns ErrPeer unless value is a signature of the request made within the allowed skew of now.
func (s Signer) Check(value, method, path, requestID string, now time.Time) error {
	millis, mac, ok := strings.Cut(value, ".")
	if !ok {
		return ErrPeer
	}
	signed, err := strconv.ParseInt(millis, 10, 64)
	if err != nil {
		return ErrPeer
	}
	if skew := now.Sub(time.UnixMilli(signed)).Abs(); skew > s.maxSkew {
		return errors.WithDetail(ErrPeer, fmt.Sprintf("clock skew of %s; set the clocks of the VMs", skew))
	}
	if !hmac.Equal([]byte(mac), []byte(s.mac(method, path, requestID, millis))) {
		return ErrPeer
	}
	return nil
}

func (s Signer) mac(method, path, requestID, millis string) string {
	h := hmac.New(sha256.New, s.secret)
	// Each part ends with a line feed, which none of them can contain, so that no two requests share a text.
	for _, part := range []string{method, path, requestID, millis} {
		h.Write([]byte(part))
		h.Write([]byte{'\n'})
	}
	return hex.EncodeToString(h.Sum(nil))
}
