package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	appendTime = 4 * time.Millisecond
	// history is how long the records of a topic are kept; the newest of each key stays.
	history      = 20 * time.Second
	defaultMaxKB = 1024
	maxNewest    = 500
	maxNewestLen = 1 << 20
	recordBytes  = 262144
)

type record struct {
	key    string
	value  []byte
	offset uint64
	at     time.Time
}

type topic struct {
	first   uint64
	records []record
	newest  map[string]record
}

// store is the platform's store, as far as the gateways use it.
type store struct {
	p    *played
	addr string

	mu     sync.Mutex
	topics map[string]*topic
}

func newStore(p *played) (*store, error) {
	s := &store{p: p, topics: map[string]*topic{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: s}}
	server.Start()
	s.addr = l.Addr().String()
	return s, nil
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]record{}}
		s.topics[name] = t
	}
	for len(t.records) > 0 && time.Since(t.records[0].at) > history {
		t.records = t.records[1:]
		t.first++
	}
	return t
}

// put appends a record and returns when it was acknowledged. An empty value drops the key.
func (s *store) put(name, key string, value []byte) time.Time {
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	r := record{key: key, value: value, offset: t.first + uint64(len(t.records)), at: time.Now()}
	t.records = append(t.records, r)
	t.newest[key] = r
	if len(value) == 0 {
		delete(t.newest, key)
	}
	return r.at
}

func (s *store) putJSON(name, key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // the documents of the cases can be encoded
	}
	if len(raw) > recordBytes {
		panic("a record is too long for the store")
	}
	return s.put(name, key, raw)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "GET /sequoialead/log-read":
		s.read(w, q.Get("topic"), q.Get("from"), q.Get("max_kb"))
	case "GET /sequoialead/log-newest":
		s.serveNewest(w, q.Get("topic"), q.Get("after"))
	case "POST /sequoialead/log-append":
		s.append(w, q.Get("topic"), body)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) read(w http.ResponseWriter, name, fromText, maxText string) {
	from, err := strconv.ParseUint(fromText, 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := defaultMaxKB
	if maxText != "" {
		if limit, err = strconv.Atoi(maxText); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if from < t.first {
		w.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(w).Encode(map[string]uint64{"first": t.first})
		return
	}
	raw := binary.BigEndian.AppendUint64(nil, t.first+uint64(len(t.records)))
	raw = binary.BigEndian.AppendUint64(raw, t.first)
	for i := from - t.first; i < uint64(len(t.records)); i++ {
		r := t.records[i]
		size := 5 + len(r.key) + len(r.value)
		if i > from-t.first && len(raw)+size > limit<<10 {
			break
		}
		raw = binary.BigEndian.AppendUint32(raw, uint32(size-4))
		raw = append(raw, byte(len(r.key)))
		raw = append(raw, r.key...)
		raw = append(raw, r.value...)
	}
	_, _ = w.Write(raw)
}

func (s *store) serveNewest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset uint64 `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(name)
	answer := struct {
		Items     []item `json:"items"`
		Truncated bool   `json:"truncated"`
		End       uint64 `json:"end"`
	}{Items: []item{}, End: t.first + uint64(len(t.records))}
	size := 0
	for _, key := range sortedKeys(t.newest) {
		if key <= after {
			continue
		}
		r := t.newest[key]
		if size += len(r.value); len(answer.Items) == maxNewest || len(answer.Items) > 0 && size > maxNewestLen {
			answer.Truncated = true
			break
		}
		answer.Items = append(answer.Items, item{Key: key, Value: base64.StdEncoding.EncodeToString(r.value), Offset: r.offset})
	}
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func (s *store) append(w http.ResponseWriter, name string, body []byte) {
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var offset time.Time
	for len(body) >= 5 {
		size := int(binary.BigEndian.Uint32(body))
		if size > len(body)-4 || size < 1+int(body[4]) || !strings.HasPrefix(name, "keyed.") {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := int(body[4])
		offset = s.put(name, string(body[5:5+n]), append([]byte(nil), body[5+n:4+size]...))
		body = body[4+size:]
	}
	_ = offset
	s.mu.Lock()
	end := s.topic(name).first + uint64(len(s.topic(name).records))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]uint64{"offset": end - 1, "end": end})
}
