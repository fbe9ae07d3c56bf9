// Package operator serves operators over HTTP and JSON. Its exported types are
// the bodies of the calls.
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
	"sequoialead/core/fold"
)

// Paths of the operators' calls.
const (
	PathPatch  = "/operator/patch"
	PathShow   = "/operator/show"
	PathStatus = "/operator/status"
	PathAudit  = "/operator/audit"
)

const (
	maxBody        = 8 << 20
	proposeTimeout = 10 * time.Second
)

// PatchRequest offers a patch.
type PatchRequest struct {
	ID      uuid.UUID            `json:"id"`
	Base    sequoialead.Version  `json:"base"`
	Changes []sequoialead.Change `json:"changes"`
	Note    string               `json:"note,omitempty"`
}

// PatchAnswer tells what became of a patch.
type PatchAnswer struct {
	Audit   sequoialead.Audit   `json:"audit"`
	Current sequoialead.Version `json:"current"`
	// Since holds the patches accepted after the base, if it was not current.
	Since []Patch `json:"since,omitempty"`
	// Trouble says why the outcome is not known, if it is not.
	Trouble string `json:"trouble,omitempty"`
}

// Patch is an accepted patch.
type Patch struct {
	Version sequoialead.Version  `json:"version"`
	Who     string               `json:"who"`
	When    time.Time            `json:"when"`
	Changes []sequoialead.Change `json:"changes"`
}

// ShowAnswer is the configuration at a version.
type ShowAnswer struct {
	Version sequoialead.Version `json:"version"`
	Text    string              `json:"text"`
}

// StatusAnswer is what an entry knows.
type StatusAnswer struct {
	Name    string              `json:"name"`
	Domain  string              `json:"domain"`
	Version sequoialead.Version `json:"version"`
	// LogRead is when the log was last read to its end.
	LogRead  time.Time                      `json:"log_read"`
	ListRead time.Time                      `json:"list_read"`
	Open     int                            `json:"open"`
	Outcomes map[sequoialead.Outcome]uint64 `json:"outcomes"`
	Agents   []Agent                        `json:"agents"`
	Entries  []Entry                        `json:"entries"`
	Out      []string                       `json:"out,omitempty"`
	Costs    []Cost                         `json:"costs,omitempty"`
}

// Agent is an agent as the entry sees it.
type Agent struct {
	Name      string              `json:"name"`
	Pool      string              `json:"pool"`
	Domain    string              `json:"domain"`
	Addr      netip.AddrPort      `json:"addr"`
	Connected bool                `json:"connected"`
	Leaving   bool                `json:"leaving"`
	Limit     int                 `json:"limit"`
	Running   int                 `json:"running"`
	Waiting   int                 `json:"waiting"`
	Version   sequoialead.Version `json:"version"`
}

// Entry is another entry of the instance list.
type Entry struct {
	Name string         `json:"name"`
	Addr netip.AddrPort `json:"addr"`
}

// Cost is what a stage's calls took.
type Cost struct {
	Pipeline      string        `json:"pipeline"`
	Stage         string        `json:"stage"`
	Customer      string        `json:"customer"`
	Calls         uint64        `json:"calls"`
	Service       time.Duration `json:"service"`
	Tokens        uint64        `json:"tokens"`
	WastedService time.Duration `json:"wasted_service"`
	WastedTokens  uint64        `json:"wasted_tokens"`
}

// Follower holds the configuration.
type Follower interface {
	View(look func(*fold.Fold))
	Propose(ctx context.Context, p sequoialead.Patch) (sequoialead.Audit, error)
}

// Options configures a handler.
type Options struct {
	Follower Follower
	// Status returns what the entry knows.
	Status func() StatusAnswer
	// Operators holds names by the SHA-256 of their key in hexadecimal.
	Operators map[string]string
	Log       klog.Logger
}

// Handler serves operators.
type Handler struct {
	opts Options
}

// New returns a handler.
func New(opts Options) *Handler { return &Handler{opts: opts} }

// Mount adds the operators' paths.
func (h *Handler) Mount(mux *goji.Mux) {
	mux.HandleFunc(pat.Post(PathPatch), h.guard(h.patch))
	mux.HandleFunc(pat.Get(PathShow), h.guard(h.show))
	mux.HandleFunc(pat.Get(PathStatus), h.guard(h.status))
	mux.HandleFunc(pat.Get(PathAudit), h.guard(h.audit))
}

type handler func(w http.ResponseWriter, r *http.Request, who string)

func (h *Handler) guard(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		who, ok := h.opts.Operators[digest.Of(key)]
		if !ok {
			http.Error(w, "the operator's key is missing or wrong; give it as --key or SEQUOIALEAD_KEY", http.StatusUnauthorized)
			return
		}
		next(w, r, who)
	}
}

func answer(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value) // client gone
}

func (h *Handler) patch(w http.ResponseWriter, r *http.Request, who string) {
	var request PatchRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&request); err != nil {
		http.Error(w, "the patch cannot be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	if request.ID == uuid.Nil || len(request.Changes) == 0 {
		http.Error(w, "the patch needs an id and at least one change", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), proposeTimeout)
	defer cancel()
	audit, err := h.opts.Follower.Propose(ctx, sequoialead.Patch{
		ID:      request.ID,
		Who:     who,
		When:    time.Now().UTC(),
		Base:    request.Base,
		Changes: request.Changes,
		Note:    request.Note,
	})
	result := PatchAnswer{Audit: audit}
	h.opts.Follower.View(func(f *fold.Fold) {
		result.Current = f.Version()
		if audit.Verdict == sequoialead.VerdictConflict {
			result.Since = since(f, request.Base)
		}
	})
	code := http.StatusOK
	if err != nil {
		result.Trouble = err.Error()
		code = http.StatusServiceUnavailable
	}
	h.opts.Log.Info("patch", "who", who, "id", request.ID, "base", request.Base, "verdict", audit.Verdict, "version", audit.Version, "trouble", result.Trouble)
	answer(w, code, result)
}

func since(f *fold.Fold, base sequoialead.Version) []Patch {
	var patches []Patch
	for _, p := range f.Since(base) {
		patches = append(patches, Patch{Version: p.Base + 1, Who: p.Who, When: p.When, Changes: p.Changes})
	}
	return patches
}

func (h *Handler) show(w http.ResponseWriter, r *http.Request, _ string) {
	var result ShowAnswer
	var err error
	wanted := r.URL.Query().Get("version")
	h.opts.Follower.View(func(f *fold.Fold) {
		result.Version = f.Version()
		doc := f.Document()
		if wanted != "" {
			var n uint64
			n, err = strconv.ParseUint(wanted, 10, 64)
			if err == nil {
				result.Version = sequoialead.Version(n)
				doc, err = f.At(result.Version)
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
	answer(w, http.StatusOK, result)
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request, _ string) {
	answer(w, http.StatusOK, h.opts.Status())
}

func (h *Handler) audit(w http.ResponseWriter, _ *http.Request, _ string) {
	var audits []sequoialead.Audit
	h.opts.Follower.View(func(f *fold.Fold) { audits = f.Audits() })
	answer(w, http.StatusOK, audits)
}
