package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMB      int   `json:"mem_mb"`
	EstimateMS int   `json:"estimate_ms"`
	After      []int `json:"after,omitempty"`
}

type job struct {
	Spec       string `json:"spec"`
	BestEffort bool   `json:"best_effort"`
	Steps      []step `json:"steps"`
}

// answer is what a client sees of a request. Its status is 0 if there was no complete answer.
type answer struct {
	status int
	body   string
	at     time.Time
}

// call sends a request of a client on a connection of its own.
func (s *site) call(ctx context.Context, method, front, id string, deadline time.Duration, body any) answer {
	data, _ := json.Marshal(body)
	if body == nil {
		data = nil
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+queue+id, bytes.NewReader(data))
	if err != nil {
		return answer{}
	}
	request.Host, request.GetBody = host, nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Dogwoodglade-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	s.record.add("client: %s %s%s to %s %s", method, queue, id, front, data)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	a := answer{at: time.Now()}
	if err == nil {
		defer response.Body.Close()
		read, readErr := io.ReadAll(response.Body)
		if err = readErr; err == nil {
			a.status, a.body, a.at = response.StatusCode, string(read), time.Now()
		}
	}
	s.record.add("client: %s %s at %s: %d %s %v", method, id, front, a.status, a.body, err)
	return a
}

// submit hands a job in and returns a channel with the answer.
func (s *site) submit(ctx context.Context, front, id string, deadline time.Duration, j job) <-chan answer {
	result := make(chan answer, 1)
	go func() { result <- s.call(ctx, http.MethodPost, front, id, deadline, j) }()
	return result
}

// awaitServing waits until a front machine is ready and serves jobs in a row.
func (s *site) awaitServing(fronts ...int) error {
	for _, number := range fronts {
		served := 0
		for i := 0; i < 200 && served < 3; i++ {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			id := fmt.Sprintf("%08x%08x", 0xa0000000+number, i)
			w := workload{MS: []int{20}, CPU: 500}
			a := s.call(ctx, http.MethodPost, s.front(number), id, time.Second,
				job{Spec: w.spec(), BestEffort: true, Steps: []step{{Count: 1, CPU: 500, MemMB: 64, EstimateMS: 20}}})
			cancel()
			if a.status == http.StatusOK {
				served++
			} else {
				served = 0
				time.Sleep(50 * time.Millisecond)
			}
		}
		if served < 3 {
			return fmt.Errorf("front %d does not serve", number)
		}
	}
	// All machines are in touch then, and the agents have settled: in the first seconds some change their entry.
	time.Sleep(2 * contact)
	return nil
}

// awaitMisses checks the readiness of a front machine once a second, as the platform does, and returns when a number of
// checks in a row got no response, or one that is not 200.
func (s *site) awaitMisses(number, misses int) {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for missed := 0; missed < misses; {
		began := time.Now()
		response, err := client.Get("http://" + s.address(frontHosts, number, readyPort) + "/api/readiness")
		if err == nil {
			_ = response.Body.Close()
		}
		if err != nil || response.StatusCode != http.StatusOK {
			missed++
			s.record.add("platform: front %d misses a readiness check", number)
		} else {
			missed = 0
		}
		if missed < misses {
			time.Sleep(time.Second - time.Since(began))
		}
	}
	s.record.add("platform: front %d is out of rotation", number)
}
