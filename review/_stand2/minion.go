package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	beat         = 1500 * time.Millisecond
	holdMax      = time.Second
	stopTime     = 30 * time.Millisecond
	minionCPU    = 32000
	resolution   = 2 * time.Millisecond
	minionMemory = 65536
)

// workload is the spec of the jobs: the run time of a task by step, in milliseconds, and its demand.
type workload struct {
	MS  []int
	CPU int
}

func (w workload) spec() string {
	data, _ := json.Marshal(w)
	return string(data)
}

// span is one run of a task as seen by its minion.
type span struct {
	minion, task string
	number       int
	start, end   time.Time // end is zero while it runs
	how          string
	late         bool // the order was carried out late
}

// minion is a stand-in of a minion, as PROTOCOL.md describes it. It guards its capacity.
type minion struct {
	name, id string
	control  string // where it sends its heartbeats
	record   *record
	born     time.Time

	mu        sync.Mutex
	seq       int
	token     uint64
	leaseEnd  time.Duration
	runs      map[string]*minionRun
	highest   map[string]int // highest run that was stopped or ended, by task
	ended     []endedRow
	sequence  uint64
	changed   chan struct{}
	spans     []*span
	suspended bool
	lost      time.Duration // by which the steady clock is behind: it does not count a suspension
	stopAt    time.Time     // when the suspension began
	// delayStart decides about an order to start: 0 means at once, otherwise it gets no answer and is carried out so much
	// later. It is called with mu held.
	delayStart func(task string) time.Duration
	closed     bool
	capacity   int
	ignores    bool      // it starts whatever it is told to, also beyond its capacity
	mute       bool      // its heartbeats do not reach the control address
	heldUntil  time.Time // its first heartbeat is held up by a cut until then, and the next ones until then are lost
	crashed    bool
	address    string
	server     *http.Server
	over       []overload
	shrunkAt   time.Time
	beatSoon   chan time.Duration // the next heartbeat is sent so much later
}

// overload is a start beyond the capacity.
type overload struct {
	at   time.Time
	task string
	used int
}

type minionRun struct {
	span   *span
	cpu    int
	whole  time.Duration
	left   time.Duration
	stopAt time.Time
}

type endedRow struct {
	n    uint64
	task string
	run  int
	how  string
}

func newMinion(s *site, number int) (*minion, error) { return newCutMinion(s, number, 0) }

// newCutMinion starts a minion that is cut off from its control address right after it has sent its first heartbeat.
func newCutMinion(s *site, number int, cut time.Duration) (*minion, error) {
	m := &minion{
		name: fmt.Sprintf("minion-%d", number), id: fmt.Sprintf("i-%08x", 0x7f3a91c0+number),
		control: s.address(sideHosts, number, controlPort), record: s.record, born: time.Now(),
		runs: map[string]*minionRun{}, highest: map[string]int{}, changed: make(chan struct{}), capacity: minionCPU,
		address: s.address(sideHosts, number, appPort), beatSoon: make(chan time.Duration, 1),
	}
	if cut > 0 {
		m.heldUntil = m.born.Add(cut)
	}
	if err := m.listen(); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	go m.tick(done)
	go m.beats(done)
	s.closers = append(s.closers, func() {
		m.mu.Lock()
		m.closed = true
		m.mu.Unlock()
		close(done)
		_ = m.server.Close()
	})
	return m, nil
}

func (m *minion) listen() error {
	listener, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /api/run-start", m.handle(m.start))
	mux.HandleFunc("POST /api/run-stop", m.handle(m.stop))
	mux.HandleFunc("POST /api/hold", m.hold)
	server := &http.Server{Handler: mux}
	m.server = server
	go func() { _ = server.Serve(listener) }()
	return nil
}

// crash ends the minion and all its runs. It is dark then: calls get no answer, and no connection is reset.
func (m *minion) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.record.add("%s: crashes, and is dark", m.name)
	for task := range m.runs {
		m.end(task, "crashed")
	}
	m.crashed = true
}

// restart starts the minion again under the ID that it had. It knows nothing of before, and its counts start anew. Its
// first heartbeat is sent after the given time.
func (m *minion) restart(firstBeat time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed, m.born, m.lost, m.seq, m.token, m.leaseEnd, m.sequence = false, time.Now(), 0, 0, 0, 0, 0
	m.highest, m.ended = map[string]int{}, nil
	m.record.add("%s: starts again as %s", m.name, m.id)
	m.beatSoon <- firstBeat
}

// shrink changes the capacity. The heartbeats show it.
func (m *minion) shrink(cpu int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.capacity, m.shrunkAt = cpu, time.Now()
	m.record.add("%s: its capacity is %d from now on", m.name, cpu)
}

