// Package storer defines the interface to the platform (its table service, object store and list of VMs) and two
// implementations: Client, which uses the platform's HTTP APIs, and Memory, which is kept in memory.
// A Client holds no data. While the platform is unavailable, each call returns an error of kind Unavailable, and the
// caller decides how to handle it.
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
	// Version is 1 after the first write of the row and is incremented by each later write.
	Version int64
	// Mark is a random string chosen by the writer. If the response to a write is lost, the writer reads the row
	// back; the write took effect if the row holds the writer's mark.
	Mark string
}

// Write is one conditional write or deletion of a row within a transaction.
type Write struct {
	Row Row
	// Expect is the version that the row must have before the write; 0 means that the row must not exist.
	Expect int64
	// Delete deletes the row instead of writing it.
	Delete bool
}

// Table is the transactional table service. Reads are strongly consistent: they see every committed write.
type Table interface {
	// Get returns an error of kind NotFound if the row does not exist.
	Get(ctx context.Context, pk, sk string) (Row, error)
	// Query returns the rows of pk with a sort key >= from, in the order of their sort keys; at most limit rows if
	// limit > 0.
	Query(ctx context.Context, pk, from string, limit int) ([]Row, error)
	// Put writes row if its stored version is expect (0 means that the row does not exist) and sets its version to
	// expect+1. It returns an error of kind Conflict if the condition failed, and of kind Unavailable if the outcome
	// is unknown: the caller then reads the row back and compares the mark.
	Put(ctx context.Context, row Row, expect int64) error
	Delete(ctx context.Context, pk, sk string, expect int64) error
	// Transact commits the writes atomically.
	Transact(ctx context.Context, writes []Write) error
}

// Objects is the object store.
type Objects interface {
	// GetObject returns an error of kind NotFound if the object does not exist.
	GetObject(ctx context.Context, key string) ([]byte, error)
	PutObject(ctx context.Context, key string, body []byte) error
	DeleteObject(ctx context.Context, key string) error
}

// VM is one item of the platform's list of VMs, which lags behind their actual state.
type VM struct {
	Name          string
	Address       string
	FailureDomain string
	Role          string
	Leaving       bool
}

// VMs provides the platform's list of live and leaving VMs.
type VMs interface {
	ListVMs(ctx context.Context) ([]VM, error)
}

// Platform combines the services of the platform.
type Platform interface {
	Table
	Objects
	VMs
}

// Kind classifies the errors of the platform.
type Kind int

// The kinds of errors.
const (
	// Unavailable means that the platform did not respond or could not process the call; a write may have taken
	// effect.
	Unavailable Kind = iota
	// NotFound means that the row or object does not exist.
	NotFound
	// Conflict means that the condition of a write failed.
	Conflict
	// Invalid means that the request was malformed or too large.
	Invalid
)

// Error is an error of a call to the platform.
type Error struct {
	Kind Kind
	// Op is the operation and its subject, such as "get config/head".
	Op string
	// Cause is the underlying error; nil if the platform's response itself states the error of this Kind.
	Cause error
}

// Error implements error. The message tells the operator what to do.
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

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Cause }

// DefaultCallTimeout is the default timeout of one call to the platform.
const DefaultCallTimeout = 2 * time.Second

// IsKind reports whether err is an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
