// Package operator is the HTTP API of an entry for operators, with JSON
// bodies. The types of the bodies are exported for the client in package
// console.
package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"goji.io"
	"goji.io/pat"
	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/common/digest"
	"sequoialead/core/configlog"
	"sequoialead/io/web"
)

// Paths of the API.
const (
	PathPatch  = "/operator/patch"
	PathShow   = "/operator/show"
	PathStatus = "/operator/status"
	PathAudit  = "/operator/audit"
)

const (
	maxBodyBytes = 8 << 20
	// proposeTimeout bounds the wait for the outcome of a patch.
	proposeTimeout = 10 * time.Second
)

// PatchRequest is the body of a request to apply a patch.
type PatchRequest struct {
	// ID is chosen by the client. Repeating a request with the same ID is safe.
	ID uuid.UUID `json:"id"`
	// Base is the version that the patch is to be applied to.
	Base    sequoialead.Version  `json:"base"`
	Changes []sequoialead.Change `json:"changes"`
	Note    string               `json:"note,omitempty"`
}

// PatchResponse is the result of a patch request.
type PatchResponse struct {
	// Audit is the patch's line of the audit trail, with its verdict.
	Audit sequoialead.Audit `json:"audit"`
	// Current is the current version of the configuration.
	Current sequoialead.Version `json:"current"`
	// Since holds the patches accepted after the base, if the verdict is
	// conflict.
	Since []Patch `json:"since,omitempty"`
	// Error says why the outcome of the patch is unknown; empty if it is known.
	Error string `json:"trouble,omitempty"`
}

// Patch is an accepted patch.
type Patch struct {
	// Version is the configuration version that the patch created.
	Version sequoialead.Version `json:"version"`
	// Author is the operator, and CreatedAt the time of the request.
	Author    string               `json:"who"`
	CreatedAt time.Time            `json:"when"`
	Changes   []sequoialead.Change `json:"changes"`
}

// ShowResponse is the configuration at a version.
type ShowResponse struct {
	Version sequoialead.Version `json:"version"`
	// Text is the configuration in the format of the configuration file.
	Text string `json:"text"`
}

// StatusResponse is the status of an entry and its view of the system.
type StatusResponse struct {
	Name    string              `json:"name"`
	Domain  string              `json:"domain"`
	Version sequoialead.Version `json:"version"`
	// LogRead is when the log was last read to its end.
	LogRead time.Time `json:"log_read"`
	// ListRead is when the instance list was last read.
	ListRead time.Time `json:"list_read"`
	// InFlight is the number of requests in flight.
	InFlight int `json:"open"`
	// Outcomes holds the number of requests by outcome.
	Outcomes map[sequoialead.Outcome]uint64 `json:"outcomes"`
	Agents   []Agent                        `json:"agents"`
	// Entries holds the entries of the instance list.
	Entries []Entry `json:"entries"`
	// EvacuatedDomains holds the names of the failure domains that are out of service.
	EvacuatedDomains []string `json:"out,omitempty"`
	// Costs holds the costs of stages by pipeline, stage and customer.
	Costs []Cost `json:"costs,omitempty"`
}

// Agent is an agent as seen by the entry.
type Agent struct {
	Name      string         `json:"name"`
	Pool      string         `json:"pool"`
	Domain    string         `json:"domain"`
	Addr      netip.AddrPort `json:"addr"`
	Connected bool           `json:"connected"`
	Leaving   bool           `json:"leaving"`
	// Limit is the maximum number of calls that the backend server may run at
	// once, Running the number that it runs, and Queued the number queued at
	// the agent.
	Limit   int `json:"limit"`
	Running int `json:"running"`
	Queued  int `json:"waiting"`
	// Version is the configuration that the agent uses.
	Version sequoialead.Version `json:"version"`
}

// Entry is an entry of the instance list.
type Entry struct {
	Name string         `json:"name"`
	Addr netip.AddrPort `json:"addr"`
}

// Cost is the total cost of a stage's calls for a customer.
type Cost struct {
	Pipeline string `json:"pipeline"`
	Stage    string `json:"stage"`
	Customer string `json:"customer"`
	Calls    uint64 `json:"calls"`
	// Service is the time that backend servers spent on the calls, in
	// nanoseconds, and Tokens the number of tokens that they generated.
	Service time.Duration `json:"service"`
	Tokens  uint64        `json:"tokens"`
	// WastedService and WastedTokens are the parts of these whose result was not
	// used.
	WastedService time.Duration `json:"wasted_service"`
	WastedTokens  uint64        `json:"wasted_tokens"`
}

