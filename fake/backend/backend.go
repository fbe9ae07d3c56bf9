// Package backend is a fake of the backend servers of the users' platform: plain
// services, model engines, and servers that make pieces, the units of work of a stage.
package backend

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Options configures a backend server.
type Options struct {
	ID string
	// Addr is the server's address. Each handle, the name of a result that the server
	// holds, starts with it.
	Addr string
	// Slots is the capacity that the server reports: the number of requests that can
	// run at once. It is not enforced.
	Slots int
	// ServiceTime is the time of a request, or to the first event of a stream.
	ServiceTime time.Duration
	// Events is the number of events of a stream. If it is 0, answers are not streams.
	Events int
	// EventInterval is the time between events.
	EventInterval time.Duration
	// Room is the maximum number of results held.
	Room int
	// Version is the version in the server's record; empty for none.
	Version string
	// FailEach makes each request, or call for pieces, with a number that it divides fail
	// with status 500; 0 for none.
	FailEach int
}

// Fault is a fault injected into one request.
type Fault string

// The faults that can be injected.
const (
	// FaultNone serves the request.
	FaultNone Fault = ""
	// FaultShed refuses the request without running it.
	FaultShed Fault = "shed"
	// FaultLose records the request as run, but closes the connection without an
	// answer.
	FaultLose Fault = "lose"
	// FaultCut breaks off in the middle of the answer, after two events of a
	// stream and a part of the third.
	FaultCut Fault = "cut"
	// FaultError answers with status 500.
	FaultError Fault = "error"
	// FaultWrongID answers with the ID of another request.
	FaultWrongID Fault = "stranger"
	// FaultUnstamped omits the Response-Stamp header, by which a gateway recognizes
	// that an answer is the backend server's own.
	FaultUnstamped Fault = "unstamped"
)

// Arrival is the record of one request that arrived.
type Arrival struct {
	ID     string
	Method string
	Target string
	Header http.Header
	Body   string
	Ran    bool
}

// Server is the fake backend server.
type Server struct {
	opts Options

	mu        sync.Mutex
	faults    []Fault
	arrivals  []Arrival
	running   int
	madeCount int
	// wrongInputs describes the inputs that belong to another request or that the same
	// request or piece listed twice.
	wrongInputs []string
	results     map[string]bool
	pieceCalls  int
	// said holds the headers that go with each answer; see Say.
	said map[string]string
	// refusing is set while all requests and calls are refused; see Refuse.
	refusing bool
	// crashPart is the part of a prompt under which the server breaks off all requests that
	// are running; empty for none.
	crashPart string
	onCrash   func()
	// running requests listen on crash, which is closed and replaced at a crash.
	crash chan struct{}
}

var _ http.Handler = (*Server)(nil)

// New returns a backend server that holds no results.
func New(opts Options) *Server {
	return &Server{opts: opts, results: map[string]bool{}, crash: make(chan struct{})}
}

// Inject appends faults for the next requests, one for each.
func (s *Server) Inject(faults ...Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, faults...)
}

// Say adds headers to every answer from now on: what a server says of itself, such as that it
// is leaving. Nil ends it.
func (s *Server) Say(headers map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.said = headers
}

// Refuse refuses all requests and calls that make pieces from now on, or ends that.
func (s *Server) Refuse(refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = refusing
}

// CrashOn makes the server break off everything that is running when it begins to answer a
// request with a part of a prompt, given in hexadecimal. It calls onCrash each time.
func (s *Server) CrashOn(part string, onCrash func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashPart, s.onCrash = part, onCrash
}

// crashes reports whether the server breaks off at a request, and breaks off the others.
func (s *Server) crashes(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashPart == "" || !strings.Contains(","+r.Header.Get("Prompt-Prefix"), ","+s.crashPart+":") {
		return false
	}
	close(s.crash)
	s.crash = make(chan struct{})
	s.onCrash()
	return true
}

// run waits for a time. It reports false if the server has crashed meanwhile.
func (s *Server) run(d time.Duration) bool {
	s.mu.Lock()
	crash := s.crash
	s.mu.Unlock()
	select {
	case <-time.After(d):
		return true
	case <-crash:
		return false
	}
}

// ClearFaults removes the faults that were not injected yet.
func (s *Server) ClearFaults() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = nil
}

// Arrivals returns the records of all requests that arrived.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

// ResultCount returns the number of results held.
func (s *Server) ResultCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.results)
}

// WrongInputs returns a description of each input that belonged to another
// request or that the same request or piece listed twice.
func (s *Server) WrongInputs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.wrongInputs...)
}

// checkInputs records the inputs of a request, or of one of its pieces, that belong to
// another request or are listed twice. s.mu must be held.
func (s *Server) checkInputs(id string, inputs []string) {
	known := map[string]bool{}
	for _, input := range inputs {
		if known[input] || !strings.Contains(input, "/"+id+"-") {
			s.wrongInputs = append(s.wrongInputs, id+" with "+input)
		}
		known[input] = true
	}
}

