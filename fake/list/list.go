// Package list is a fake of the platform's instance list, including its lag.
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

type version struct {
	setAt     time.Time
	instances []iolist.Instance
}

// Server is the fake list, served over HTTP.
type Server struct {
	mux *goji.Mux

	mu sync.Mutex
	// versions are ordered by time, the newest last.
	versions []version
	lag      time.Duration
	down     bool
}

// New returns a list of the given instances.
func New(instances []iolist.Instance) *Server {
	s := &Server{mux: goji.NewMux(), versions: []version{{instances: instances}}}
	s.mux.HandleFunc(pat.Get(iolist.Path), s.read)
	s.mux.HandleFunc(pat.Post(iolist.Path), s.replace)
	s.mux.HandleFunc(pat.Post("/fault"), s.serveFault)
	return s
}

var _ http.Handler = (*Server)(nil)

// ServeHTTP serves reads and changes of the list, and changes of the fault.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Set replaces the list. The new list is visible to readers after the lag.
func (s *Server) Set(instances []iolist.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, version{setAt: time.Now(), instances: instances})
}

// SetFault sets the lag and whether the list is down.
func (s *Server) SetFault(lag time.Duration, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag, s.down = lag, down
}

func (s *Server) visible(now time.Time) []iolist.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	instances := s.versions[0].instances
	for _, e := range s.versions[1:] {
		if now.Sub(e.setAt) >= s.lag {
			instances = e.instances
		}
	}
	return instances
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
		_, _ = w.Write(raw) // the client may have disconnected
		return
	}
	w.Header().Set("Content-Encoding", "gzip")
	body := gzip.NewWriter(w)
	_, _ = body.Write(raw) // writes to w; the client may have disconnected
	_ = body.Close()
}

func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	var instances []iolist.Instance
	if err := json.NewDecoder(r.Body).Decode(&instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(instances)
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var f struct {
		Lag  time.Duration `json:"lag"`
		Down bool          `json:"down"`
	}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFault(f.Lag, f.Down)
}
