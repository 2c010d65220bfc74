// Package authenticator hashes and extracts the API keys of callers, and signs and verifies requests between the
// system's processes. It has no state.
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

// SignatureHeader carries the signature of a request between the system's processes.
const SignatureHeader = "Geraniumladder-Peer"

// DefaultMaxSkew is the maximum difference between the clocks of two VMs before signatures are rejected.
// It also bounds the time in which a captured request can be replayed; the run guard drops repeated request IDs within
// that time.
const DefaultMaxSkew = 30 * time.Second

// ErrInvalidSignature is returned for a request without a valid signature of one of the system's processes.
var ErrInvalidSignature = errors.New("the request is not signed by a process of this system; set the same Secret in the settings of all processes")

// Digest returns the hexadecimal SHA-256 hash of a caller's key. Keys are stored only in this form.
func Digest(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// BearerToken returns the bearer token of an Authorization header such as "Bearer gl-1234", or "" if there is none.
func BearerToken(header string) string {
	scheme, token, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// Signer signs and verifies requests between processes with a shared secret.
type Signer struct {
	secret  []byte
	maxSkew time.Duration
}

// Config configures a Signer.
type Config struct {
	// Secret is shared by all processes. It has at least MinSecretBytes bytes.
	Secret string
	// MaxSkew defaults to DefaultMaxSkew.
	MaxSkew time.Duration
}

// MinSecretBytes is the minimum length of the shared secret.
const MinSecretBytes = 16

// New returns a Signer.
func New(c Config) (Signer, error) {
	if len(c.Secret) < MinSecretBytes {
		return Signer{}, errors.Newf("Secret has %d bytes; the minimum is %d", len(c.Secret), MinSecretBytes)
	}
	if c.MaxSkew == 0 {
		c.MaxSkew = DefaultMaxSkew
	}
	return Signer{secret: []byte(c.Secret), maxSkew: c.MaxSkew}, nil
}

// Sign returns the value of SignatureHeader for a request: the time in milliseconds and the MAC, as in
// "1760000000000.9f86d0...".
func (s Signer) Sign(method, path, requestID string, now time.Time) string {
	millis := strconv.FormatInt(now.UnixMilli(), 10) //nolint:forbidigo // Verify allows for the skew of clocks.
	return millis + "." + s.mac(method, path, requestID, millis)
}

// Verify verifies the value of SignatureHeader. It returns ErrInvalidSignature unless value is a valid signature of the
// request and its time differs from now by at most the maximum skew.
func (s Signer) Verify(value, method, path, requestID string, now time.Time) error {
	millis, mac, ok := strings.Cut(value, ".")
	if !ok {
		return ErrInvalidSignature
	}
	signed, err := strconv.ParseInt(millis, 10, 64)
	if err != nil {
		return ErrInvalidSignature
	}
	if skew := now.Sub(time.UnixMilli(signed)).Abs(); skew > s.maxSkew { //nolint:forbidigo // Bounds the replay of a signature; DefaultMaxSkew exceeds the jumps of clocks.
		return errors.WithDetail(ErrInvalidSignature, fmt.Sprintf("clock skew of %s; synchronise the clocks of the VMs", skew))
	}
	if !hmac.Equal([]byte(mac), []byte(s.mac(method, path, requestID, millis))) {
		return ErrInvalidSignature
	}
	return nil
}

func (s Signer) mac(method, path, requestID, millis string) string {
	h := hmac.New(sha256.New, s.secret)
	// Each part is terminated by a line feed, which no part can contain, so that different requests never produce the same
	// input.
	for _, part := range []string{method, path, requestID, millis} {
		h.Write([]byte(part))
		h.Write([]byte{'\n'})
	}
	return hex.EncodeToString(h.Sum(nil))
}
