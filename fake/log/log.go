// Package log is a fake of the platform's append-only log, including outages,
// slowness, lost answers and limited retention.
package log

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"

	iolog "sequoialead/io/log"
)

const (
	maxRecord = 8 << 20
	maxWait   = 30 * time.Second
	maxBatch  = 1024
)

type stream struct {
	records []iolog.Record
	// oldest is the offset of records[0], or the next offset if there is none.
	oldest  uint64
	changed chan struct{}
}

// Server is the fake log, served over HTTP.
type Server struct {
	mux *goji.Mux

	mu      sync.Mutex
	streams map[string]*stream
	fault   Fault
	appends uint64
	reads   uint64
}

// Fault is the set of faults currently injected.
type Fault struct {
	// Down answers all appends and reads with status 503. Nothing is appended.
	Down bool `json:"down"`
	// FailReads fails reads, but not appends.
	FailReads bool `json:"mute"`
	// LoseAnswers is the number of appends whose answers are dropped after the
	// record was appended.
	LoseAnswers int `json:"lose"`
	// Delay delays each append once, and each read twice: before and after it waits
	// for records.
	Delay time.Duration `json:"delay"`
	// Keep is the number of records that each stream retains; 0 for all.
	Keep int `json:"keep"`
}

// New returns an empty log.
func New() *Server {
	s := &Server{mux: goji.NewMux(), streams: map[string]*stream{}}
	s.mux.HandleFunc(pat.Post("/streams/:stream"), s.append)
	s.mux.HandleFunc(pat.Get("/streams/:stream"), s.read)
	s.mux.HandleFunc(pat.Post("/fault"), s.serveFault)
	s.mux.HandleFunc(pat.Get("/stats"), s.stats)
	return s
}

var _ http.Handler = (*Server)(nil)

// ServeHTTP serves the log's clients, and requests that set faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// SetFault replaces the injected faults.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	for _, st := range s.streams {
		st.trim(f.Keep)
	}
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f)
}

func (s *Server) stats(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]uint64{"appends": s.appends, "reads": s.reads}) // the client may have disconnected
}

func (st *stream) trim(keep int) {
	if keep > 0 && len(st.records) > keep {
		cut := len(st.records) - keep
		st.records = append([]iolog.Record(nil), st.records[cut:]...)
		st.oldest += uint64(cut)
	}
}

func (s *Server) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// applyFaults applies Delay, Down and FailReads to a request. It reports false if the
// request must not continue: it then has sent an error, or the client disconnected.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	f := s.fault
	s.mu.Unlock()
	select {
	case <-time.After(f.Delay):
	case <-r.Context().Done():
		return false
	}
	failing := f.Down || f.FailReads && r.Method == http.MethodGet
	if failing {
		http.Error(w, "the log is down", http.StatusServiceUnavailable)
	}
	return !failing
}

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecord))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.applyFaults(w, r) {
		return
	}
	offset, lost := s.appendRecord(pat.Param(r, "stream"), data)
	if lost {
		panic(http.ErrAbortHandler) // the connection closes without an answer
	}
	_ = json.NewEncoder(w).Encode(iolog.AppendResult{Offset: offset}) // the client may have disconnected
}

func (s *Server) appendRecord(name string, data []byte) (offset uint64, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.appends++
	st := s.stream(name)
	offset = st.oldest + uint64(len(st.records))
	st.records = append(st.records, iolog.Record{Offset: offset, Time: time.Now(), Data: data})
	st.trim(s.fault.Keep)
	close(st.changed)
	st.changed = make(chan struct{})
	if s.fault.LoseAnswers > 0 {
		s.fault.LoseAnswers--
		return offset, true
	}
	return offset, false
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	wait, werr := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || werr != nil {
		http.Error(w, "query parameters from and wait are required", http.StatusBadRequest)
		return
	}
	if !s.applyFaults(w, r) {
		return
	}
	batch := s.waitForRecords(r, pat.Param(r, "stream"), from, min(wait, maxWait))
	if s.applyFaults(w, r) {
		_ = json.NewEncoder(w).Encode(batch) // the client may have disconnected
	}
}

func (s *Server) waitForRecords(r *http.Request, name string, from uint64, wait time.Duration) iolog.Batch {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed := s.batch(name, from)
		if len(batch.Records) > 0 || from < batch.Oldest {
			return batch
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch
		case <-r.Context().Done():
			return batch
		}
	}
}

func (s *Server) batch(name string, from uint64) (iolog.Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	st := s.stream(name)
	next := st.oldest + uint64(len(st.records))
	b := iolog.Batch{Oldest: st.oldest, Next: next}
	if from < next {
		first := max(from, st.oldest) - st.oldest
		last := min(first+maxBatch, uint64(len(st.records)))
		b.Records = append(b.Records, st.records[first:last]...)
	}
	return b, st.changed
}
