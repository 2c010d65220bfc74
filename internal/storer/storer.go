// Package storer defines the clients of the platform: its table service, object store and list of VMs.
// It owns no state. When the platform is unavailable each call returns an error of kind Unavailable,
// and what follows from that is decided by the caller.
package storer

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Row is one row of the table service.
type Row struct {
	Pk string
	Sk string
	// Data is a JSON document.
	Data []byte
	// Version rises by 1 with each write of the row; the first write makes it 1.
	Version int64
	// Mark is a random string of the writer. A writer whose answer was lost reads the row back
	// and finds its own mark if the write took effect.
	Mark string
}

// Write is one conditional change of a row within a transaction.
type Write struct {
	Row Row
	// Expect is the version that the row must have before the write; 0 means that it must not exist.
	Expect int64
	// Delete removes the row in place of writing it.
	Delete bool
}

// Table is the transactional table service. Reads are consistent: they see every committed write.
type Table interface {
	// Get returns an error of kind NotFound when there is no such row.
	Get(ctx context.Context, pk, sk string) (Row, error)
	// Query returns up to limit rows of pk with a sort key >= from, in the order of their sort keys.
	Query(ctx context.Context, pk, from string, limit int) ([]Row, error)
	// Put writes row if its stored version is expect (0: no such row) and sets its version to expect+1.
	// It returns an error of kind Conflict when the condition failed and of kind Unavailable when
	// the outcome is not known: the caller then reads the row back and compares the mark.
	Put(ctx context.Context, row Row, expect int64) error
	Delete(ctx context.Context, pk, sk string, expect int64) error
	// Transact commits all writes or none.
	Transact(ctx context.Context, writes []Write) error
}

// Objects is the object store.
type Objects interface {
	// GetObject returns an error of kind NotFound when there is no such object.
	GetObject(ctx context.Context, key string) ([]byte, error)
	PutObject(ctx context.Context, key string, body []byte) error
	DeleteObject(ctx context.Context, key string) error
}

// VM is one entry of the platform's list, which lags behind the truth.
type VM struct {
	Name          string
	Address       string
	FailureDomain string
	Role          string
	Leaving       bool
}

// VMs is the platform's list of live and leaving VMs.
type VMs interface {
	List(ctx context.Context) ([]VM, error)
}

// Platform joins the services that the platform gives.
type Platform interface {
	Table
	Objects
	VMs
}

// Kind tells the errors of the platform apart.
type Kind int

// The kinds of errors.
const (
	// Unavailable means that the platform did not answer; a write may have taken effect.
	Unavailable Kind = iota
	// NotFound means that there is no such row or object.
	NotFound
	// Conflict means that the condition of a write did not hold.
	Conflict
	// Invalid means that the request was malformed or too large.
	Invalid
)

// Error is an error of the platform.
type Error struct {
	Kind Kind
	// Op names the call and what it was about, as in "get config/head".
	Op string
	// Cause is the error underneath; nil when the platform itself said so.
	Cause error
}

// Error implements error. The message names the remedy.
func (e *Error) Error() string {
	remedy := map[Kind]string{
		Unavailable: "the platform did not answer; check Platform in the settings and try again",
		NotFound:    "not found",
		Conflict:    "changed by another writer; read it again and retry",
		Invalid:     "rejected as malformed; report this as a fault of the program",
	}[e.Kind]
	if e.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", e.Op, remedy, e.Cause)
	}
	return fmt.Sprintf("%s: %s", e.Op, remedy)
}

// Unwrap returns the error underneath.
func (e *Error) Unwrap() error { return e.Cause }

// DefaultCallTimeout bounds one call to the platform.
const DefaultCallTimeout = 2 * time.Second

// IsKind says whether err is an error of the platform of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
