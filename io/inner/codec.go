package inner

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// frameCodec is the varint codec of the library with a bound on the size of a frame in both directions. It
// writes the encoded frame itself, because the library would encode it a second time.
//
// A frame is the length of the JSON message, the length of its attachment, the message, and the attachment. The
// library scans a message several times to tell requests from responses, so that what is sent for every task goes
// into an attachment, and the message only names it. A connection has a codec of its own, which is read by one
// goroutine.
type frameCodec struct {
	received []byte // the attachment of the message that was read last; nil if it has none

	mu       sync.Mutex // guards what follows
	next     uint64
	outgoing map[string][]byte // attachments of messages that are not written yet, by their parameter
}

var _ jsonrpc2.ObjectCodec = (*frameCodec)(nil)

// attachmentMark begins the parameters of a message with an attachment. Other parameters are objects.
const attachmentMark = `"params":"@`

func newFrameCodec() *frameCodec { return &frameCodec{outgoing: map[string][]byte{}} }

// attach keeps an attachment until its message is written, and returns the parameters of that message. forget has to be
// called after the write.
func (c *frameCodec) attach(attachment []byte) (params json.RawMessage, forget func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	name := strconv.FormatUint(c.next, 36)
	c.outgoing[name] = attachment
	return json.RawMessage(`"@` + name + `"`), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.outgoing, name)
	}
}

// attachmentOf returns the attachment of an encoded message.
func (c *frameCodec) attachmentOf(data []byte) []byte {
	_, rest, ok := bytes.Cut(data, []byte(attachmentMark))
	if !ok {
		return nil
	}
	name, _, _ := bytes.Cut(rest, []byte{'"'})
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outgoing[string(name)]
}

// WriteObject implements jsonrpc2.ObjectCodec.
func (c *frameCodec) WriteObject(stream io.Writer, object any) error {
	data, err := json.Marshal(object)
	if err != nil {
		return errors.Wrap(err, "encode frame")
	}
	attachment := c.attachmentOf(data)
	if size := len(data) + len(attachment); size > MaxFrame {
		return errors.WithStack(&FrameError{Size: uint64(size)})
	}
	prefix := binary.AppendUvarint(make([]byte, 0, 2*binary.MaxVarintLen64), uint64(len(data)))
	prefix = binary.AppendUvarint(prefix, uint64(len(attachment)))
	for _, part := range [][]byte{prefix, data, attachment} {
		if _, err := stream.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// ReadObject implements jsonrpc2.ObjectCodec.
func (c *frameCodec) ReadObject(stream *bufio.Reader, object any) error {
	c.received = nil
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	attached, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > MaxFrame || attached > MaxFrame-size {
		return errors.WithStack(&FrameError{Size: max(size, attached)})
	}
	data := make([]byte, size+attached)
	if _, err := io.ReadFull(stream, data); err != nil {
		return err
	}
	if attached > 0 {
		c.received = data[size:]
	}
	return json.Unmarshal(data[:size], object)
}
