// Package patcher encodes a document as its difference from an earlier version, and compresses it where there is none. A
// patch is a Zstandard frame whose dictionary is the earlier version.
//
// The package has no state and uses no network or store.
package patcher

import (
	"hash/crc32"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
)

// dictionaryID identifies the raw dictionary in a frame. Both sides know from the patch which version it stands for.
const dictionaryID = 1

// Patch turns a base into another document.
type Patch struct {
	// BaseChecksum is the checksum of the base; 0 if the base is empty.
	BaseChecksum uint32
	// Checksum is the checksum of the result.
	Checksum uint32
	Frame    []byte
}

// ErrOtherBase means that a patch was made for another base. The document must be obtained in another way.
var ErrOtherBase = errors.New("the patch applies to another version of the document; fetch the whole document")

// errDamaged means that the result is not the document from which the patch was made.
var errDamaged = errors.New("the patched document has another checksum than the original; fetch the whole document")

var castagnoli = sync.OnceValue(func() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) })

// Checksum returns the checksum of a document that identifies it as a base.
func Checksum(document []byte) uint32 { return crc32.Checksum(document, castagnoli()) }

// Encode returns the patch from base to document. With an empty base the document is only compressed.
func Encode(base, document []byte) (Patch, error) {
	options := []zstd.EOption{
		// The fastest level remembers too little of a base of more than a megabyte.
		zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		// The base is only of use if the window reaches back to its beginning.
		zstd.WithWindowSize(windowSize(len(base) + len(document))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return Patch{}, errors.Wrap(err, "create the encoder of a patch")
	}
	p := Patch{BaseChecksum: Checksum(base), Checksum: Checksum(document), Frame: encoder.EncodeAll(document, nil)}
	return p, errors.Wrap(encoder.Close(), "close the encoder of a patch")
}

// windowSize returns the smallest size of a window, which must be a power of two, that holds so many bytes.
func windowSize(bytes int) int {
	size := zstd.MinWindowSize
	for size < bytes && size < zstd.MaxWindowSize {
		size *= 2
	}
	return size
}

// Apply returns the document that the patch makes from base. A document of more than maxBytes is an error.
func (p Patch) Apply(base []byte, maxBytes int) ([]byte, error) {
	if Checksum(base) != p.BaseChecksum {
		return nil, ErrOtherBase
	}
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(max(1, maxBytes)))}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "create the decoder of a patch")
	}
	defer decoder.Close()
	document, err := decoder.DecodeAll(p.Frame, nil)
	if err != nil {
		return nil, errors.Wrap(err, "decode a patch")
	}
	if Checksum(document) != p.Checksum {
		return nil, errDamaged
	}
	return document, nil
}
