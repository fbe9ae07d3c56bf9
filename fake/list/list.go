// Package list is a stand-in for the platform's list of instances, with its
// lag.
package list

import (
	"compress/gzip"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"goji.io"
	"goji.io/pat"

	iolist "sequoialead/io/list"
)

type edition struct {
	at    time.Time
	lines []iolist.Line
}

// Server is the stand-in. It serves HTTP.
type Server struct {
	mux *goji.Mux

	mu sync.Mutex
	// editions are in order of time; the last is the newest.
	editions []edition
	lag      time.Duration
	down     bool
}

// New returns a list that shows the instances given.
func New(lines []iolist.Line) *Server {
	s := &Server{mux: goji.NewMux(), editions: []edition{{lines: lines}}}
	s.mux.HandleFunc(pat.Get(iolist.Path), s.read)
	s.mux.HandleFunc(pat.Post(iolist.Path), s.replace)
	s.mux.HandleFunc(pat.Post("/fault"), s.fault)
	return s
}

var _ http.Handler = (*Server)(nil)

// ServeHTTP serves the list's clients and those that change it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Set replaces the list. Readers see it once the lag has passed.
func (s *Server) Set(lines []iolist.Line) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.editions = append(s.editions, edition{at: time.Now(), lines: lines})
}

// Fail sets the lag and whether the list is down.
func (s *Server) Fail(lag time.Duration, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag, s.down = lag, down
}

func (s *Server) visible(now time.Time) []iolist.Line {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := s.editions[0].lines
	for _, e := range s.editions[1:] {
		if now.Sub(e.at) >= s.lag {
			lines = e.lines
		}
	}
	return lines
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		http.Error(w, "the list is down", http.StatusServiceUnavailable)
		return
	}
	raw, err := json.Marshal(s.visible(time.Now()))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(raw))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, _ = w.Write(raw) // client gone
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	body := gzip.NewWriter(w)
	_, _ = body.Write(raw) // client gone
	_ = body.Close()
}

func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	var lines []iolist.Line
	if err := json.NewDecoder(r.Body).Decode(&lines); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(lines)
}

func (s *Server) fault(w http.ResponseWriter, r *http.Request) {
	var f struct {
		Lag  time.Duration `json:"lag"`
		Down bool          `json:"down"`
	}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Fail(f.Lag, f.Down)
}