// PieceCalls returns the number of calls that asked the server to make pieces.
func (s *Server) PieceCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pieceCalls
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != s.opts.ID {
		w.Header().Set("Instance-Id", s.opts.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	for name, value := range s.said {
		w.Header().Set(name, value)
	}
	refusing := s.refusing && r.URL.Path != "/sequoialead/stage-free"
	s.mu.Unlock()
	if refusing {
		s.refuse(w, r)
		return
	}
	switch r.URL.Path {
	case "/sequoialead/stage-run":
		s.make(w, r)
	case "/sequoialead/stage-free":
		s.free(w, r)
	default:
		s.serveRequest(w, r)
	}
}

// refuse records a request and refuses it.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, Arrival{ID: r.Header.Get("Request-Id"), Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone()})
	s.mu.Unlock()
	if id := r.Header.Get("Request-Id"); id != "" {
		w.Header().Set("Request-Id", id)
	}
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fault := s.recordArrival(r, string(body))
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header()["Content-Type"] = nil
	switch fault {
	case FaultShed:
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultLose:
		panic(http.ErrAbortHandler)
	case FaultWrongID:
		w.Header().Set("Request-Id", "somebody-else")
	}
	s.addRunning(1)
	defer s.addRunning(-1)
	if !s.run(s.opts.ServiceTime) {
		panic(http.ErrAbortHandler)
	}
	if fault != FaultUnstamped {
		w.Header().Set("Response-Stamp", s.opts.ID+"."+id)
	}
	w.Header().Set("Instance-Load", fmt.Sprintf("%d,0,%d", s.load(), s.opts.Slots))
	if fault == FaultError {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if s.opts.Events > 0 {
		s.stream(w, r, fault)
		return
	}
	answer := s.opts.ID + " answers " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if fault == FaultCut {
		_, _ = io.WriteString(w, answer[:5]) // truncated on purpose
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer) // the client may have disconnected
}

// stream sends events with increasing numbers, starting after the last one that the
// caller has.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, fault Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	if _ = control.Flush(); s.crashes(r) {
		panic(http.ErrAbortHandler)
	}
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		first = n + 1
	}
	for n := first; n <= s.opts.Events; n++ {
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
		if fault == FaultCut && n == first+2 {
			_, _ = io.WriteString(w, event[:7]) // truncated on purpose
			_ = control.Flush()                 // the client may have disconnected
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, event); err != nil || control.Flush() != nil {
			return
		}
		if !s.run(s.opts.EventInterval) {
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Server) recordArrival(r *http.Request, body string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault := FaultNone
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	} else if s.opts.FailEach > 0 && (len(s.arrivals)+1)%s.opts.FailEach == 0 {
		fault = FaultError
	}
	if inputs := r.Header.Get("Inputs"); inputs != "" {
		s.checkInputs(r.Header.Get("Request-Id"), strings.Split(inputs, ","))
	}
	s.arrivals = append(s.arrivals, Arrival{
		ID: r.Header.Get("Request-Id"), Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: body, Ran: fault != FaultShed,
	})
	return fault
}

func (s *Server) addRunning(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += n
}

func (s *Server) load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

func (s *Server) make(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Items []struct {
			ID     string   `json:"id"`
			Stage  int      `json:"stage"`
			Piece  int      `json:"piece"`
			Key    string   `json:"key"`
			Inputs []string `json:"inputs"`
		} `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(s.opts.ServiceTime)
	type item struct {
		Handle string `json:"handle,omitempty"`
		Reason string `json:"reason,omitempty"`
	}
	var answer struct {
		Items []item `json:"items"`
	}
	s.mu.Lock()
	s.pieceCalls++
	if s.opts.FailEach > 0 && s.pieceCalls%s.opts.FailEach == 0 {
		s.mu.Unlock()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	for _, i := range call.Items {
		s.checkInputs(i.ID, i.Inputs)
		if len(s.results) >= s.opts.Room || (i.Key == "") == (len(i.Inputs) == 0) {
			answer.Items = append(answer.Items, item{Reason: "room"})
			continue
		}
		s.madeCount++
		handle := fmt.Sprintf("%s/%s-%d-%d-%d", s.opts.Addr, i.ID, i.Stage, i.Piece, s.madeCount)
		s.results[handle] = true
		answer.Items = append(answer.Items, item{Handle: handle})
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Instance-Load", fmt.Sprintf("1,0,%d", s.opts.Slots))
	_ = json.NewEncoder(w).Encode(answer) // the client may have disconnected
}

func (s *Server) free(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Handles []string `json:"handles"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, handle := range call.Handles {
		delete(s.results, handle)
	}
	_, _ = io.WriteString(w, "{}") // the client may have disconnected
}
