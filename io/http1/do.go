package http1

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/joomcode/errorx"

	"sequoialead"
)

var errHeadTooLong = errors.New("the status line and headers of the response are too long")

// headLimiter fails reads beyond a number of bytes or lines while it is enabled, which
// it is while a response's head is read.
type headLimiter struct {
	r         io.Reader
	enabled   bool
	bytesLeft int
	linesLeft int
}

// reset sets the limits for the next head.
func (l *headLimiter) reset() { l.bytesLeft, l.linesLeft = maxHeadBytes, maxHeadLines }

// Read reads from the connection. The error is errHeadTooLong once a limit is reached. It
// may read beyond the head, but not again.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.enabled {
		return l.r.Read(p)
	}
	if l.bytesLeft <= 0 || l.linesLeft <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.r.Read(p)
	l.bytesLeft -= n
	l.linesLeft -= bytes.Count(p[:n], []byte{'\n'})
	return n, err
}

// Response is a response whose head was read, and whose body is read with
// Read. It must be closed, or read to the end of its body.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is the number of bytes of the body; negative if unknown.
	ContentLength int64
	// CloseDelimited is set if the body has neither a Content-Length nor a transfer
	// encoding, so that it ends with its connection.
	CloseDelimited bool
	// Reused is set if the connection had carried an earlier response, of which a faulty
	// peer may have sent a second copy. Conn is the connection's number among those of the
	// client.
	Reused bool
	Conn   uint64

	client *Client
	conn   *conn
	body   io.ReadCloser
	// stopWatching unregisters the function that closes the connection when the
	// context ends. It reports false if the context has already ended.
	stopWatching func() bool
	// bodySent is closed once the request's body was written or the write failed.
	bodySent chan struct{}
	// keepAlive is set if the peer keeps the connection open after the response.
	keepAlive bool
	// hold is Request.Hold, and ended is set once the body was read to its end.
	hold  bool
	ended bool
	once  sync.Once
}

// Do sends a request and reads the head of its response. The error is
// ErrUnsent if nothing can have reached the peer, else ErrLost. If the context
// ends before the response's body was read, the connection is closed. If that
// makes Do fail, its error is joined with the context's. errorx.IsOfType does
// not look into joined errors, so it then matches neither ErrUnsent nor ErrLost.
func (c *Client) Do(ctx context.Context, addr netip.AddrPort, req Request) (*Response, error) {
	k := c.takeIdle(addr, req.MaxIdle, time.Now())
	if k == nil {
		var err error
		if k, err = c.dial(ctx, addr); err != nil {
			return nil, err
		}
	}
	stopWatching := context.AfterFunc(ctx, func() { _ = k.Close() }) // unblocks reads and writes
	response, err := c.roundTrip(k, req)
	if err != nil {
		stopWatching()
		_ = k.Close() // the request or response may be incomplete, which rules out reuse
		if ctx.Err() != nil {
			err = errors.Join(ctx.Err(), err)
		}
		return nil, err
	}
	response.stopWatching = stopWatching
	return response, nil
}

// syncBodyBytes is the maximum size of a body that is written together with
// the head. A larger one is written while the response is read, because a
// peer may respond before it has read the whole body.
const syncBodyBytes = 8 << 10

func (c *Client) roundTrip(k *conn, req Request) (*Response, error) {
	bodySent := make(chan struct{})
	head := encodeHead(req)
	if len(req.Body) <= syncBodyBytes {
		head = append(head, req.Body...)
		close(bodySent)
	}
	if n, err := k.Write(head); err != nil {
		if n == 0 {
			return nil, sequoialead.ErrUnsent.Wrap(err, "%s closed a reused connection; try again", k.addr)
		}
		return nil, lostType(err).Wrap(err, "the connection to %s failed while a request was being sent", k.addr)
	}
	if len(req.Body) > syncBodyBytes {
		go func() {
			defer close(bodySent)
			_ = k.writeBody(req.Body) // if this fails, so does reading the response, unless the peer has responded early
		}()
	}
	response, err := k.readResponse(req)
	if err != nil {
		return nil, lostType(err).Wrap(err, "no valid response was received from %s", k.addr)
	}
	response.client = c
	response.bodySent = bodySent
	response.hold = req.Hold
	return response, nil
}

