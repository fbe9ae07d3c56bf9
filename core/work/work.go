// Package work carries a request's material from stage to stage, in the JSON
// forms that backend servers customarily take. Its exported types are those
// forms and the material.
package work

import (
	"encoding/json"
	"strings"

	"sequoialead"
	"sequoialead/core/config"
)

// EmbedRequest asks for the vectors of texts.
type EmbedRequest struct {
	Input []string `json:"input"`
}

// EmbedResponse answers an EmbedRequest.
type EmbedResponse struct {
	Data []Embedding `json:"data"`
}

// Embedding is the vector of one text.
type Embedding struct {
	Embedding []float32 `json:"embedding"`
}

// SearchRequest asks for the documents nearest to a vector.
type SearchRequest struct {
	Query  string    `json:"query"`
	Vector []float32 `json:"vector,omitempty"`
	Top    int       `json:"top_k"`
}

// SearchResponse answers a SearchRequest.
type SearchResponse struct {
	Documents []Document `json:"documents"`
}

// Document is a text with its score; higher is nearer.
type Document struct {
	ID    string  `json:"id"`
	Text  string  `json:"text"`
	Score float64 `json:"score"`
}

// RerankRequest asks for the best of some documents.
type RerankRequest struct {
	Query     string   `json:"query"`
	Documents []string `json:"documents"`
	Top       int      `json:"top_n"`
}

// RerankResponse answers a RerankRequest.
type RerankResponse struct {
	Results []Ranked `json:"results"`
}

// Ranked names a document of the request by its place.
type Ranked struct {
	Index int     `json:"index"`
	Score float64 `json:"relevance_score"`
}

// GenerateRequest asks for a text that continues the prompt.
type GenerateRequest struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"max_tokens"`
	Stream bool   `json:"stream"`
}

// Work is a request's material between stages.
type Work struct {
	// Text is what the caller asked.
	Text string
	// Body is what a plain service is given.
	Body      json.RawMessage
	Vector    []float32
	Documents []Document
	// Answer is the text generated so far.
	Answer []byte
	// Produced is the number of tokens of the current generation.
	Produced int
	// Reply is a plain service's answer.
	Reply  json.RawMessage
	Status int
}

// Prompt returns the prompt of a generation.
func (w *Work) Prompt() string {
	var b strings.Builder
	for _, d := range w.Documents {
		b.WriteString(d.Text)
		b.WriteByte('\n')
	}
	b.WriteString(w.Text)
	return b.String()
}

// Request returns the body of a stage's call. A generation that was cut short
// goes on from the tokens that arrived.
func (w *Work) Request(stage config.Stage) ([]byte, error) {
	switch stage.Op {
	case sequoialead.OpEmbed:
		return encode(EmbedRequest{Input: []string{w.Text}})
	case sequoialead.OpSearch:
		return encode(SearchRequest{Query: w.Text, Vector: w.Vector, Top: stage.Top})
	case sequoialead.OpRerank:
		request := RerankRequest{Query: w.Text, Top: stage.Top}
		for _, d := range w.Documents {
			request.Documents = append(request.Documents, d.Text)
		}
		return encode(request)
	case sequoialead.OpGenerate:
		return encode(GenerateRequest{Prompt: w.Prompt() + string(w.Answer), Tokens: stage.Tokens - w.Produced, Stream: true})
	}
	if len(w.Body) == 0 {
		return []byte("{}"), nil
	}
	return w.Body, nil
}

func encode(value any) ([]byte, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, sequoialead.ErrInvalid.Wrap(err, "the stage's input cannot be encoded; report this as a defect")
	}
	return raw, nil
}

// Take adds the whole answer of a stage that does not stream.
func (w *Work) Take(stage config.Stage, raw []byte, status int) error {
	switch stage.Op {
	case sequoialead.OpEmbed:
		return w.embedded(raw)
	case sequoialead.OpSearch:
		var response SearchResponse
		if err := decode(stage, raw, &response); err != nil {
			return err
		}
		w.Documents = response.Documents
	case sequoialead.OpRerank:
		return w.reranked(stage, raw)
	case sequoialead.OpInvoke:
		if !json.Valid(raw) {
			return unreadable(stage, nil)
		}
		w.Reply, w.Status = raw, status
	}
	return nil
}

func (w *Work) embedded(raw []byte) error {
	var response EmbedResponse
	stage := config.Stage{Name: string(sequoialead.OpEmbed)}
	if err := decode(stage, raw, &response); err != nil {
		return err
	}
	if len(response.Data) != 1 {
		return unreadable(stage, nil)
	}
	w.Vector = response.Data[0].Embedding
	return nil
}

func (w *Work) reranked(stage config.Stage, raw []byte) error {
	var response RerankResponse
	if err := decode(stage, raw, &response); err != nil {
		return err
	}
	var best []Document
	for _, r := range response.Results {
		if r.Index < 0 || r.Index >= len(w.Documents) {
			return unreadable(stage, nil)
		}
		d := w.Documents[r.Index]
		d.Score = r.Score
		best = append(best, d)
	}
	w.Documents = best
	return nil
}

func decode(stage config.Stage, raw []byte, into any) error {
	if err := json.Unmarshal(raw, into); err != nil {
		return unreadable(stage, err)
	}
	return nil
}

func unreadable(stage config.Stage, err error) error {
	const message = "stage %s: the backend server's answer is not in the expected form; check the stage's 'op' and the server's version"
	if err == nil {
		return sequoialead.ErrFailed.New(message, stage.Name)
	}
	return sequoialead.ErrFailed.Wrap(err, message, stage.Name)
}
