package inner

import (
	"bufio"
	"context"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"dogwoodglade/internal/membudget"
)

const (
	// smallFrame is the size in bytes up to which the memory of frames is not counted. Nearly all frames are smaller.
	smallFrame = 16 << 10
	// jobRequestBytes is the memory of a job request besides its message and what is decoded from it.
	jobRequestBytes = 16 << 10
	// maxHelloFrame limits frames in bytes until the handshake.
	maxHelloFrame = 4 << 10
)

// IncomingLimits bound what a process keeps for the connections of the protocol. The zero value has the defaults.
type IncomingLimits struct {
	FrameBytes   int64 // of frames above 16 KiB that have not arrived completely; default: 64 MiB
	RequestBytes int64 // of the job requests that other entries have sent and that are not answered; default: 64 MiB
	MaxPending   int   // connections without a handshake; default: 256
}

// WithDefaults returns a copy with defaults in place of zeros.
func (l IncomingLimits) WithDefaults() IncomingLimits {
	if l.FrameBytes == 0 {
		l.FrameBytes = 64 << 20
	}
	if l.RequestBytes == 0 {
		l.RequestBytes = 64 << 20
	}
	if l.MaxPending == 0 {
		l.MaxPending = 256
	}
	return l
}

// Incoming is the memory that the connections of a process share. Create it with NewIncoming.
type Incoming struct {
	limits   IncomingLimits
	frames   *membudget.Budget
	requests *membudget.Quota
}

// NewIncoming returns memory within limits.
func NewIncoming(limits IncomingLimits) *Incoming {
	limits = limits.WithDefaults()
	return &Incoming{
		limits: limits, frames: membudget.New(limits.FrameBytes), requests: membudget.NewQuota(limits.RequestBytes),
	}
}

// maxFrame returns the largest frame that fits. While a frame grows, the previous buffer is kept.
func (in *Incoming) maxFrame() uint64 {
	return min(MaxFrame, uint64(in.limits.FrameBytes/3*2))
}

// requestMemory is the memory of a job request: one reservation for its message, and one for the request and what is
// decoded from the message. A connection decodes one message at a time.
type requestMemory struct {
	releaseMessage, releaseDecoded func()
}

// reserveRequest reserves the memory of a job request of an encoded size, or reports false.
func (in *Incoming) reserveRequest(encoded int) (m requestMemory, ok bool) {
	large := encoded > smallFrame
	if m.releaseMessage, ok = in.requests.TryReserve(int64(encoded), large); !ok {
		return m, false
	}
	if m.releaseDecoded, ok = in.requests.TryReserve(int64(encoded)+jobRequestBytes, large); !ok {
		m.releaseMessage()
	}
	return m, ok
}

func (m requestMemory) release() {
	m.releaseMessage()
	m.releaseDecoded()
}

type requestMemoryKey struct{}

// decodeSubmission decodes the message of a submission, which is not needed after that.
func (p *Peer) decodeSubmission(ctx context.Context, message json.RawMessage, params any) error {
	p.decoding.Lock()
	defer p.decoding.Unlock()
	if err := decodeParams(message, params); err != nil {
		return err
	}
	if m, ok := ctx.Value(requestMemoryKey{}).(requestMemory); ok {
		m.releaseMessage()
	}
	return nil
}

// readFrame reads a frame into a buffer that grows with what arrives. If others need its memory, it calls refused and
// fails. release returns the memory; the frame must not be used after that.
func (in *Incoming) readFrame(
	stream *bufio.Reader, size int, refused func(),
) (frame []byte, release func(), err error) {
	if size <= smallFrame {
		frame = make([]byte, size)
		_, err = io.ReadFull(stream, frame)
		return frame, func() {}, err
	}
	share := in.frames.Open(refused)
	for len(frame) < size {
		next := min(max(2*len(frame), smallFrame), size)
		if !share.Reserve(next) {
			share.Close()
			return nil, nil, errors.WithStack(&MemoryError{})
		}
		larger := make([]byte, next)
		copy(larger, frame)
		if _, err := io.ReadFull(stream, larger[len(frame):]); err != nil {
			share.Close()
			return nil, nil, err
		}
		share.Shrink(len(frame))
		frame = larger
	}
	if !share.Complete() {
		share.Close()
		return nil, nil, errors.WithStack(&MemoryError{})
	}
	return frame, share.Close, nil
}

// MemoryError reports a frame that was not read, because the frames that arrive use all memory reserved for them.
type MemoryError struct{}

// Error implements error.
func (*MemoryError) Error() string { return "read frame: too many unfinished frames" }

// BusyError reports a job request that the peer refused for lack of memory. The peer has not handled it.
type BusyError struct{ Peer string }

// Error implements error.
func (e *BusyError) Error() string {
	return "send request: " + e.Peer + " is busy; send it again later"
}
