package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in for the platform's store: a log, with keyed topics. It can come back
// from an older copy, as the news page tells.
type Store struct {
	appendTime time.Duration

	mu     sync.Mutex
	topics map[string]*topic
	era    int
	away   bool
	server *http.Server
	addr   string
	// appending is held while a partition takes an append.
	appending sync.Mutex
}

type record struct {
	key   string
	value []byte
}

type topic struct {
	records []record
	newest  map[string]uint64
}

func (t *topic) clone() *topic {
	c := &topic{records: append([]record(nil), t.records...), newest: map[string]uint64{}}
	for k, v := range t.newest {
		c.newest[k] = v
	}
	return c
}

func newStore() (*Store, error) {
	s := &Store{appendTime: 4 * time.Millisecond, topics: map[string]*topic{}, era: 1}
	listener, err := net.Listen("tcp", loopback()+":0")
	if err != nil {
		return nil, err
	}
	s.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /sequoialead/log-read", s.read)
	mux.HandleFunc("GET /sequoialead/log-newest", s.readNewest)
	mux.HandleFunc("POST /sequoialead/log-append", s.appendCall)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.Itoa(era))
		if away {
			w.WriteHeader(http.StatusServiceUnavailable) // nothing was done
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]uint64{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record and returns its offset and the moment of the acknowledgement. It
// reports false while the store is away.
func (s *Store) put(name, key string, value []byte) (offset uint64, acked time.Time, ok bool) {
	s.appending.Lock()
	defer s.appending.Unlock()
	time.Sleep(s.appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, time.Time{}, false
	}
	t := s.topic(name)
	offset = uint64(len(t.records))
	t.records = append(t.records, record{key, value})
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = offset
	}
	return offset, time.Now(), true
}

// copyNow returns a copy of all topics.
func (s *Store) copyNow() map[string]*topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := map[string]*topic{}
	for name, t := range s.topics {
		c[name] = t.clone()
	}
	return c
}

func (s *Store) setAway() {
	s.mu.Lock()
	s.away = true
	s.mu.Unlock()
}

// comeBack ends the absence, with an older copy.
func (s *Store) comeBack(older map[string]*topic) {
	s.mu.Lock()
	s.topics = map[string]*topic{}
	for name, t := range older {
		s.topics[name] = t.clone()
	}
	s.era++
	s.away = false
	s.mu.Unlock()
}

func (s *Store) end(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(name).records)
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.Now().Add(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		end := uint64(len(t.records))
		if from > end {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]uint64{"first": 0})
			return
		}
		raw := binary.BigEndian.AppendUint64(nil, end)
		raw = binary.BigEndian.AppendUint64(raw, 0)
		for _, rec := range t.records[from:] {
			if len(raw) > 16 && len(raw)+len(rec.value) > 1<<20 {
				break
			}
			raw = binary.BigEndian.AppendUint32(raw, uint32(1+len(rec.key)+len(rec.value)))
			raw = append(raw, byte(len(rec.key)))
			raw = append(raw, rec.key...)
			raw = append(raw, rec.value...)
		}
		s.mu.Unlock()
		if from < end || !time.Now().Before(until) {
			_, _ = w.Write(raw)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *Store) readNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset uint64 `json:"offset"`
	}
	answer := struct {
		Items     []item `json:"items"`
		Truncated bool   `json:"truncated"`
		End       uint64 `json:"end"`
	}{Items: []item{}}
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	answer.End = uint64(len(t.records))
	var keys []string
	for key := range t.newest {
		if key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for i, key := range keys {
		if i == 500 {
			answer.Truncated = true
			break
		}
		answer.Items = append(answer.Items, item{key, base64.StdEncoding.EncodeToString(t.records[t.newest[key]].value), t.newest[key]})
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *Store) appendCall(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(r.Body, 2<<20))
	if err != nil || len(raw) < 5 || len(raw) < 5+int(raw[4]) || int(binary.BigEndian.Uint32(raw)) != len(raw)-4 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name, size := r.URL.Query().Get("topic"), int(raw[4])
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	offset, _, ok := s.put(name, string(raw[5:5+size]), raw[5+size:])
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]uint64{"offset": offset, "end": offset + 1})
}
