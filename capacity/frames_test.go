//go:build !race

package capacity

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"maps"
	"net"
	"sync"

	"dogwoodglade/io/inner"
)

// frameMeter counts the frames on an agent's connections, and their bytes, by method. Replies are counted under
// the name "reply".
type frameMeter struct {
	mu     sync.Mutex
	bytes  map[string]int
	frames map[string]int
}

func newFrameMeter() *frameMeter {
	return &frameMeter{bytes: map[string]int{}, frames: map[string]int{}}
}

func (m *frameMeter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.bytes)
	clear(m.frames)
}

// total returns the number of bytes of all methods except the given ones.
func (m *frameMeter) total(except ...string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	sum := 0
	for _, n := range m.bytes {
		sum += n
	}
	for _, method := range except {
		sum -= m.bytes[method]
	}
	return sum
}

// snapshot returns the number of bytes and of frames by method.
func (m *frameMeter) snapshot() (bytes, frames map[string]int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.bytes), maps.Clone(m.frames)
}

func (m *frameMeter) dial(dial inner.DialFunc) inner.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &framedConn{Conn: conn, sent: frameCounter{meter: m}, received: frameCounter{meter: m}}, nil
	}
}

type framedConn struct {
	net.Conn
	sent, received frameCounter
}

func (c *framedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.sent.add(data[:n])
	return n, err
}

func (c *framedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.received.add(data[:n])
	return n, err
}

// frameCounter splits one direction of a connection into frames and counts them.
type frameCounter struct {
	meter   *frameMeter
	pending []byte
}

func (f *frameCounter) add(data []byte) {
	f.pending = append(f.pending, data...)
	for {
		size, first := binary.Uvarint(f.pending)
		if first <= 0 {
			return
		}
		attached, second := binary.Uvarint(f.pending[first:])
		prefix := first + second
		end := prefix + int(size) + int(attached)
		if second <= 0 || len(f.pending) < end {
			return
		}
		var frame struct{ Method string }
		if json.Unmarshal(f.pending[prefix:prefix+int(size)], &frame) != nil || frame.Method == "" {
			frame.Method = "reply"
		}
		f.meter.mu.Lock()
		f.meter.bytes[frame.Method] += end
		f.meter.frames[frame.Method]++
		f.meter.mu.Unlock()
		f.pending = f.pending[end:]
	}
}
