package gossiper

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// formatFlate is the first byte of a datagram that contains an envelope compressed with dictionary. A datagram with
	// any other first byte is an uncompressed envelope.
	formatFlate = 0x01
	// formatForward is the first byte of a datagram that the recipient forwards without this byte. What follows is a
	// datagram of another format, so that a forwarded datagram is not forwarded again.
	formatForward = 0x02
	// compressionLevel is the lowest compression level that uses a dictionary.
	compressionLevel = 2
	// maxDecompressedSize is the maximum decompressed size of a datagram.
	maxDecompressedSize = 1 << 20
)

// dictionary is the preset DEFLATE dictionary: typical messages, the most frequent last. Sender and receiver must use
// the same dictionary, so a change to it requires a new format byte.
const dictionary = `{"Kind":"EntryState","Body":{"Boot":"","Heard":[],"IsLeaving":false,"Known":[{"Address":"10.","Vm":"` +
	`"}],"OneWay":[],"Sequence":,"Spent":[{"Organisation":"","Tokens":}],"Tables":[{"Table":"","Version":}],"Vm":""}}` +
	`{"Kind":"EngineState","Body":{"Adapters":{"Loading":[],"Resident":[{"Adapter":"a1","IsUsed":true,"Model":"","Version":1},` +
	`{"Adapter":"a2","Model":"","Version":1}]},"Address":"10.1.0.:8420","Boot":"","Born":17,"IsDown":false,"NextWithinMilliseconds":290,` +
	`"Running":1,"Sequence":1,"TotalTokens":232000,"UnreadTokens":0,"UsedTokens":1,"Waiting":0}}` +
	`{"Kind":"EntryDemand","Body":{"Boot":"","EndpointId":"i-","Sequence":1,"UnreadTokens":0,"Used":[` +
	`{"Adapter":"a","Model":"","Open":0,"Recent":1,"Version":0},{"Adapter":"a1","Model":"","Open":1,"Recent":2,"Version":0}],"Vm":"","Wanted":[]}}`

// compressor is a DEFLATE writer with its output buffer.
type compressor struct {
	out    bytes.Buffer
	writer *flate.Writer
}

var compressors = sync.Pool{New: func() any {
	c := &compressor{}
	w, err := flate.NewWriterDict(&c.out, compressionLevel, []byte(dictionary))
	if err != nil {
		// NewWriterDict fails only for an invalid compression level, and the level is a constant.
		panic(err)
	}
	c.writer = w
	return c
}}

// encode returns the datagram for a message: compressed, or plain JSON if that is no larger.
func encode(kind string, message any) ([]byte, error) {
	plain, err := json.Marshal(struct {
		Kind string
		Body any
	}{kind, message})
	if err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	c, ok := compressors.Get().(*compressor)
	if !ok {
		return plain, nil
	}
	defer compressors.Put(c)
	c.out.Reset()
	c.out.WriteByte(formatFlate)
	c.writer.Reset(&c.out)
	if _, err := c.writer.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress message")
	}
	if err := c.writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress message")
	}
	if c.out.Len() >= len(plain) {
		return plain, nil
	}
	return bytes.Clone(c.out.Bytes()), nil
}

// decompressor decodes datagrams. It is not safe for concurrent use; only the receiving goroutine uses it.
type decompressor struct {
	in     bytes.Reader
	reader io.ReadCloser
	out    bytes.Buffer
}

func newDecompressor() *decompressor {
	d := &decompressor{}
	d.reader = flate.NewReaderDict(&d.in, []byte(dictionary))
	return d
}

// decode returns the envelope of a datagram, which is valid until the next call.
func (d *decompressor) decode(packet []byte) (envelope, error) {
	var e envelope
	if len(packet) == 0 || packet[0] != formatFlate {
		return e, errors.Wrap(json.Unmarshal(packet, &e), "decode message")
	}
	d.in.Reset(packet[1:])
	resetter, ok := d.reader.(flate.Resetter)
	if !ok {
		return e, errors.New("the DEFLATE reader does not implement flate.Resetter")
	}
	if err := resetter.Reset(&d.in, []byte(dictionary)); err != nil {
		return e, errors.Wrap(err, "decompress message")
	}
	d.out.Reset()
	if _, err := d.out.ReadFrom(io.LimitReader(d.reader, maxDecompressedSize+1)); err != nil {
		return e, errors.Wrap(err, "decompress message")
	}
	if d.out.Len() > maxDecompressedSize {
		return e, errors.Newf("message exceeds %d bytes after decompression; its sender is faulty", maxDecompressedSize)
	}
	return e, errors.Wrap(json.Unmarshal(d.out.Bytes(), &e), "decode message")
}
