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
	// formatFlate begins a datagram whose rest is an envelope compressed with dictionary. A datagram that begins with
	// any other byte is an envelope as it is.
	formatFlate = 0x01
	// flateLevel is the lowest that makes use of a dictionary.
	flateLevel = 2
	// maxMessage bounds what one datagram expands to.
	maxMessage = 1 << 20
)

// dictionary holds what messages have in common, the most frequent last. Both sides need the same text, so a change of
// it needs a format of its own.
const dictionary = `{"Kind":"EntryState","Body":{"Boot":"","Heard":[],"IsLeaving":false,"Known":[{"Address":"10.","Vm":"` +
	`"}],"OneWay":[],"Sequence":,"Spent":[{"Organisation":"","Tokens":}],"Tables":[{"Table":"","Version":}],"Vm":""}}` +
	`{"Kind":"EngineState","Body":{"Adapters":{"Loading":[],"Resident":[{"Adapter":"a1","IsUsed":true,"Model":"","Version":1},` +
	`{"Adapter":"a2","Model":"","Version":1}]},"Address":"10.1.0.:8420","Boot":"","Born":17,"IsDown":false,"NextWithinMilliseconds":290,` +
	`"Running":1,"Sequence":1,"TotalTokens":232000,"UnreadTokens":0,"UsedTokens":1,"Waiting":0}}` +
	`{"Kind":"EntryDemand","Body":{"Boot":"","EndpointId":"i-","Sequence":1,"UnreadTokens":0,"Used":[` +
	`{"Adapter":"a","Model":"","Open":0,"Recent":1,"Version":0},{"Adapter":"a1","Model":"","Open":1,"Recent":2,"Version":0}],"Vm":"","Wanted":[]}}`

// compressor is one writer with its output.
type compressor struct {
	out    bytes.Buffer
	writer *flate.Writer
}

var compressors = sync.Pool{New: func() any {
	c := &compressor{}
	w, err := flate.NewWriterDict(&c.out, flateLevel, []byte(dictionary))
	if err != nil {
		// The level is a constant that the package knows.
		panic(err)
	}
	c.writer = w
	return c
}}

// encode returns the datagram for a message.
func encode(kind string, message any) ([]byte, error) {
	plain, err := json.Marshal(struct {
		Kind string
		Body any
	}{kind, message})
	if err != nil {
		return nil, errors.Wrap(err, "encode a message")
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
		return nil, errors.Wrap(err, "compress a message")
	}
	if err := c.writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress a message")
	}
	if c.out.Len() >= len(plain) {
		return plain, nil
	}
	return bytes.Clone(c.out.Bytes()), nil
}

// decompressor is used by the one goroutine that receives.
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

// decode returns the envelope of a datagram. It is valid until the next call.
func (d *decompressor) decode(packet []byte) (envelope, error) {
	var e envelope
	if len(packet) == 0 || packet[0] != formatFlate {
		return e, errors.Wrap(json.Unmarshal(packet, &e), "decode a message")
	}
	d.in.Reset(packet[1:])
	resetter, ok := d.reader.(flate.Resetter)
	if !ok {
		return e, errors.New("the decompressor can't be used again; use one per message")
	}
	if err := resetter.Reset(&d.in, []byte(dictionary)); err != nil {
		return e, errors.Wrap(err, "expand a message")
	}
	d.out.Reset()
	if _, err := d.out.ReadFrom(io.LimitReader(d.reader, maxMessage+1)); err != nil {
		return e, errors.Wrap(err, "expand a message")
	}
	if d.out.Len() > maxMessage {
		return e, errors.Newf("a message expands to more than %d bytes; its sender is faulty", maxMessage)
	}
	return e, errors.Wrap(json.Unmarshal(d.out.Bytes(), &e), "decode a message")
}
