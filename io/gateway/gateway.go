// Package gateway is the HTTP handler for callers' requests that are passed
// through to backend servers with their bodies unread.
package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/forward"
	"sequoialead/core/proxyconfig"
)

// Codec translates between callers' headers and proxied requests.
type Codec interface {
	// Decode returns the proxied request for a caller's request with the given body,
	// which arrived at the given time. The error says what is invalid in the request.
	Decode(r *http.Request, body []byte, arrived time.Time) (*sequoialead.ProxyRequest, error)
	// Encode sets the headers of the answer to the request with the given ID. The
	// backend server's headers are nil if the entry itself answers.
	Encode(to http.Header, id string, from http.Header)
}

// Options configures a handler.
type Options struct {
	Codec     Codec
	Forwarder *forward.Forwarder
	// Config returns the configuration in force; nil if none is known yet.
	Config func() *proxyconfig.Config
	// Now returns the time for ProxyRequest.ArrivedAt, by a clock that also runs
	// while the machine is suspended.
	Now func() time.Time
	Log klog.Logger
	// MaxBufferedBytes is the maximum number of bytes of request bodies held in
	// memory at once.
	MaxBufferedBytes int64
}

// initialBodyBytes is the initial buffer size for a body of unknown length.
const initialBodyBytes = 4 << 10

// Handler passes callers' requests through to backend servers.
type Handler struct {
	opts Options
	// bufferedBytes is the number of bytes of request bodies held in memory.
	bufferedBytes atomic.Int64
}

var _ http.Handler = (*Handler)(nil)

// New returns a handler.
func New(opts Options) *Handler { return &Handler{opts: opts} }

// ServeHTTP passes a request through and writes the answer. If the answer
// cannot be completed, or the caller has disconnected, it panics with
// http.ErrAbortHandler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.opts.Now()
	w.Header()["Content-Type"] = nil // keeps net/http from guessing it if the backend server sets none
	limits := proxyconfig.Limits{}
	if current := h.opts.Config(); current != nil {
		limits = current.Limits
	}
	if limits.Header > 0 && headerSize(r) > limits.Header {
		h.writeError(w, http.StatusRequestHeaderFieldsTooLarge, sequoialead.ReasonSize, 0)
		return
	}
	body, status := h.readBody(w, r, limits.Body)
	if status != 0 {
		h.writeError(w, status, sequoialead.ReasonSize, 0)
		return
	}
	defer h.bufferedBytes.Add(-int64(len(body)))
	p, err := h.opts.Codec.Decode(r, body, arrived)
	if err != nil {
		h.opts.Log.Info("request-invalid", "err", err)
		h.writeError(w, http.StatusBadRequest, sequoialead.ReasonBody, 0)
		return
	}
	s := &sink{w: w, controller: http.NewResponseController(w), codec: h.opts.Codec, id: p.ID}
	result := h.opts.Forwarder.Serve(r.Context(), p, s)
	switch {
	case result.Truncated || result.Disconnected || s.failed:
		panic(http.ErrAbortHandler) // closes the connection, so that the caller sees that the answer is incomplete
	case result.Status != 0:
		h.opts.Codec.Encode(w.Header(), p.ID, nil)
		h.writeError(w, result.Status, result.Reason, result.RetryAfter)
	}
}

// writeError answers with an error of the entry itself. A retry time above 0
// is sent as Retry-After in seconds with three decimals.
func (h *Handler) writeError(w http.ResponseWriter, status int, reason sequoialead.Reason, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, string(reason)+": "+reason.Remedy()+"\n") // fails if the caller has disconnected
}

// readBody reads a body of at most maxBytes, or of any size if that is 0, and
// adds its length to bufferedBytes. The status is that of the error to answer
// with; 0 if there is none.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, maxBytes int) ([]byte, int) {
	if maxBytes > 0 && r.ContentLength > int64(maxBytes) {
		return nil, http.StatusRequestEntityTooLarge
	}
	if r.ContentLength == 0 {
		return nil, 0
	}
	reserved := int64(initialBodyBytes)
	if r.ContentLength > 0 {
		reserved = r.ContentLength
	}
	if h.bufferedBytes.Add(reserved) > h.opts.MaxBufferedBytes {
		h.bufferedBytes.Add(-reserved)
		return nil, http.StatusServiceUnavailable
	}
	src := io.Reader(r.Body)
	if maxBytes > 0 {
		src = http.MaxBytesReader(w, r.Body, int64(maxBytes))
	}
	body, err := readAll(src, reserved)
	h.bufferedBytes.Add(int64(len(body)) - reserved)
	if err == nil {
		return body, 0
	}
	h.bufferedBytes.Add(-int64(len(body)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, http.StatusRequestEntityTooLarge
	}
	panic(http.ErrAbortHandler) // the body could not be read to its end, for example because the caller has disconnected
}

// readAll reads src to its end into a buffer that is allocated for sizeHint
// bytes. On an error it returns what was read so far.
func readAll(src io.Reader, sizeHint int64) ([]byte, error) {
	body := make([]byte, 0, sizeHint+1)
	for {
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
	}
}

// headerSize returns the approximate number of bytes of a request's line and
// headers.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + 4 // ": " and "\r\n"
		}
	}
	return n
}

// sink writes the answer to the caller.
type sink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	codec      Codec
	id         string
	// failed is set once a write or flush has failed.
	failed bool
}

var _ forward.Sink = (*sink)(nil)

// Head writes the status and headers of the answer. A negative length sets no
// Content-Length.
func (s *sink) Head(status int, header http.Header, length int64) {
	s.codec.Encode(s.w.Header(), s.id, header)
	if length >= 0 {
		s.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	s.w.WriteHeader(status)
}

// Write writes a part of the answer's body.
func (s *sink) Write(p []byte) error {
	_, err := s.w.Write(p)
	s.failed = s.failed || err != nil
	return err
}

// Flush sends the written bytes to the caller.
func (s *sink) Flush() error {
	err := s.controller.Flush()
	s.failed = s.failed || err != nil
	return err
}
