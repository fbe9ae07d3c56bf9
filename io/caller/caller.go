// Package caller serves callers over HTTP and JSON. Besides the handler it
// exports its options, the forms of the bodies, and the interfaces that it
// needs.
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
)

// Headers of callers' requests and answers.
const (
	HeaderOutcome = "Sequoialead-Outcome"
	HeaderKey     = "Idempotency-Key"
)

const (
	// MaxBody is the largest body of a request.
	MaxBody    = 1 << 20
	maxKey     = 256
	retryAfter = time.Second
)

// Runner runs requests.
type Runner interface {
	Run(ctx context.Context, request sequoialead.Request, customer config.Customer, within time.Duration, sink sequoialead.Sink) sequoialead.Answer
	Ready() sequoialead.Reason
}

// Configuration is the configuration in force.
type Configuration interface {
	Current() (*config.Config, sequoialead.Version)
}

// Options configures a handler.
type Options struct {
	Runner        Runner
	Configuration Configuration
}

// Handler serves callers.
type Handler struct {
	opts Options
}

// Body is a caller's request.
type Body struct {
	Text string `json:"text"`
	// Body is what a plain service is given.
	Body     json.RawMessage `json:"body"`
	Stream   bool            `json:"stream"`
	Deadline string          `json:"deadline"`
}

// Answer is the answer to a caller.
type Answer struct {
	// ID names the request in the logs.
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
	// Repeat is set where an earlier request with the same key was answered so.
	Repeat bool `json:"repeat,omitempty"`
}

// New returns a handler.
func New(opts Options) *Handler { return &Handler{opts: opts} }

// Mount adds the callers' paths.
func (h *Handler) Mount(mux *goji.Mux) {
	mux.HandleFunc(pat.Post("/v1/pipelines/:pipeline"), h.run)
	mux.HandleFunc(pat.Get("/livez"), h.live)
	mux.HandleFunc(pat.Get("/readyz"), h.ready)
}

func (h *Handler) live(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "ok\n") // client gone
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := h.opts.Runner.Ready(); reason != "" {
		http.Error(w, string(reason), http.StatusServiceUnavailable)
		return
	}
	h.live(w, nil)
}

func (h *Handler) run(w http.ResponseWriter, r *http.Request) {
	if _, version := h.opts.Configuration.Current(); version == 0 {
		refuse(w, sequoialead.ReasonUnready, "")
		return
	}
	customer, ok := h.customer(r)
	if !ok {
		refuse(w, sequoialead.ReasonKey, "")
		return
	}
	body, reason, detail := read(w, r)
	if reason != "" {
		refuse(w, reason, detail)
		return
	}
	request := sequoialead.Request{
		Pipeline: pat.Param(r, "pipeline"),
		Customer: customer.Name,
		Key:      r.Header.Get(HeaderKey),
		Text:     body.Text,
		Body:     body.Body,
	}
	within, reason, detail := check(request, body)
	if reason != "" {
		refuse(w, reason, detail)
		return
	}
	h.limit(w, request.Pipeline, within)
	if body.Stream {
		s := newStream(w)
		s.end(h.opts.Runner.Run(r.Context(), request, customer, within, s))
		return
	}
	respond(w, h.opts.Runner.Run(r.Context(), request, customer, within, nil))
}

// limit lets writes to a caller who does not read fail soon after the
// request's time is over.
func (h *Handler) limit(w http.ResponseWriter, pipeline string, within time.Duration) {
	conf, _ := h.opts.Configuration.Current()
	end := time.Now().Add(conf.Pipelines[pipeline].Within(within) + writeGrace)
	_ = http.NewResponseController(w).SetWriteDeadline(end) // in force until the answer's end
}

// customer finds the customer by the key that the request bears.
func (h *Handler) customer(r *http.Request) (config.Customer, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return config.Customer{}, false
	}
	conf, _ := h.opts.Configuration.Current()
	customer, ok := conf.Customers[digest.Of(key)]
	return customer, ok
}

func read(w http.ResponseWriter, r *http.Request) (Body, sequoialead.Reason, string) {
	var body Body
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBody))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return body, sequoialead.ReasonSize, err.Error()
	case err != nil:
		return body, sequoialead.ReasonBody, err.Error()
	}
	return body, "", ""
}

func check(request sequoialead.Request, body Body) (time.Duration, sequoialead.Reason, string) {
	if len(request.Key) > maxKey {
		return 0, sequoialead.ReasonBody, "the idempotency key is longer than " + strconv.Itoa(maxKey) + " bytes"
	}
	if body.Deadline == "" {
		return 0, "", ""
	}
	within, err := time.ParseDuration(body.Deadline)
	if err != nil || within <= 0 {
		return 0, sequoialead.ReasonBody, "deadline " + strconv.Quote(body.Deadline) + " is not a time; write for example 3s"
	}
	return within, "", ""
}

func refuse(w http.ResponseWriter, reason sequoialead.Reason, detail string) {
	respond(w, sequoialead.Answer{Outcome: sequoialead.OutcomeNotRun, Reason: reason, Detail: detail})
}

// status returns the HTTP status of an answer.
func status(a sequoialead.Answer) int {
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

func respond(w http.ResponseWriter, a sequoialead.Answer) {
	code := status(a)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, string(a.Outcome))
	if code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(wire(a)) // client gone
}

func wire(a sequoialead.Answer) Answer {
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
