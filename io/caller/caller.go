// Package caller is the HTTP API with which callers run pipelines. Answers are
// sent as JSON or as a stream of server-sent events.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"goji.io"
	"goji.io/pat"

	"sequoialead"
	"sequoialead/common/digest"
	"sequoialead/core/config"
	"sequoialead/io/web"
)

// Names of headers of callers' requests and answers.
const (
	HeaderOutcome        = "Sequoialead-Outcome"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes = 1 << 20
	maxKeyBytes  = 256
	// retryAfter is sent as Retry-After with the statuses 429 and 503.
	retryAfter = time.Second
)

// Runner runs requests.
type Runner interface {
	// Run runs a request and returns its answer. A timeout of 0 stands for the
	// pipeline's own. Unless the sink is nil, generated text is streamed to it.
	Run(ctx context.Context, request sequoialead.Request, customer config.Customer, timeout time.Duration, sink sequoialead.Sink) sequoialead.Answer
	// Ready returns the reason why the entry cannot run requests now. It is empty
	// if the entry can.
	Ready() sequoialead.Reason
}

// Configuration is the configuration in force.
type Configuration interface {
	// Current returns the configuration and its version, which is 0 while none is
	// known.
	Current() (*config.Config, sequoialead.Version)
}

// Options configures a handler.
type Options struct {
	Runner        Runner
	Configuration Configuration
}

// Handler serves the HTTP API for callers.
type Handler struct {
	opts Options
}

// Request is the JSON body of a caller's request.
type Request struct {
	// Text is the input for encoders and model engines.
	Text string `json:"text"`
	// Body is the request body for a plain service (OpInvoke), in JSON. If it is empty,
	// the service gets {}.
	Body json.RawMessage `json:"body"`
	// Stream selects server-sent events instead of one JSON answer.
	Stream bool `json:"stream"`
	// Deadline is the time that the request may take, as a Go duration; empty for
	// that of the pipeline, which is also the maximum.
	Deadline string `json:"deadline"`
}

// Answer is the JSON body of an answer, and the data of a stream's last
// event. For its fields see sequoialead.Answer.
type Answer struct {
	// ID identifies the request in the logs of all processes.
	ID        string                    `json:"id,omitempty"`
	Outcome   sequoialead.Outcome       `json:"outcome"`
	Reason    sequoialead.Reason        `json:"reason,omitempty"`
	Remedy    string                    `json:"remedy,omitempty"`
	Detail    string                    `json:"detail,omitempty"`
	Version   sequoialead.Version       `json:"version"`
	Text      string                    `json:"text,omitempty"`
	Tokens    int                       `json:"tokens,omitempty"`
	Documents []string                  `json:"documents,omitempty"`
	Status    int                       `json:"status,omitempty"`
	Body      json.RawMessage           `json:"body,omitempty"`
	Stages    []sequoialead.StageReport `json:"stages,omitempty"`
	// Repeat is set if this is the answer to an earlier request with the same
	// idempotency key.
	Repeat bool `json:"repeat,omitempty"`
}

// New returns a handler.
func New(opts Options) *Handler { return &Handler{opts: opts} }

// Mount registers the paths of the API.
func (h *Handler) Mount(mux *goji.Mux) {
	mux.HandleFunc(pat.Post("/v1/pipelines/:pipeline"), h.runPipeline)
	mux.HandleFunc(pat.Get("/livez"), h.serveLiveness)
	mux.HandleFunc(pat.Get("/readyz"), h.serveReadiness)
}

func (h *Handler) serveLiveness(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n") // fails if the client has disconnected
}

func (h *Handler) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if reason := h.opts.Runner.Ready(); reason != "" {
		http.Error(w, string(reason), http.StatusServiceUnavailable)
		return
	}
	h.serveLiveness(w, nil)
}

func (h *Handler) runPipeline(w http.ResponseWriter, r *http.Request) {
	if _, version := h.opts.Configuration.Current(); version == 0 {
		writeRefusal(w, sequoialead.ReasonUnready, "")
		return
	}
	customer, ok := h.authenticate(r)
	if !ok {
		writeRefusal(w, sequoialead.ReasonKey, "")
		return
	}
	body, reason, detail := decodeBody(w, r)
	if reason != "" {
		writeRefusal(w, reason, detail)
		return
	}
	request := sequoialead.Request{
		Pipeline: pat.Param(r, "pipeline"),
		Customer: customer.Name,
		Key:      r.Header.Get(HeaderIdempotencyKey),
		Text:     body.Text,
		Body:     body.Body,
	}
	timeout, reason, detail := validate(request, body)
	if reason != "" {
		writeRefusal(w, reason, detail)
		return
	}
	h.setWriteDeadline(w, request.Pipeline, timeout)
	if body.Stream {
		s := newStream(w)
		s.finish(h.opts.Runner.Run(r.Context(), request, customer, timeout, s))
		return
	}
	writeAnswer(w, h.opts.Runner.Run(r.Context(), request, customer, timeout, nil))
}

