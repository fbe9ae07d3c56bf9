// Package payload carries the data of a request from stage to stage, and encodes it in
// the JSON formats that backend servers commonly use.
package payload

import (
	"encoding/json"
	"strings"

	"sequoialead"
	"sequoialead/core/config"
)

// EmbedRequest asks for the embeddings of texts.
type EmbedRequest struct {
	Input []string `json:"input"`
}

// EmbedResponse answers an EmbedRequest.
type EmbedResponse struct {
	Data []Embedding `json:"data"`
}

// Embedding is the embedding vector of one text.
type Embedding struct {
	Embedding []float32 `json:"embedding"`
}

// SearchRequest asks for the documents closest to a query, or to its vector if that
// is given.
type SearchRequest struct {
	Query  string    `json:"query"`
	Vector []float32 `json:"vector,omitempty"`
	Top    int       `json:"top_k"`
}

// SearchResponse answers a SearchRequest.
type SearchResponse struct {
	Documents []Document `json:"documents"`
}

// Document is a text with its relevance score; higher is more relevant.
type Document struct {
	ID    string  `json:"id"`
	Text  string  `json:"text"`
	Score float64 `json:"score"`
}

// RerankRequest asks for the documents that are most relevant to a query, best
// first.
type RerankRequest struct {
	Query     string   `json:"query"`
	Documents []string `json:"documents"`
	Top       int      `json:"top_n"`
}

// RerankResponse answers a RerankRequest.
type RerankResponse struct {
	Results []Ranked `json:"results"`
}

// Ranked refers to a document of the request by its index, with its score.
type Ranked struct {
	Index int     `json:"index"`
	Score float64 `json:"relevance_score"`
}

// GenerateRequest asks for text that continues a prompt.
type GenerateRequest struct {
	Prompt string `json:"prompt"`
	Tokens int    `json:"max_tokens"`
	Stream bool   `json:"stream"`
}

// Payload is the data of a request between stages.
type Payload struct {
	// Text is the caller's question or prompt.
	Text string
	// Body is the request body for a plain service (OpInvoke), in JSON.
	Body      json.RawMessage
	Vector    []float32
	Documents []Document
	// Answer is the text generated so far.
	Answer []byte
	// TokenCount is the number of tokens received of the generation so far.
	TokenCount int
	// ResponseBody and Status are the answer of a plain service.
	ResponseBody json.RawMessage
	Status       int
}

// Prompt returns the prompt of a generation: the retrieved documents, one per line,
// and the caller's text.
func (p *Payload) Prompt() string {
	var b strings.Builder
	for _, d := range p.Documents {
		b.WriteString(d.Text)
		b.WriteByte('\n')
	}
	b.WriteString(p.Text)
	return b.String()
}

// Encode returns the body of a stage's call. A generation that was interrupted is
// continued after the tokens received so far. It returns ErrInvalid if the data
// cannot be encoded.
func (p *Payload) Encode(stage config.Stage) ([]byte, error) {
	switch stage.Op {
	case sequoialead.OpEmbed:
		return encode(EmbedRequest{Input: []string{p.Text}})
	case sequoialead.OpSearch:
		return encode(SearchRequest{Query: p.Text, Vector: p.Vector, Top: stage.MaxResults})
	case sequoialead.OpRerank:
		request := RerankRequest{Query: p.Text, Top: stage.MaxResults}
		for _, d := range p.Documents {
			request.Documents = append(request.Documents, d.Text)
		}
		return encode(request)
	case sequoialead.OpGenerate:
		return encode(GenerateRequest{Prompt: p.Prompt() + string(p.Answer), Tokens: stage.MaxTokens - p.TokenCount, Stream: true})
	}
	if len(p.Body) == 0 {
		return []byte("{}"), nil
	}
	return p.Body, nil
}

func encode(value any) ([]byte, error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return nil, sequoialead.ErrInvalid.Wrap(err, "the input of the stage cannot be encoded; report this as a defect")
	}
	return raw, nil
}

// Apply stores the complete answer of a stage that does not stream. It returns
// ErrFailed if the answer is not in the expected format.
func (p *Payload) Apply(stage config.Stage, raw []byte, status int) error {
	switch stage.Op {
	case sequoialead.OpEmbed:
		return p.decodeEmbedding(raw)
	case sequoialead.OpSearch:
		var response SearchResponse
		if err := decode(stage, raw, &response); err != nil {
			return err
		}
		p.Documents = response.Documents
	case sequoialead.OpRerank:
		return p.decodeRanking(stage, raw)
	case sequoialead.OpInvoke:
		if !json.Valid(raw) {
			return invalidAnswer(stage, nil)
		}
		p.ResponseBody, p.Status = raw, status
	}
	return nil
}

func (p *Payload) decodeEmbedding(raw []byte) error {
	var response EmbedResponse
	stage := config.Stage{Name: string(sequoialead.OpEmbed)}
	if err := decode(stage, raw, &response); err != nil {
		return err
	}
	if len(response.Data) != 1 {
		return invalidAnswer(stage, nil)
	}
	p.Vector = response.Data[0].Embedding
	return nil
}

func (p *Payload) decodeRanking(stage config.Stage, raw []byte) error {
	var response RerankResponse
	if err := decode(stage, raw, &response); err != nil {
		return err
	}
	var ranked []Document
	for _, r := range response.Results {
		if r.Index < 0 || r.Index >= len(p.Documents) {
			return invalidAnswer(stage, nil)
		}
		d := p.Documents[r.Index]
		d.Score = r.Score
		ranked = append(ranked, d)
	}
	p.Documents = ranked
	return nil
}

func decode(stage config.Stage, raw []byte, into any) error {
	if err := json.Unmarshal(raw, into); err != nil {
		return invalidAnswer(stage, err)
	}
	return nil
}

func invalidAnswer(stage config.Stage, err error) error {
	const message = "stage %s: the backend server's answer is not in the expected format; check the stage's 'op' and the server's version"
	if err == nil {
		return sequoialead.ErrFailed.New(message, stage.Name)
	}
	return sequoialead.ErrFailed.Wrap(err, message, stage.Name)
}