// awaitBeat waits until the minion has just sent a heartbeat.
func (m *minion) awaitBeat() {
	m.mu.Lock()
	seq := m.seq
	m.mu.Unlock()
	for {
		m.mu.Lock()
		sent := m.seq > seq
		m.mu.Unlock()
		if sent {
			time.Sleep(50 * time.Millisecond)
			return
		}
		time.Sleep(resolution)
	}
}

// setMute sets whether the heartbeats get lost.
func (m *minion) setMute(mute bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mute = mute
	m.record.add("%s: cut off from its control address: %v", m.name, mute)
}

// clock is the reading of the steady clock. It is called with mu held.
func (m *minion) clock() time.Duration {
	now := time.Now()
	if m.suspended {
		now = m.stopAt
	}
	return now.Sub(m.born) - m.lost
}

// suspend makes the minion stand still, as its machine does: it answers nothing, and its steady clock does not go on.
func (m *minion) suspend() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspended, m.stopAt = true, time.Now()
}

func (m *minion) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost += time.Since(m.stopAt)
	m.suspended = false
}

// await waits until the minion is not suspended, and locks it.
func (m *minion) await() {
	for {
		m.mu.Lock()
		if !m.suspended || m.closed {
			return
		}
		m.mu.Unlock()
		time.Sleep(resolution)
	}
}

func (m *minion) tick(done chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-time.After(resolution):
		}
		m.await()
		now := time.Now()
		elapsed := min(now.Sub(last), 10*resolution) // nothing goes on during a suspension
		last = now
		for task, r := range m.runs {
			r.left -= elapsed
			switch {
			case m.clock() > m.leaseEnd:
				m.end(task, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				m.end(task, "stopped")
			case r.left <= 0:
				m.end(task, "done")
			}
		}
		m.mu.Unlock()
	}
}

func (m *minion) end(task, how string) {
	r := m.runs[task]
	delete(m.runs, task)
	m.highest[task] = max(m.highest[task], r.span.number)
	m.sequence++
	m.ended = append(m.ended, endedRow{m.sequence, task, r.span.number, how})
	r.span.end, r.span.how = time.Now(), how
	m.record.add("%s: task %s run %d ends %s", m.name, task, r.span.number, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) beats(done chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		m.await()
		m.seq++
		body, _ := json.Marshal(map[string]any{
			"service": service, "address": "minion", "zone": zones[0], "version": "v1", "slots": 8, "state": "ready",
			"cold_remaining_ms": 0, "capacity": map[string]int{"cpu": m.capacity, "mem_mb": minionMemory, "gpu": 0},
			"labels": []string{"a", "r1-1"}, "clock_ms": m.clock().Milliseconds(), "seq_no": m.seq, "born": m.born.UnixMilli(),
		})
		silent, wait, shown := m.mute || m.crashed, beat, m.capacity
		if time.Now().Before(m.heldUntil) {
			silent = true
			if m.seq == 1 {
				m.record.add("%s: the first heartbeat, with the capacity %d, is held up", m.name, shown)
				time.AfterFunc(time.Until(m.heldUntil), func() { m.deliver(client, body, shown) })
			}
		}
		m.mu.Unlock()
		if !silent {
			if !m.deliver(client, body, shown) {
				wait = 300 * time.Millisecond
			}
		}
		select {
		case <-done:
			return
		case soon := <-m.beatSoon:
			time.Sleep(soon)
		case <-time.After(wait):
		}
	}
}

// deliver sends a heartbeat. It reports whether there was an answer.
func (m *minion) deliver(client *http.Client, body []byte, shown int) bool {
	request, _ := http.NewRequest(http.MethodPut, "http://"+m.control+"/api/instances/"+m.id, bytes.NewReader(body))
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	if shown != minionCPU || !m.heldUntil.IsZero() {
		m.record.add("%s: a heartbeat with the capacity %d is answered with %d", m.name, shown, response.StatusCode)
	}
	return true
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	UntilMS      int64  `json:"until_ms"`
	FencingToken uint64 `json:"fencing_token"`
	AckCursor    uint64 `json:"ack_cursor"`
	WaitMS       int64  `json:"wait_ms"`
}