// lostType returns ErrBroken if the peer has closed or reset the connection, as opposed to
// one that has timed out, was closed here or carried something invalid; else ErrLost.
func lostType(err error) *errorx.Type {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		return sequoialead.ErrBroken
	}
	return sequoialead.ErrLost
}

func encodeHead(req Request) []byte {
	var b bytes.Buffer
	b.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.Write(&b) // writes to a bytes.Buffer never fail
	if len(req.Body) > 0 || req.Method != http.MethodGet && req.Method != http.MethodHead && req.Method != http.MethodDelete {
		b.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// readResponse reads the head of the response. It first discards responses that
// Request.Matches rejects as belonging to other requests.
func (k *conn) readResponse(req Request) (*Response, error) {
	for range maxMismatched {
		raw, err := k.readHead(req.Method) //nolint:bodyclose // the Response closes the connection
		if err != nil {
			return nil, err
		}
		if req.Matches != nil && !req.Matches(raw.StatusCode, raw.Header) {
			if raw.ContentLength < 0 && len(raw.TransferEncoding) == 0 || raw.Close {
				return nil, errors.New("received a response to another request, after which the connection is closed")
			}
			switch _, err := io.CopyN(io.Discard, raw.Body, maxDiscardBytes); {
			case err == nil:
				return nil, errors.New("received a response to another request that is too long to discard")
			case !errors.Is(err, io.EOF):
				return nil, err
			}
			continue
		}
		framed := raw.ContentLength >= 0 || len(raw.TransferEncoding) > 0
		k.applyKeepAlive(raw.Header)
		return &Response{
			Status: raw.StatusCode, Header: raw.Header, ContentLength: raw.ContentLength,
			CloseDelimited: !framed, Reused: k.used, Conn: k.number, conn: k, body: raw.Body, keepAlive: framed && !raw.Close,
		}, nil
	}
	return nil, errors.New("received only responses to other requests")
}

// readHead reads a response's head, and discards interim (1xx) responses.
func (k *conn) readHead(method string) (*http.Response, error) {
	k.headLimit.reset()
	for {
		k.headLimit.enabled = true
		raw, err := http.ReadResponse(k.r, &http.Request{Method: method})
		k.headLimit.enabled = false
		if err == nil {
			err = checkHead(raw)
		}
		if err != nil {
			return nil, err
		}
		if raw.StatusCode >= http.StatusOK {
			return raw, nil
		}
	}
}

// applyKeepAlive sets the idle timeout from the peer's Keep-Alive header, if
// any.
func (k *conn) applyKeepAlive(header http.Header) {
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(seconds); err == nil && n >= 0 {
			k.idleTimeout = max(time.Duration(n)*time.Second-keepMargin, 0)
		}
	}
}

// Read reads the next bytes of the body. The error is io.EOF only if the
// whole body was read, and ErrLost if the connection failed before.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.ended = true
		if !r.hold {
			r.release()
		}
	} else if err != nil {
		err = lostType(err).Wrap(err, "the response from %s was truncated", r.conn.addr)
	}
	return n, err
}

// Buffered returns the number of bytes that were received and not read,
// including the framing of a chunked body.
func (r *Response) Buffered() int { return r.conn.r.Buffered() }

// release keeps the connection for reuse if the exchange was complete, and
// closes it otherwise.
func (r *Response) release() {
	r.once.Do(func() {
		stopped := r.stopWatching()
		select {
		case <-r.bodySent:
		default:
			stopped = false // the peer responded before the whole body was sent
		}
		if !stopped || !r.keepAlive || r.conn.r.Buffered() > 0 {
			_ = r.conn.Close() // not safe for another request
			return
		}
		r.client.putIdle(r.conn, time.Now())
	})
}

// Keep allows the connection to be reused after a request with Hold, if the body was read to
// its end.
func (r *Response) Keep() {
	if r.ended {
		r.release()
	}
}

// Close closes the connection if the body was not read to its end, or Keep was not called
// after a request with Hold.
func (r *Response) Close() error {
	var err error
	r.once.Do(func() {
		r.stopWatching()
		err = r.conn.Close()
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// ReadAll reads the rest of the body. The error is ErrProtocol if it has more
// than maxBytes.
func (r *Response) ReadAll(maxBytes int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(r, maxBytes+1))
	if err == nil && int64(len(raw)) > maxBytes {
		err = sequoialead.ErrProtocol.New("the response from %s has more than %d bytes", r.conn.addr, maxBytes)
	}
	return raw, err
}
