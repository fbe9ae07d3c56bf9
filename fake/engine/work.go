package engine

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sequoialead"
	"sequoialead/core/work"
	ioengine "sequoialead/io/engine"
)

const (
	maxBody    = 16 << 20
	dimensions = 8
	corpus     = 64
)

// serve runs a call that is answered at once. The name function tells what is
// done, once the request was read.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, request any, name func() (sequoialead.Op, string), make func() any) {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v, ok := e.enter(w, r)
	if !ok {
		return
	}
	e.ran(name())
	done := e.pass(r, v, e.opts.Work)
	if !done {
		e.leave(v, false)
		panic(http.ErrAbortHandler) // the connection breaks as the process would
	}
	body := make()
	e.leave(v, true)
	answer(w, body)
}

func (e *Engine) embed(w http.ResponseWriter, r *http.Request) {
	var request work.EmbedRequest
	ran := func() (sequoialead.Op, string) { return sequoialead.OpEmbed, strings.Join(request.Input, " ") }
	e.serve(w, r, &request, ran, func() any {
		var response work.EmbedResponse
		for _, text := range request.Input {
			response.Data = append(response.Data, work.Embedding{Embedding: vector(text)})
		}
		return response
	})
}

func vector(text string) []float32 {
	v := make([]float32, dimensions)
	for i := range v {
		h := xxhash.Sum64String(fmt.Sprint(i, text))
		v[i] = float32(h%1000) / 1000
	}
	return v
}

func (e *Engine) search(w http.ResponseWriter, r *http.Request) {
	var request work.SearchRequest
	ran := func() (sequoialead.Op, string) { return sequoialead.OpSearch, request.Query }
	e.serve(w, r, &request, ran, func() any {
		var response work.SearchResponse
		for i := range request.Top {
			id := fmt.Sprintf("doc-%d", (xxhash.Sum64String(request.Query)+uint64(i))%corpus)
			response.Documents = append(response.Documents, work.Document{ID: id, Text: "text of " + id, Score: 1 / float64(i+1)})
		}
		return response
	})
}

func (e *Engine) rerank(w http.ResponseWriter, r *http.Request) {
	var request work.RerankRequest
	ran := func() (sequoialead.Op, string) { return sequoialead.OpRerank, request.Query }
	e.serve(w, r, &request, ran, func() any {
		var response work.RerankResponse
		for i := range min(request.Top, len(request.Documents)) {
			response.Results = append(response.Results, work.Ranked{Index: len(request.Documents) - 1 - i, Score: 1 / float64(i+1)})
		}
		return response
	})
}

// invoke runs a plain service's call. Its effect is recorded as it begins.
func (e *Engine) invoke(w http.ResponseWriter, r *http.Request) {
	var request struct {
		ID string `json:"id"`
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil || json.Unmarshal(raw, &request) != nil {
		http.Error(w, "give a JSON object", http.StatusBadRequest)
		return
	}
	v, ok := e.enter(w, r)
	if !ok {
		return
	}
	e.ran(sequoialead.OpInvoke, request.ID)
	if !e.pass(r, v, e.opts.Work) {
		e.leave(v, false)
		panic(http.ErrAbortHandler) // the connection breaks as the process would
	}
	e.leave(v, true)
	answer(w, map[string]string{"id": request.ID, "path": r.URL.Path, "state": "confirmed"})
}

// Token returns one token of the answer to a prompt.
func Token(prompt string, i int) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt)) // never fails
	return fmt.Sprintf(" %08x-%d", h.Sum32(), i)
}

// split parts a prompt from the tokens of its own answer at its end.
func split(text string) (prompt string, tokens int) {
	tail := regexp.MustCompile(`( [0-9a-f]{8}-\d+)+$`).FindString(text)
	return strings.TrimSuffix(text, tail), strings.Count(tail, " ")
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request work.GenerateRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v, ok := e.enter(w, r)
	if !ok {
		return
	}
	e.ran(sequoialead.OpGenerate, request.Prompt[strings.LastIndexByte(request.Prompt, '\n')+1:])
	share := e.lookup(request.Prompt)
	first := time.Duration(float64(e.opts.Work) * (1 - share))
	if !e.pass(r, v, first) || !e.stream(w, r, v, request) {
		e.leave(v, false)
		panic(http.ErrAbortHandler) // the connection breaks as the process would
	}
}

// stream sends the tokens. It reports false if it was cut short.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, v visit, request work.GenerateRequest) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	prompt, sent := split(request.Prompt)
	for i := range request.Tokens {
		if !e.pass(r, v, e.step()) || e.cut(i) {
			return false
		}
		raw, err := json.Marshal(ioengine.Completion{Choices: []ioengine.Choice{{Text: Token(prompt, sent+i)}}})
		if err != nil {
			return false
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", raw); err != nil {
			return false
		}
		e.mu.Lock()
		e.stats.Tokens++
		e.mu.Unlock()
		if flusher != nil {
			flusher.Flush()
		}
	}
	e.leave(v, true)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n") // client gone
	return true
}

func (e *Engine) cut(i int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault.Cut > 0 && i >= e.fault.Cut
}

// step returns the time between tokens at the present batch size.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	crowd := float64(e.running) / float64(max(e.opts.Full, 1))
	return time.Duration(float64(e.opts.Token) * (1 + crowd))
}

// lookup returns the share of a prompt's blocks that the prefix cache holds,
// and adds the others.
func (e *Engine) lookup(prompt string) float64 {
	total, hits := 0, 0
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		key := xxhash.Sum64String(prompt[:end])
		total++
		if _, ok := e.cache.Get(key); ok {
			hits++
		}
		e.cache.Add(key, struct{}{})
	}
	e.mu.Lock()
	e.stats.Lookups += total
	e.stats.Hits += hits
	e.mu.Unlock()
	if total == 0 {
		return 0
	}
	return float64(hits) / float64(total)
}
