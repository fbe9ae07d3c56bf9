package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

func init() { cases["stages"] = playStages }

const (
	// extraShare of the answers of extraServers of the servers of the stage come twice, as
	// with garble, how = "extra late", share = 0.6, x = 0.03.
	extraShare   = 0.03
	extraServers = 3
	stageServers = 5
	callTime     = 240 * time.Millisecond
	itemTime     = 21 * time.Millisecond
)

// piece is a result that a server of the stage holds.
type piece struct {
	request string
	freed   bool
}

// results knows all results of all servers by handle.
type results struct {
	mu     sync.Mutex
	pieces map[string]*piece
	extras int
	calls  int
}

// stageServer is a runner that makes pieces. It speaks on the connection itself, since a
// faulty one sends an answer a second time where the next answer is expected.
type stageServer struct {
	p       *played
	results *results
	id      string
	addr    string
	faulty  bool
	// turn is held by the call that runs.
	turn sync.Mutex

	mu   sync.Mutex
	made int
}

func (s *stageServer) start(p *played, service string) error {
	s.p = p
	l, err := listen()
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	p.register(s.id, service, s.addr, "akl-a", 1)
	return nil
}

func (s *stageServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	var again []byte
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if again != nil {
			if _, err := conn.Write(again); err != nil {
				return
			}
			again = nil
		}
		answer, isCall := s.answer(q, body)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if isCall && s.faulty && s.p.trouble && rand.Float64() < extraShare {
			again = answer
			s.results.mu.Lock()
			s.results.extras++
			s.results.mu.Unlock()
		}
	}
}