type reply struct {
	ClockMS int64   `json:"clock_ms"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

func (m *minion) reply(reason string) reply {
	return reply{ClockMS: m.clock().Milliseconds(), Born: m.born.UnixMilli(), Reason: reason}
}

func send(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (m *minion) handle(do func(o order, late bool) (int, reply)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		m.await()
		if m.crashed {
			m.mu.Unlock()
			<-r.Context().Done()
			return
		}
		if id := r.Header.Get("X-Dogwoodglade-Expect-Instance"); id != "" && id != m.id {
			m.mu.Unlock()
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if o.Spec != "" && m.delayStart != nil {
			if delay := m.delayStart(o.Task); delay > 0 {
				m.record.add("%s: the order to start %s run %d (until_ms %d, token %d) at %d ms gets no answer, and is carried out %v later",
					m.name, o.Task, o.Run, o.UntilMS, o.FencingToken, m.clock().Milliseconds(), delay)
				m.mu.Unlock()
				time.AfterFunc(delay, func() {
					m.await()
					defer m.mu.Unlock()
					if m.crashed {
						m.record.add("%s: the late order for %s run %d finds no process", m.name, o.Task, o.Run)
						return
					}
					status, a := do(o, true)
					m.record.add("%s: the late order for %s run %d is carried out at %d ms: %d %s", m.name, o.Task, o.Run,
						m.clock().Milliseconds(), status, a.Reason)
				})
				<-r.Context().Done()
				return
			}
		}
		status, a := do(o, false)
		m.mu.Unlock()
		send(w, status, a)
	}
}

func (m *minion) fenced(token uint64) bool {
	if token < m.token {
		return true
	}
	m.token = token
	return false
}

func (m *minion) extend(untilMS int64) {
	m.leaseEnd = max(m.leaseEnd, min(time.Duration(untilMS)*time.Millisecond, m.clock()+holdMax))
}

func (m *minion) start(o order, late bool) (int, reply) {
	if m.fenced(o.FencingToken) {
		return http.StatusConflict, m.reply("fence")
	}
	var w workload
	step, ok := stepOf(o.Task)
	if !ok || json.Unmarshal([]byte(o.Spec), &w) != nil || step >= len(w.MS) || o.Run < 1 {
		return http.StatusBadRequest, m.reply("")
	}
	if time.Duration(o.UntilMS)*time.Millisecond <= m.clock() {
		return http.StatusConflict, m.reply("late")
	}
	m.extend(o.UntilMS)
	if r, ok := m.runs[o.Task]; ok && r.span.number == o.Run {
		return http.StatusOK, m.reply("")
	}
	if o.Run <= m.highest[o.Task] {
		return http.StatusConflict, m.reply("old")
	}
	used := 0
	for _, r := range m.runs {
		used += r.cpu
	}
	if used+w.CPU > m.capacity {
		if !m.ignores {
			return http.StatusConflict, m.reply("room")
		}
		m.over = append(m.over, overload{time.Now(), o.Task, used + w.CPU})
	}
	x := &span{minion: m.name, task: o.Task, number: o.Run, start: time.Now(), late: late}
	m.spans = append(m.spans, x)
	whole := time.Duration(w.MS[step]) * time.Millisecond
	m.runs[o.Task] = &minionRun{span: x, cpu: w.CPU, whole: whole, left: whole}
	m.record.add("%s: task %s run %d starts (token %d)", m.name, o.Task, o.Run, o.FencingToken)
	return http.StatusOK, m.reply("")
}

// stepOf returns the step in a task's name, ID.K.STEP.INDEX.
func stepOf(task string) (int, bool) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return 0, false
	}
	step, err := strconv.Atoi(parts[2])
	return step, err == nil && step >= 0
}

func (m *minion) stop(o order, _ bool) (int, reply) {
	if m.fenced(o.FencingToken) {
		return http.StatusConflict, m.reply("fence")
	}
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if r, ok := m.runs[o.Task]; ok && r.span.number <= o.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
		m.record.add("%s: task %s run %d is told to stop", m.name, o.Task, o.Run)
	}
	return http.StatusOK, m.reply("")
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.await()
	if m.crashed {
		m.mu.Unlock()
		<-r.Context().Done()
		return
	}
	born := m.born
	if id := r.Header.Get("X-Dogwoodglade-Expect-Instance"); id != "" && id != m.id {
		m.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if m.fenced(o.FencingToken) {
		a := m.reply("fence")
		m.mu.Unlock()
		send(w, http.StatusConflict, a)
		return
	}
	if o.UntilMS > 0 {
		m.extend(o.UntilMS)
	}
	for len(m.ended) > 0 && m.ended[0].n <= o.AckCursor {
		m.ended = m.ended[1:]
	}
	end := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond)
	for len(m.ended) == 0 && time.Now().Before(end) && !m.closed && !m.crashed {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(end)):
		case <-r.Context().Done():
			return
		}
		m.await()
	}
	if m.crashed || m.born != born {
		m.mu.Unlock()
		<-r.Context().Done() // the process that got the call has ended
		return
	}
	a := m.reply("")
	a.Running, a.Ended = [][]any{}, [][]any{}
	for task, x := range m.runs {
		a.Running = append(a.Running, []any{task, x.span.number, "", int(100 * (x.whole - x.left) / x.whole), x.cpu})
	}
	for _, e := range m.ended[:min(len(m.ended), 500)] {
		a.Ended = append(a.Ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	m.mu.Unlock()
	send(w, http.StatusOK, a)
}

// taken returns the runs of a job's tasks so far.
func (m *minion) taken(job string) []span {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []span
	for _, x := range m.spans {
		if strings.HasPrefix(x.task, job+".") {
			list = append(list, *x)
		}
	}
	return list
}
