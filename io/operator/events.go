package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"dogwoodglade/core/event"
)

const (
	// eventsAtOnce is the number of events that a response holds in memory at a time. All events of a process take some
	// 20 MB while they are encoded, and clients may read slowly.
	eventsAtOnce = 64
	// eventsTimeout limits the time for writing a response.
	eventsTimeout = 15 * time.Second
)

// writeEvents writes the events of the process that match the filter and were stored when the request arrived. Events that
// the process forgets while the client reads are left out.
func writeEvents(w http.ResponseWriter, c Config, filter event.Filter) {
	head, err := json.Marshal(eventsResponse{Process: c.Process, Events: []event.Event{}})
	if err != nil {
		writeResponse(w, nil, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(head[:len(head)-len("]}")])
	buffer := make([]event.Event, eventsAtOnce)
	until := time.Now().Add(eventsTimeout)
	encoder := json.NewEncoder(w)
	separator := ""
	for position, end := uint64(0), c.Recorder.Position(); position < end; {
		var n int
		n, position = c.Recorder.Read(position, buffer[:min(eventsAtOnce, end-position)])
		for _, e := range filter.Apply(buffer[:n]) {
			if _, err = io.WriteString(w, separator); err == nil {
				err = encoder.Encode(e)
			}
			separator = ","
		}
		if err != nil || time.Now().After(until) {
			// Ends the connection, so that the client does not take what it has got for the whole response.
			panic(http.ErrAbortHandler)
		}
	}
	_, _ = io.WriteString(w, "]}\n") // a client that has disconnected gets no response
}
