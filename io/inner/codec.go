package inner

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// boundedCodec is the varint codec of the library with a bound on the size of a frame in both directions. It
// writes the encoded frame itself, because the library would encode it a second time.
type boundedCodec struct{}

var _ jsonrpc2.ObjectCodec = boundedCodec{}

// WriteObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) WriteObject(stream io.Writer, object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	if len(data) > MaxFrame {
		return errors.WithStack(&FrameError{Size: uint64(len(data))})
	}
	var prefix [binary.MaxVarintLen64]byte
	if _, err := stream.Write(prefix[:binary.PutUvarint(prefix[:], uint64(len(data)))]); err != nil {
		return err
	}
	_, err = stream.Write(data)
	return err
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (boundedCodec) ReadObject(stream *bufio.Reader, object any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > MaxFrame {
		return errors.WithStack(&FrameError{Size: size})
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	return json.Unmarshal(data, object)
}
