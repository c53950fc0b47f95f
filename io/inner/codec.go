package inner

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// frameCodec is a variant of the jsonrpc2 library's varint codec that limits the frame size in both directions and
// supports binary attachments. It does not pass the encoded message to the library's codec, which would encode it a
// second time.
//
// A frame consists of the length of the JSON message, the length of its attachment, the message and the attachment.
// The library scans a message several times to tell requests from responses. Data that is sent for every task is
// therefore sent as an attachment, which the JSON message refers to by name. Each connection has its own codec, and
// only one goroutine calls ReadObject.
type frameCodec struct {
	receivedAttachment []byte // attachment of the most recently read message; nil if it has none
	releaseFrame       func() // of that message
	incoming           *Incoming
	closeConn          func()      // interrupts ReadObject
	identified         atomic.Bool // whether the other process is known; until then, frames are small

	mu               sync.Mutex // guards the fields below
	lastAttachmentID uint64
	outgoing         map[string][]byte // attachments of messages not yet written, by name
}

var _ jsonrpc2.ObjectCodec = (*frameCodec)(nil)

// attachmentPrefix precedes the attachment's name in an encoded message. It does not occur in a message without an
// attachment, whose parameters are an object.
const attachmentPrefix = `"params":"@`

func newFrameCodec(incoming *Incoming, closeConn func()) *frameCodec {
	return &frameCodec{
		incoming: incoming, closeConn: closeConn, releaseFrame: func() {}, outgoing: map[string][]byte{},
	}
}

// attach registers an attachment and returns the parameters of the message that carries it. The caller must call detach
// after the message has been written.
func (c *frameCodec) attach(attachment []byte) (params json.RawMessage, detach func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastAttachmentID++
	name := strconv.FormatUint(c.lastAttachmentID, 36)
	c.outgoing[name] = attachment
	return json.RawMessage(`"@` + name + `"`), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.outgoing, name)
	}
}

// attachmentFor returns the registered attachment of an encoded message, or nil.
func (c *frameCodec) attachmentFor(data []byte) []byte {
	_, rest, ok := bytes.Cut(data, []byte(attachmentPrefix))
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
	attachment := c.attachmentFor(data)
	if size := len(data) + len(attachment); size > MaxFrame {
		return errors.WithStack(&FrameTooLargeError{Size: uint64(size), Limit: MaxFrame})
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
	c.releaseFrame()
	c.receivedAttachment, c.releaseFrame = nil, func() {}
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	attachmentSize, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	limit := c.incoming.maxFrame()
	if !c.identified.Load() {
		limit = maxHelloFrame
	}
	if size > limit || attachmentSize > limit-size {
		return errors.WithStack(&FrameTooLargeError{Size: max(size, attachmentSize), Limit: limit})
	}
	data, release, err := c.incoming.readFrame(stream, int(size+attachmentSize), c.closeConn)
	if err != nil {
		return err
	}
	c.releaseFrame = release
	if attachmentSize > 0 {
		c.receivedAttachment = data[size:]
	}
	return json.Unmarshal(data[:size], object)
}
