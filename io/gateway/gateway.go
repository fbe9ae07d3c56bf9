// Package gateway is the HTTP handler for callers' requests that are passed
// through to backend servers with their bodies unread.
package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"sequoialead"
	"sequoialead/core/callerbudget"
	"sequoialead/core/forward"
	"sequoialead/core/proxyconfig"
	"sequoialead/io/web"
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
}

const (
	// initialBodyBytes is the initial buffer size for a body of unknown length, and
	// maxInitialBodyBytes that for one of a known length, which may never come. A buffer of up
	// to initialBodyBytes is counted with its connection.
	initialBodyBytes    = callerbudget.FreeBodyBytes
	maxInitialBodyBytes = 64 << 10
	// memoryRetryAfter is the hint to callers that are refused for lack of memory. Bodies that
	// don't come end within a second if others need their room.
	memoryRetryAfter = 250 * time.Millisecond
)

// Handler passes callers' requests through to backend servers.
type Handler struct {
	opts Options
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
	conn := web.ConnOf(r.Context())
	if limits.Header > 0 && headerSize(r) > limits.Header {
		conn.LimitRest()
		h.writeError(w, http.StatusRequestHeaderFieldsTooLarge, sequoialead.ReasonSize, 0)
		return
	}
	body, held, status := h.readBody(w, r, conn, limits.Body)
	defer func() { conn.Release(held) }()
	if status != 0 {
		h.refuseBody(w, conn, status)
		return
	}
	p, err := h.opts.Codec.Decode(r, body, arrived)
	if err != nil {
		h.opts.Log.Info("request-invalid", "err", err)
		h.writeError(w, http.StatusBadRequest, sequoialead.ReasonBody, 0)
		return
	}
	s := &sink{w: w, controller: http.NewResponseController(w), codec: h.opts.Codec, id: p.ID, conn: conn}
	defer s.release()
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

// refuseBody answers with an error of the entry itself to a request whose body was not read.
func (h *Handler) refuseBody(w http.ResponseWriter, conn *web.Conn, status int) {
	conn.LimitRest()
	reason, retryAfter := sequoialead.ReasonSize, time.Duration(0)
	switch status {
	case http.StatusServiceUnavailable:
		reason, retryAfter = sequoialead.ReasonMemory, memoryRetryAfter
	case http.StatusRequestTimeout:
		reason = sequoialead.ReasonTimeout
	}
	if status != http.StatusRequestEntityTooLarge {
		w.Header().Set("Connection", "close") // the rest of the body is of no use
	}
	h.writeError(w, status, reason, retryAfter)
}

// readBody reads a body of at most maxBytes, or of any size if that is 0. What is held is
// counted for the connection, before it is allocated, and is to be released. The status is that
// of the error to answer with; 0 if there is none.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, conn *web.Conn, maxBytes int) (body []byte, held int64, status int) {
	if maxBytes > 0 && r.ContentLength > int64(maxBytes) {
		return nil, 0, http.StatusRequestEntityTooLarge
	}
	if r.ContentLength == 0 {
		return nil, 0, 0
	}
	size := int64(initialBodyBytes)
	if r.ContentLength > 0 {
		size = min(r.ContentLength+1, maxInitialBodyBytes) // one more, to find the end without a larger buffer
	}
	held = size
	if size <= initialBodyBytes {
		held = 0
	}
	if !conn.BeginBody(held) {
		conn.EndBody(false)
		return nil, 0, http.StatusServiceUnavailable
	}
	src := io.Reader(r.Body)
	if maxBytes > 0 {
		src = http.MaxBytesReader(w, r.Body, int64(maxBytes))
	}
	body, held, full, err := readAll(src, conn, size, held, r.ContentLength)
	if !conn.EndBody(err == nil) {
		conn.Release(held)
		panic(http.ErrAbortHandler) // the connection was closed, so the request can't be answered
	}
	var tooLarge *http.MaxBytesError
	switch {
	case full:
		return nil, held, http.StatusServiceUnavailable
	case err == nil:
		return body, held, 0
	case errors.As(err, &tooLarge):
		return nil, held, http.StatusRequestEntityTooLarge
	case conn.BodyEnded(err):
		return nil, held, http.StatusRequestTimeout
	}
	conn.Release(held)
	panic(http.ErrAbortHandler) // the body could not be read to its end, for example because the caller has disconnected
}

// readAll reads src to its end into a buffer of the given size, of which counted bytes were counted, and
// grows it as the body arrives. The length is that of the whole body; negative if not known. It returns
// what is counted at the end, and whether there was no room for more.
func readAll(src io.Reader, conn *web.Conn, size, counted, length int64) (body []byte, held int64, full bool, err error) {
	body = make([]byte, 0, size)
	for {
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, counted, false, nil
		}
		if err != nil {
			return nil, counted, false, err
		}
		conn.Progress(int64(n))
		if len(body) < cap(body) {
			continue
		}
		larger := 2 * size
		if length >= 0 {
			larger = min(larger, length+1)
		}
		if !conn.Grow(larger) { // both buffers are held while the body is copied
			return nil, counted, true, nil
		}
		body = append(make([]byte, 0, larger), body...)
		conn.Release(counted)
		size, counted = larger, larger
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
	conn       *web.Conn
	// reserved is what is counted for the answer.
	reserved int64
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

// Reserve counts a part of the answer that is held back. It reports false if there is no room.
func (s *sink) Reserve(bytes int64) bool {
	if !s.conn.Grow(bytes) {
		return false
	}
	s.reserved += bytes
	return true
}

// release ends the count of what was reserved.
func (s *sink) release() { s.conn.Release(s.reserved) }