// setWriteDeadline makes writes to a caller that does not read fail soon
// after the request's deadline.
func (h *Handler) setWriteDeadline(w http.ResponseWriter, pipeline string, timeout time.Duration) {
	current, _ := h.opts.Configuration.Current()
	end := time.Now().Add(current.Pipelines[pipeline].Timeout(timeout) + writeGrace)
	_ = http.NewResponseController(w).SetWriteDeadline(end) // stays in force until the end of the answer
}

// authenticate returns the customer whose key is in the request's
// Authorization header. It reports false if there is no key or no customer has
// it.
func (h *Handler) authenticate(r *http.Request) (config.Customer, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return config.Customer{}, false
	}
	current, _ := h.opts.Configuration.Current()
	customer, ok := current.Customers[digest.Of(key)]
	return customer, ok
}

// decodeBody reads a request body. The reason is empty unless the body is
// invalid; the string then says why.
func decodeBody(w http.ResponseWriter, r *http.Request) (Request, sequoialead.Reason, string) {
	var body Request
	end := web.LimitBodyTime(w)
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return body, sequoialead.ReasonSize, err.Error()
	case err != nil:
		return body, sequoialead.ReasonBody, err.Error()
	}
	end()
	return body, "", ""
}

// validate checks a request and returns its timeout; 0 if it has none. The
// reason is empty unless the request is invalid; the string then says why.
func validate(request sequoialead.Request, body Request) (time.Duration, sequoialead.Reason, string) {
	if len(request.Key) > maxKeyBytes {
		return 0, sequoialead.ReasonBody, "the idempotency key is longer than " + strconv.Itoa(maxKeyBytes) + " bytes"
	}
	if body.Deadline == "" {
		return 0, "", ""
	}
	timeout, err := time.ParseDuration(body.Deadline)
	if err != nil || timeout <= 0 {
		return 0, sequoialead.ReasonBody, "deadline " + strconv.Quote(body.Deadline) + " is not a duration above 0; write for example 3s"
	}
	return timeout, "", ""
}

func writeRefusal(w http.ResponseWriter, reason sequoialead.Reason, detail string) {
	writeAnswer(w, sequoialead.Answer{Outcome: sequoialead.OutcomeNotRun, Reason: reason, Detail: detail})
}

// statusCode returns the HTTP status for the outcome of an answer or, if the
// request was not run, for its reason.
func statusCode(a sequoialead.Answer) int {
	switch a.Outcome {
	case sequoialead.OutcomeDone:
		return http.StatusOK
	case sequoialead.OutcomeFailed:
		return http.StatusBadGateway
	case sequoialead.OutcomeUnknown:
		return http.StatusGatewayTimeout
	}
	switch a.Reason {
	case sequoialead.ReasonKey:
		return http.StatusUnauthorized
	case sequoialead.ReasonBody:
		return http.StatusBadRequest
	case sequoialead.ReasonSize:
		return http.StatusRequestEntityTooLarge
	case sequoialead.ReasonPipeline:
		return http.StatusNotFound
	case sequoialead.ReasonRepeat:
		return http.StatusConflict
	case sequoialead.ReasonShare, sequoialead.ReasonFull:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

func writeAnswer(w http.ResponseWriter, a sequoialead.Answer) {
	code := statusCode(a)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, string(a.Outcome))
	if code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(toWire(a)) // fails if the client has disconnected
}

func toWire(a sequoialead.Answer) Answer {
	answer := Answer{
		ID:        a.ID,
		Outcome:   a.Outcome,
		Reason:    a.Reason,
		Detail:    a.Detail,
		Version:   a.Version,
		Text:      a.Text,
		Tokens:    a.Tokens,
		Documents: a.Documents,
		Status:    a.Status,
		Body:      a.Body,
		Stages:    a.Stages,
		Repeat:    a.Repeat,
	}
	if a.Reason != "" {
		answer.Remedy = a.Reason.Remedy()
	}
	return answer
}
