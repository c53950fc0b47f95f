package inner

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"dogwoodglade/core/allocator"
)

// heartbeatParams holds the backend servers as JSON compressed with DEFLATE. Heartbeats make up most of an agent's
// control traffic, and the IDs of grants and runs in them compress well because they repeat.
type heartbeatParams struct{ Compressed []byte }

// heartbeatDictionary is the preset DEFLATE dictionary, made of text that every list of backend servers contains.
// Both ends must use the same dictionary, so a change needs a new protocol version.
var heartbeatDictionary = []byte(`"],"Grants":null},"Grants":["","DataCentre":"","Slots":8,"Leaving":true,` +
	`"Leaving":false,"Grants":null},{"ID":"","Agent":"","Incarnation":"","Pool":""`)

var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriterDict(nil, flate.DefaultCompression, heartbeatDictionary)
	if err != nil {
		panic(err) // only an invalid compression level causes an error
	}
	return w
}}

func compressServers(servers []allocator.BackendServer) ([]byte, error) {
	data, err := json.Marshal(servers)
	if err != nil {
		return nil, errors.Wrap(err, "encode heartbeat")
	}
	var compressed bytes.Buffer
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&compressed)
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "compress heartbeat")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress heartbeat")
	}
	return compressed.Bytes(), nil
}

// decompressServers returns a FrameTooLargeError if the decompressed heartbeat is larger than MaxFrame.
func decompressServers(compressed []byte) ([]allocator.BackendServer, error) {
	r := flate.NewReaderDict(bytes.NewReader(compressed), heartbeatDictionary)
	data, err := io.ReadAll(io.LimitReader(r, MaxFrame+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress heartbeat")
	}
	if len(data) > MaxFrame {
		return nil, errors.WithStack(&FrameTooLargeError{Size: uint64(len(data)), Limit: MaxFrame})
	}
	var servers []allocator.BackendServer
	return servers, errors.Wrap(json.Unmarshal(data, &servers), "decode heartbeat")
}

// Heartbeat sends the state of the agent's backend servers to an entry.
func (p *Peer) Heartbeat(servers []allocator.BackendServer) bool {
	compressed, err := compressServers(servers)
	return err == nil && p.notify(methodHeartbeat, heartbeatParams{Compressed: compressed})
}

func heartbeatMethod(h AgentEventHandler) method {
	return notificationMethod(func(p *Peer, message json.RawMessage) error {
		var params heartbeatParams
		if err := decodeParams(message, &params); err != nil {
			return err
		}
		servers, err := decompressServers(params.Compressed)
		if err != nil {
			return err
		}
		h.Heartbeat(p, servers)
		return nil
	})
}
