package inner

import (
	"bytes"
	"compress/flate"
	"errors"
	"reflect"
	"testing"

	"dogwoodglade/core/allocator"
)

// Guards against compression that alters a heartbeat: the allocator would free or keep the wrong slots.
func TestHeartbeatCompressionRoundTrip(t *testing.T) {
	for _, servers := range [][]allocator.BackendServer{
		{},
		{{ID: "server-1", Agent: "agent-1", Incarnation: "1", Pool: "p", DataCentre: "d", Slots: 8, Leaving: true}},
		{{ID: "server-1", Slots: 8, Grants: []string{"e/p/1/1", "e/p/1/2"}}, {ID: "server-2", Slots: 4}},
	} {
		compressed, err := compressServers(servers)
		if err != nil {
			t.Fatalf("compress: %v", err)
		}
		got, err := decompressServers(compressed)
		if err != nil || !reflect.DeepEqual(got, servers) {
			t.Errorf("got %v, %v, want %v", got, err, servers)
		}
	}
}

// Guards against a small frame that decompresses without limit and exhausts the memory of an entry.
func TestOversizedHeartbeatIsRejected(t *testing.T) {
	var compressed bytes.Buffer
	w, err := flate.NewWriterDict(&compressed, flate.BestSpeed, heartbeatDictionary)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(make([]byte, MaxFrame+1)); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	var tooLarge *FrameTooLargeError
	if _, err := decompressServers(compressed.Bytes()); !errors.As(err, &tooLarge) {
		t.Errorf("got %v, want a FrameTooLargeError", err)
	}
	if _, err := decompressServers([]byte("no DEFLATE stream")); err == nil {
		t.Error("a malformed stream: got no error")
	}
}
