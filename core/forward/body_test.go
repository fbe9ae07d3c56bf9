package forward_test

import (
	"bytes"
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/proxyconfig"
)

// fakeBody is an answer that arrives in the given parts and then ends with err.
type fakeBody struct {
	parts []string
	err   error
}

func (b *fakeBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, b.err
	}
	n := copy(p, b.parts[0])
	b.parts = b.parts[1:]
	return n, nil
}
func (b *fakeBody) Buffered() int { return 0 }
func (b *fakeBody) Close() error  { return nil }

// endlessBody is an answer that goes on until it is closed. If it is silent, no bytes
// come.
type endlessBody struct {
	silent bool
	closed chan struct{}
	once   sync.Once
}

func newEndlessBody(silent bool) *endlessBody {
	return &endlessBody{silent: silent, closed: make(chan struct{})}
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.silent {
		<-b.closed
	}
	select {
	case <-b.closed:
		return 0, sequoialead.ErrLost.New("closed")
	default:
	}
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
func (b *endlessBody) Buffered() int { return 0 }
func (b *endlessBody) Close() error {
	b.once.Do(func() { close(b.closed) })
	return nil
}

// hangingBody is an answer that stops after its first part, until its context ends.
type hangingBody struct {
	ctx   context.Context
	first string
}

func (b *hangingBody) Read(p []byte) (int, error) {
	if b.first != "" {
		n := copy(p, b.first)
		b.first = b.first[n:]
		return n, nil
	}
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}
func (b *hangingBody) Buffered() int { return 0 }
func (b *hangingBody) Close() error  { return nil }

// endlessEvent answers each request with an event that has no end. It counts the bytes read.
type endlessEvent struct{ read atomic.Int64 }

func (e *endlessEvent) Exchange(context.Context, sequoialead.ProxyAttempt) (*sequoialead.Response, error) {
	return &sequoialead.Response{Status: http.StatusOK, Header: http.Header{}, Stamped: true, Body: e}, nil
}
func (e *endlessEvent) Buffered() int { return 0 }
func (e *endlessEvent) Close() error  { return nil }
func (e *endlessEvent) Read(p []byte) (int, error) {
	n := copy(p, bytes.Repeat([]byte{'x'}, 100))
	e.read.Add(int64(n))
	return n, nil
}

// An event without end is held in memory until it is given up, which must be early: an entry
// has many streams at a time.
func TestEventWithoutEndIsGivenUpEarly(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindStream, Resumable: true, MaxAttempts: 1, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
	e := &endlessEvent{}
	v := w.newForwarderTo(t, e).Serve(context.Background(), newProxyRequest(w), &recordingSink{})
	c.Assert(v.Status, qt.Equals, http.StatusBadGateway)
	c.Assert(e.read.Load() <= 100<<10, qt.IsTrue, qt.Commentf("%d bytes were read", e.read.Load()))
}