// Follower holds the configuration and its history.
type Follower interface {
	// View calls the function with the current state, which must not be used
	// after the function returns.
	View(read func(*configlog.State))
	// Propose appends a patch to the log and returns its audit line, with the
	// verdict, once it was read back. An error means that the outcome is unknown.
	// The patch can then be proposed again with the same ID.
	Propose(ctx context.Context, p sequoialead.Patch) (sequoialead.Audit, error)
}

// Options configures a handler.
type Options struct {
	Follower Follower
	// Status returns the entry's current status.
	Status func() StatusResponse
	// Operators holds the operators' names by the hexadecimal SHA-256 of their
	// key.
	Operators map[string]string
	Log       klog.Logger
}

// Handler serves the HTTP API for operators.
type Handler struct {
	opts Options
}

// New returns a handler.
func New(opts Options) *Handler { return &Handler{opts: opts} }

// Mount registers the paths of the API.
func (h *Handler) Mount(mux *goji.Mux) {
	mux.HandleFunc(pat.Post(PathPatch), h.authenticate(h.handlePatch))
	mux.HandleFunc(pat.Get(PathShow), h.authenticate(h.handleShow))
	mux.HandleFunc(pat.Get(PathStatus), h.authenticate(h.handleStatus))
	mux.HandleFunc(pat.Get(PathAudit), h.authenticate(h.handleAudit))
}

// authenticatedHandler serves a request of the operator with the given name.
type authenticatedHandler func(w http.ResponseWriter, r *http.Request, author string)

func (h *Handler) authenticate(next authenticatedHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		author, ok := h.opts.Operators[digest.Of(key)]
		if !ok {
			http.Error(w, "the operator's key is missing or wrong; give it as --key or SEQUOIALEAD_KEY", http.StatusUnauthorized)
			return
		}
		next(w, r, author)
	}
}

func writeJSON(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value) // fails if the client has disconnected
}

func (h *Handler) handlePatch(w http.ResponseWriter, r *http.Request, author string) {
	var request PatchRequest
	end := web.LimitBodyTime(w)
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil {
		http.Error(w, "invalid patch request: "+err.Error(), http.StatusBadRequest)
		return
	}
	end()
	if request.ID == uuid.Nil || len(request.Changes) == 0 {
		http.Error(w, "a patch needs an id and at least one change", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	audit, err := h.opts.Follower.Propose(ctx, sequoialead.Patch{
		ID:        request.ID,
		Author:    author,
		CreatedAt: time.Now().UTC(),
		Base:      request.Base,
		Changes:   request.Changes,
		Note:      request.Note,
	})
	result := PatchResponse{Audit: audit}
	h.opts.Follower.View(func(st *configlog.State) {
		result.Current = st.Version()
		if audit.Verdict == sequoialead.VerdictConflict {
			result.Since = patchesSince(st, request.Base)
		}
	})
	code := http.StatusOK
	if err != nil {
		result.Error = err.Error()
		code = http.StatusServiceUnavailable
	}
	h.opts.Log.Info("patch", "who", author, "id", request.ID, "base", request.Base, "verdict", audit.Verdict, "version", audit.Version, "trouble", result.Error)
	writeJSON(w, code, result)
}

func patchesSince(st *configlog.State, base sequoialead.Version) []Patch {
	var patches []Patch
	for _, p := range st.Since(base) {
		patches = append(patches, Patch{Version: p.Base + 1, Author: p.Author, CreatedAt: p.CreatedAt, Changes: p.Changes})
	}
	return patches
}

func (h *Handler) handleShow(w http.ResponseWriter, r *http.Request, _ string) {
	var result ShowResponse
	var err error
	requested := r.URL.Query().Get("version")
	h.opts.Follower.View(func(st *configlog.State) {
		result.Version = st.Version()
		doc := st.Document()
		if requested != "" {
			var n uint64
			n, err = strconv.ParseUint(requested, 10, 64)
			if err == nil {
				result.Version = sequoialead.Version(n)
				doc, err = st.At(result.Version)
			}
		}
		if err == nil {
			result.Text = doc.String()
		}
	})
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, result)
}

func (h *Handler) handleStatus(w http.ResponseWriter, _ *http.Request, _ string) {
	writeJSON(w, http.StatusOK, h.opts.Status())
}

func (h *Handler) handleAudit(w http.ResponseWriter, _ *http.Request, _ string) {
	var audits []sequoialead.Audit
	h.opts.Follower.View(func(st *configlog.State) { audits = st.Audits() })
	writeJSON(w, http.StatusOK, audits)
}
