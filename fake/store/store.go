// Package store is a fake of the record store of the users' platform, including
// outages, slowness, lost answers, lost history and returns from an older copy.
package store

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"goji.io"
	"goji.io/pat"
)

const (
	maxBody = 2 << 20
	maxWait = 30 * time.Second
	// pageItems is the maximum number of keys in one answer with the newest records.
	pageItems = 500
	// pageBytes is the maximum size of the records in one answer. An answer holds at least
	// one record.
	pageBytes = 1 << 20
)

// Fault is the set of faults currently injected.
type Fault struct {
	// Down answers all requests with status 503.
	Down bool
	// Silent never answers.
	Silent bool
	// LoseAnswers executes requests, but closes the connection without an answer.
	LoseAnswers bool
	// Delay is added to the time of each request.
	Delay time.Duration
}

type record struct {
	key   string
	value []byte
}

type topic struct {
	// first is the offset of records[0].
	first         uint64
	records       []record
	newestOffsets map[string]uint64
	newestValues  map[string][]byte
	changed       chan struct{}
}

// Server is the fake store, served over HTTP.
type Server struct {
	mux *goji.Mux

	mu     sync.Mutex
	topics map[string]*topic
	fault  Fault
	calls  int
	era    uint64
}

// Snapshot is a copy of all records.
type Snapshot struct{ topics map[string]*topic }

var _ http.Handler = (*Server)(nil)

// New returns an empty store in its first era.
func New() *Server {
	s := &Server{mux: goji.NewMux(), topics: map[string]*topic{}, era: 1}
	s.mux.HandleFunc(pat.Get("/sequoialead/log-read"), s.serveRead)
	s.mux.HandleFunc(pat.Get("/sequoialead/log-newest"), s.serveNewest)
	s.mux.HandleFunc(pat.Post("/sequoialead/log-append"), s.serveAppend)
	return s
}

// SetFault replaces the injected faults.
func (s *Server) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Snapshot copies all records.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{topics: copyTopics(s.topics)}
}

// Restore replaces all records by those of an earlier snapshot and begins a new era. Offsets
// after the end of the snapshot are given out again.
func (s *Server) Restore(snapshot Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		close(t.changed)
	}
	s.topics = copyTopics(snapshot.topics)
	s.era++
}

func copyTopics(topics map[string]*topic) map[string]*topic {
	copied := make(map[string]*topic, len(topics))
	for name, t := range topics {
		copied[name] = &topic{
			first: t.first, records: slices.Clone(t.records), changed: make(chan struct{}),
			newestOffsets: maps.Clone(t.newestOffsets), newestValues: maps.Clone(t.newestValues),
		}
	}
	return copied
}

// Calls returns the number of requests received.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP serves one request under the current faults.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	f := s.fault
	setEra(w, s.era)
	s.mu.Unlock()
	time.Sleep(f.Delay)
	switch {
	case f.Silent:
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after the body was read
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case f.LoseAnswers:
		s.mux.ServeHTTP(discard{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	default:
		s.mux.ServeHTTP(w, r)
	}
}

// setEra sets the era of an answer.
func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
}

// discard is a response writer for requests that are executed without an answer.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

// Put appends a record, as the operator or a backend server would, and returns its
// offset. An empty value deletes the key.
func (s *Server) Put(name, key string, value []byte) uint64 {
	offset, _, _ := s.putAt(name, key, value, nil)
	return offset
}

// Newest returns the newest value of a key; nil if there is none.
func (s *Server) Newest(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).newestValues[key]
}

// Values returns the values of all records of a key that are kept, oldest first.
func (s *Server) Values(name, key string) [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var values [][]byte
	for _, rec := range s.topic(name).records {
		if rec.key == key {
			values = append(values, rec.value)
		}
	}
	return values
}

// putAt appends a record and returns its offset and the era. If a revision is given and the
// topic does not end there, it appends nothing and returns the end.
func (s *Server) putAt(name, key string, value []byte, revision *uint64) (offset, era uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset = t.first + uint64(len(t.records))
	if revision != nil && *revision != offset {
		return offset, s.era, false
	}
	t.records = append(t.records, record{key: key, value: value})
	t.newestOffsets[key] = offset
	t.newestValues[key] = value
	if len(value) == 0 {
		delete(t.newestOffsets, key)
		delete(t.newestValues, key)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return offset, s.era, true
}

// DropHistory deletes the history of a topic; the newest record of each key is kept.
func (s *Server) DropHistory(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += uint64(len(t.records))
	t.records = nil
}

func (s *Server) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newestOffsets: map[string]uint64{}, newestValues: map[string][]byte{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait := 0 * time.Millisecond
	if text := r.URL.Query().Get("wait_ms"); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		wait = min(time.Duration(ms)*time.Millisecond, maxWait)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for waiting := wait > 0; ; {
		raw, status, era, changed := s.encodeSince(r.URL.Query().Get("topic"), from)
		if status != http.StatusOK || len(raw) > 16 || !waiting {
			setEra(w, era)
			w.WriteHeader(status)
			_, _ = w.Write(raw) // the client may have disconnected
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// encodeSince returns the body, status and era of an answer with the records from an offset
// on, and a channel that is closed when the topic gets a new record.
func (s *Server) encodeSince(name string, from uint64) (raw []byte, status int, era uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	end := t.first + uint64(len(t.records))
	if from < t.first || from > end {
		return []byte(`{"first":` + strconv.FormatUint(t.first, 10) + `}`), http.StatusGone, s.era, t.changed
	}
	raw = binary.BigEndian.AppendUint64(nil, end)
	raw = binary.BigEndian.AppendUint64(raw, t.first)
	for at := from; at < end; at++ {
		rec := t.records[at-t.first]
		if at > from && len(raw)+len(rec.key)+len(rec.value) > pageBytes {
			break
		}
		raw = binary.BigEndian.AppendUint32(raw, uint32(1+len(rec.key)+len(rec.value)))
		raw = append(raw, byte(len(rec.key)))
		raw = append(raw, rec.key...)
		raw = append(raw, rec.value...)
	}
	return raw, http.StatusOK, s.era, t.changed
}

type newestItem struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset uint64 `json:"offset"`
}

func (s *Server) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	setEra(w, s.era)
	t := s.topic(r.URL.Query().Get("topic"))
	var keys []string
	for key := range t.newestOffsets {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	answer := struct {
		Items     []newestItem `json:"items"`
		Truncated bool         `json:"truncated"`
		End       uint64       `json:"end"`
	}{Items: []newestItem{}, End: t.first + uint64(len(t.records))}
	size := 0
	for i, key := range keys {
		size += len(t.newestValues[key])
		if i == pageItems || i > 0 && size > pageBytes {
			answer.Truncated = true
			break
		}
		answer.Items = append(answer.Items, newestItem{Key: key, Value: base64.StdEncoding.EncodeToString(t.newestValues[key]), Offset: t.newestOffsets[key]})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // the client may have disconnected
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil || len(raw) < 5 || len(raw) < 5+int(raw[4]) {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	size := int(raw[4])
	var revision *uint64
	if text := r.URL.Query().Get("store_revision"); text != "" {
		end, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		revision = &end
	}
	offset, era, ok := s.putAt(r.URL.Query().Get("topic"), string(raw[5:5+size]), raw[5+size:], revision)
	setEra(w, era)
	w.Header().Set("Content-Type", "application/json")
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]uint64{"end": offset}) // the client may have disconnected
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]uint64{"offset": offset, "end": offset + 1}) // the client may have disconnected
}
