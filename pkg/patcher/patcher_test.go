package patcher_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"geraniumladder/pkg/patcher"
)

const maxBytes = 8 << 20

// routes returns a document of many similar entries, as a configuration is.
func routes(from, to int) []byte {
	var b bytes.Buffer
	for i := from; i < to; i++ {
		r := rand.New(rand.NewPCG(1, uint64(i)))
		fmt.Fprintf(&b, `{"host":"h-%05x.example","kind":"streaming","name":"r-%07x","prefix":"/p-%06x/","service":"engine","timeout_ms":%d,"max_attempts":2},`,
			r.Uint32N(1<<20), r.Uint32N(1<<28), r.Uint32N(1<<24), 1000+r.IntN(9000))
	}
	return b.Bytes()
}

// TestPatchRestoresDocument guards against a patch that restores another document than the original, or that is applied
// to another base.
func TestPatchRestoresDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "base")
		document := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "document")
		if rapid.Bool().Draw(t, "similar") {
			at := rapid.IntRange(0, len(base)).Draw(t, "at")
			document = slices.Concat(base[:at], document, base[at:])
		}
		p, err := patcher.Encode(base, document)
		assert.NilError(t, err)
		restored, err := p.Apply(base, maxBytes)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(restored, document))
		_, err = p.Apply(append(slices.Clone(base), 'x'), maxBytes)
		assert.Assert(t, errors.Is(err, patcher.ErrOtherBase))
	})
}

// TestPatchIsSmall guards against a removed key that is sent with all routes, and against routes that are sent
// uncompressed.
func TestPatchIsSmall(t *testing.T) {
	old, grown := routes(0, 4000), routes(0, 6000)
	p, err := patcher.Encode(old, grown)
	assert.NilError(t, err)
	t.Logf("%d bytes to %d bytes: %d bytes", len(old), len(grown), len(p.Frame))
	assert.Assert(t, len(p.Frame) < (len(grown)-len(old))/5)
	key := []byte(`{"name":"accra","api_keys":["k1","k2"]}`)
	p, err = patcher.Encode(slices.Concat(grown, key), slices.Concat(grown, bytes.Replace(key, []byte(`,"k2"`), nil, 1)))
	assert.NilError(t, err)
	t.Logf("a removed key: %d bytes", len(p.Frame))
	assert.Assert(t, len(p.Frame) < len(grown)/1000)
	large := routes(0, 20000)
	p, err = patcher.Encode(slices.Concat(large, key), slices.Concat(large, bytes.Replace(key, []byte(`,"k2"`), nil, 1)))
	assert.NilError(t, err)
	t.Logf("a removed key of %d bytes: %d bytes", len(large), len(p.Frame))
	assert.Assert(t, len(p.Frame) < len(large)/1000)
	p, err = patcher.Encode(nil, grown)
	assert.NilError(t, err)
	t.Logf("whole: %d bytes", len(p.Frame))
	assert.Assert(t, len(p.Frame) < len(grown)/5)
}

// TestPatchIsBounded guards against a small patch whose document fills the memory.
func TestPatchIsBounded(t *testing.T) {
	p, err := patcher.Encode(nil, make([]byte, maxBytes+1))
	assert.NilError(t, err)
	_, err = p.Apply(nil, maxBytes)
	assert.Assert(t, err != nil)
}

func FuzzApply(f *testing.F) {
	p, err := patcher.Encode([]byte("a base"), []byte("a base and more"))
	assert.NilError(f, err)
	f.Add([]byte("a base"), p.Frame, p.Checksum)
	f.Fuzz(func(t *testing.T, base, frame []byte, checksum uint32) {
		document, err := patcher.Patch{BaseChecksum: patcher.Checksum(base), Checksum: checksum, Frame: frame}.Apply(base, 1<<16)
		assert.Assert(t, err != nil || len(document) <= 1<<16)
	})
}

// BenchmarkEncode measures the cost of a patch between two configurations of a megabyte.
func BenchmarkEncode(b *testing.B) {
	old, grown := routes(0, 7000), routes(0, 8000)
	for b.Loop() {
		_, err := patcher.Encode(old, grown)
		assert.NilError(b, err)
	}
}