// answer returns the bytes of the answer to a call, and whether it makes pieces.
func (s *stageServer) answer(q *http.Request, body []byte) ([]byte, bool) {
	if expect := q.Header.Get("Expect-Instance"); expect != "" && expect != s.id {
		return encode(q, http.StatusMisdirectedRequest, map[string]string{"Instance-Id": s.id}, nil), false
	}
	var call struct {
		Items []struct {
			ID    string `json:"id"`
			Stage int    `json:"stage"`
			Piece int    `json:"piece"`
			Key   string `json:"key"`
		} `json:"items"`
		Handles []string `json:"handles"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return encode(q, http.StatusBadRequest, nil, nil), false
	}
	switch q.URL.Path {
	case "/sequoialead/stage-free":
		s.results.mu.Lock()
		defer s.results.mu.Unlock()
		for _, h := range call.Handles {
			if r := s.results.pieces[h]; r != nil {
				r.freed = true
			}
		}
		return encode(q, http.StatusOK, nil, []byte("{}")), false
	case "/sequoialead/stage-run":
	default:
		return encode(q, http.StatusNotFound, nil, nil), false
	}
	s.turn.Lock()
	time.Sleep(callTime + time.Duration(len(call.Items))*itemTime)
	s.turn.Unlock()
	type item struct {
		Handle string `json:"handle"`
	}
	var answer struct {
		Items []item `json:"items"`
	}
	var ids []string
	s.results.mu.Lock()
	s.results.calls++
	for _, i := range call.Items {
		s.made++
		h := fmt.Sprintf("%s/%06x", s.addr, s.made)
		s.results.pieces[h] = &piece{request: i.ID}
		answer.Items = append(answer.Items, item{Handle: h})
		ids = append(ids, i.ID)
	}
	s.results.mu.Unlock()
	s.p.note("%s made pieces of %s: %v", s.id, strings.Join(ids, ","), answer.Items)
	raw, err := json.Marshal(answer)
	if err != nil {
		panic(err) // the answer can be encoded
	}
	return encode(q, http.StatusOK, map[string]string{"Content-Type": "application/json", "Instance-Load": "0,0,1"}, raw), true
}

// encode returns an answer, with the ID of the call if it has one.
func encode(q *http.Request, status int, header map[string]string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	if id := q.Header.Get("Request-Id"); id != "" {
		fmt.Fprintf(&b, "Request-Id: %s\r\n", id)
	}
	for _, name := range sortedKeys(header) {
		fmt.Fprintf(&b, "%s: %s\r\n", name, header[name])
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// model is a model runner. It reads the inputs of a request when the request begins.
type model struct {
	p       *played
	results *results
	id      string
	// prefill is the time to the first event.
	prefill time.Duration
	mu      sync.Mutex
	ran     map[string]bool
	refused int
}

func (m *model) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if expect := q.Header.Get("Expect-Instance"); expect != "" && expect != m.id {
		w.Header().Set("Instance-Id", m.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	inputs := strings.Split(q.Header.Get("Inputs"), ",")
	if status := m.check(id, inputs); status != 0 {
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(status)
		return
	}
	w.Header().Set("Response-Stamp", m.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	control := http.NewResponseController(w)
	_ = control.Flush()
	time.Sleep(m.prefill)
	for n := 1; n <= 3; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id)
		_ = control.Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// check returns the status with which a request is refused, or 0 if it runs. It records
// inputs that belong to another request.
func (m *model) check(id string, inputs []string) int {
	m.results.mu.Lock()
	var foreign []string
	for _, h := range inputs {
		r := m.results.pieces[h]
		if r == nil || r.freed {
			m.results.mu.Unlock()
			m.mu.Lock()
			m.refused++
			m.mu.Unlock()
			m.p.note("%s refuses %s with 409: input %q is gone", m.id, id, h)
			return http.StatusConflict
		}
		if r.request != id {
			foreign = append(foreign, h+" of "+r.request)
		}
	}
	m.results.mu.Unlock()
	m.mu.Lock()
	m.ran[id] = true
	m.mu.Unlock()
	m.p.note("%s runs %s with inputs %v", m.id, id, inputs)
	if len(foreign) > 0 {
		m.p.breach("MIXED: %s runs %s with inputs of another request: %v", m.id, id, foreign)
	}
	return 0
}

// startModels starts model runners of the service llm.
func startModels(p *played, shared *results, count int) ([]*model, error) {
	var models []*model
	for i := range count {
		m := &model{p: p, results: shared, id: fmt.Sprintf("i-llm-%d", i+1), prefill: 400 * time.Millisecond, ran: map[string]bool{}}
		l, err := listen()
		if err != nil {
			return nil, err
		}
		server := &httptest.Server{Listener: l, Config: &http.Server{Handler: m}}
		server.Start()
		p.register(m.id, "llm", l.Addr().String(), "akl-a", 64)
		models = append(models, m)
	}
	return models, nil
}

// playStages sends requests with one stage, while some servers of the stage send a second
// copy of some answers, late.
func playStages(p *played) error {
	p.store.putJSON("keyed.op", "config", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-draft", "host": "draft.example", "path_prefix": "/draft/", "kind": "streaming", "timeout_ms": 12000, "slo_ms": 1900, "priority": 0,
			"service": "llm", "max_attempts": 2, "public": true, "sticky": true, "resumable": true, "gap_aim_ms": 300,
			"stages": []any{map[string]any{"service": "roster", "after": []int{}, "bytes": 8000}},
		}},
		"services": []any{
			map[string]any{"name": "llm", "health_path": "/healthz", "max_conns": 280, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 23.0, "engine": map[string]any{"slots": 64, "kv_tokens": 444000}},
			map[string]any{"name": "roster", "health_path": "/healthz", "max_conns": 280, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0,
				"pieces": map[string]any{"slots": 1, "queue": 2, "batch": 10, "call_ms": 240.0, "item_ms": 21.0, "room_mb": 12.0, "handle_s": 4.0, "link_mbps": 10000}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	shared := &results{pieces: map[string]*piece{}}
	for i := range stageServers {
		s := &stageServer{id: fmt.Sprintf("i-roster-%d", i+1), results: shared, faulty: i < extraServers}
		if err := s.start(p, "roster"); err != nil {
			return err
		}
	}
	models, err := startModels(p, shared, 3)
	if err != nil {
		return err
	}
	if err := p.startGates("akl-a", "akl-b"); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	const length, gap = 70 * time.Second, 85 * time.Millisecond
	var mu sync.Mutex
	var all []sent
	var requesters sync.WaitGroup
	for n, until := 0, time.Now().Add(length); time.Now().Before(until); n++ {
		g := p.gates[n%len(p.gates)]
		requesters.Go(func() {
			s := send(g.name, g.front(), request{
				id: fmt.Sprintf("%016x", 0x1c41d07b00000000+n), method: http.MethodPost, path: "/draft/a", host: "draft.example", body: "prompt", deadline: 12 * time.Second,
				header: map[string]string{"Model": "m", "Token-Count": "600,30", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:100,%x:500", 0x10000+n), "Pieces": "1", "Piece-Key": "7c1e07a291bd"},
			})
			mu.Lock()
			defer mu.Unlock()
			all = append(all, s)
		})
		time.Sleep(gap/2 + rand.N(gap))
	}
	requesters.Wait()
	served, refused := 0, 0
	for _, s := range all {
		p.note("%s sent at %d to %s, answered %d at %d (%v)", s.id, p.ms(s.at), s.gate, s.status, p.ms(s.ended), s.err)
		if s.status == http.StatusOK {
			served++
		}
	}
	for _, m := range models {
		refused += m.refused
	}
	p.note("%d requests, %d served; %d calls of the stage, %d answers sent a second time; %d requests refused with 409", len(all), served, shared.calls, shared.extras, refused)
	if served < len(all)*8/10 {
		return fmt.Errorf("only %d of %d requests were served", served, len(all))
	}
	return nil
}
