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
	"sequoialead/core/payload"
	ioengine "sequoialead/io/engine"
)

const (
	maxBody    = 16 << 20
	dimensions = 8
	corpusSize = 64
)

// serve runs a call whose answer is not a stream. It decodes the body into request, a
// pointer. Then identify returns the operation and the unit of work that recordRun
// counts, and make returns the answer.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request, request any, identify func() (sequoialead.Op, string), make func() any) {
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v, ok := e.admit(w, r)
	if !ok {
		return
	}
	e.recordRun(identify())
	done := e.wait(r, v, e.opts.ServiceTime)
	if !done {
		e.finish(v, false)
		panic(http.ErrAbortHandler) // breaks the connection, as a crash of the process would
	}
	body := make()
	e.finish(v, true)
	writeJSON(w, body)
}

func (e *Engine) embed(w http.ResponseWriter, r *http.Request) {
	var request payload.EmbedRequest
	identify := func() (sequoialead.Op, string) { return sequoialead.OpEmbed, strings.Join(request.Input, " ") }
	e.serve(w, r, &request, identify, func() any {
		var response payload.EmbedResponse
		for _, text := range request.Input {
			response.Data = append(response.Data, payload.Embedding{Embedding: embedding(text)})
		}
		return response
	})
}

func embedding(text string) []float32 {
	v := make([]float32, dimensions)
	for i := range v {
		h := xxhash.Sum64String(fmt.Sprint(i, text))
		v[i] = float32(h%1000) / 1000
	}
	return v
}

func (e *Engine) search(w http.ResponseWriter, r *http.Request) {
	var request payload.SearchRequest
	identify := func() (sequoialead.Op, string) { return sequoialead.OpSearch, request.Query }
	e.serve(w, r, &request, identify, func() any {
		var response payload.SearchResponse
		for i := range request.Top {
			id := fmt.Sprintf("doc-%d", (xxhash.Sum64String(request.Query)+uint64(i))%corpusSize)
			response.Documents = append(response.Documents, payload.Document{ID: id, Text: "text of " + id, Score: 1 / float64(i+1)})
		}
		return response
	})
}

func (e *Engine) rerank(w http.ResponseWriter, r *http.Request) {
	var request payload.RerankRequest
	identify := func() (sequoialead.Op, string) { return sequoialead.OpRerank, request.Query }
	e.serve(w, r, &request, identify, func() any {
		var response payload.RerankResponse
		for i := range min(request.Top, len(request.Documents)) {
			response.Results = append(response.Results, payload.Ranked{Index: len(request.Documents) - 1 - i, Score: 1 / float64(i+1)})
		}
		return response
	})
}

// invoke runs a call of a plain service. It counts as run from its start, even if it
// does not complete.
func (e *Engine) invoke(w http.ResponseWriter, r *http.Request) {
	var request struct {
		ID string `json:"id"`
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil || json.Unmarshal(raw, &request) != nil {
		http.Error(w, "the request body must be a JSON object", http.StatusBadRequest)
		return
	}
	v, ok := e.admit(w, r)
	if !ok {
		return
	}
	e.recordRun(sequoialead.OpInvoke, request.ID)
	if !e.wait(r, v, e.opts.ServiceTime) {
		e.finish(v, false)
		panic(http.ErrAbortHandler) // breaks the connection, as a crash of the process would
	}
	e.finish(v, true)
	writeJSON(w, map[string]string{"id": request.ID, "path": r.URL.Path, "state": "confirmed"})
}

// Token returns the token with index i of the answer to a prompt.
func Token(prompt string, i int) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt)) // hash.Hash.Write never fails
	return fmt.Sprintf(" %08x-%d", h.Sum32(), i)
}

// splitPrompt splits a text into a prompt and the tokens after it, and returns the
// prompt and the number of tokens. To continue an interrupted generation, a caller
// appends the tokens of the answer that it already has to the prompt.
func splitPrompt(text string) (prompt string, tokens int) {
	tail := regexp.MustCompile(`( [0-9a-f]{8}-\d+)+$`).FindString(text)
	return strings.TrimSuffix(text, tail), strings.Count(tail, " ")
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var request payload.GenerateRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	v, ok := e.admit(w, r)
	if !ok {
		return
	}
	e.recordRun(sequoialead.OpGenerate, request.Prompt[strings.LastIndexByte(request.Prompt, '\n')+1:])
	cachedShare := e.lookUpPrefix(request.Prompt)
	firstToken := time.Duration(float64(e.opts.ServiceTime) * (1 - cachedShare))
	if !e.wait(r, v, firstToken) || !e.stream(w, r, v, request) {
		e.finish(v, false)
		panic(http.ErrAbortHandler) // breaks the connection, as a crash of the process would
	}
}

// stream sends the tokens. It reports false if it did not send all of them.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, v call, request payload.GenerateRequest) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	prompt, sent := splitPrompt(request.Prompt)
	for i := range request.Tokens {
		if !e.wait(r, v, e.tokenTime()) || e.cutAt(i) {
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
	e.finish(v, true)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n") // the client may have disconnected
	return true
}

func (e *Engine) cutAt(i int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault.Cut > 0 && i >= e.fault.Cut
}

// tokenTime returns the time between tokens at the current batch size.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	utilization := float64(e.running) / float64(max(e.opts.WarmLimit, 1))
	return time.Duration(float64(e.opts.TokenInterval) * (1 + utilization))
}

// lookUpPrefix returns the fraction of a prompt's blocks that were in the prefix cache,
// and adds the others to the cache.
func (e *Engine) lookUpPrefix(prompt string) float64 {
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
