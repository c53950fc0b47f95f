package main

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
)

// Guards against a task that starts twice: after the loss of an entry and an agent, the command requested a new
// ticket for a key that had been submitted before. The new owner took the ticket as proof that the key was new.
func TestSubmitRequestsTicketOnlyForNewKey(t *testing.T) {
	for _, c := range []struct {
		flags []string
		want  []string
	}{
		{nil, []string{"/v1/jobs"}},
		{[]string{"--new"}, []string{"/v1/tickets", "/v1/jobs"}},
	} {
		var mu sync.Mutex
		var paths []string
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			paths = append(paths, r.URL.Path)
			_, _ = w.Write([]byte(`{"State":"Complete"}`))
		}))
		arguments := append([]string{
			"dogwoodglade", "submit", "-e", strings.TrimPrefix(server.URL, "http://"),
			"-r", "sample", "-c", "atlas", "-k", "key-1",
		}, c.flags...)
		_ = execute(append(arguments, "hello"))
		server.Close()
		if !slices.Equal(paths, c.want) {
			t.Errorf("flags %v: got calls to %v, want %v", c.flags, paths, c.want)
		}
	}
}
