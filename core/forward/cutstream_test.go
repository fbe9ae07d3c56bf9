package forward_test

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/proxyconfig"
)

// scriptedBody answers each request with the given headers and parts of a body, the last of which
// comes together with the end if joined is set.
type scriptedBody struct {
	kind   string
	parts  []string
	err    error
	joined bool
}

func (s *scriptedBody) Exchange(context.Context, sequoialead.ProxyAttempt) (*sequoialead.Response, error) {
	body := sequoialead.BodyReader(&fakeBody{parts: s.parts, err: s.err})
	if s.joined {
		body = &joinedBody{fakeBody{parts: s.parts, err: s.err}}
	}
	return &sequoialead.Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {s.kind}}, Stamped: true, Length: -1, Body: body}, nil
}

// joinedBody returns its end together with its last part.
type joinedBody struct{ fakeBody }

func (b *joinedBody) Read(p []byte) (int, error) {
	n, err := b.fakeBody.Read(p)
	if len(b.parts) == 0 {
		err = b.err
	}
	return n, err
}

// TestStreamCutBeforeItsFirstEvent guards against a stream that breaks before its first whole
// event while no byte has left: callers got a closed connection and not a 502.
func TestStreamCutBeforeItsFirstEvent(t *testing.T) {
	broken := sequoialead.ErrBroken.New("reset")
	const events = "text/event-stream"
	tests := []struct {
		desc      string
		resumable bool
		body      scriptedBody
		status    int
		text      string
	}{
		{"in the first event", false, scriptedBody{events, []string{"id: 1\nda", "ta: x\n"}, broken, false}, 502, ""},
		{"in the first event, with its last bytes", false, scriptedBody{events, []string{"id: 1\ndata: x\n"}, broken, true}, 502, ""},
		{"in the first event, resumable", true, scriptedBody{events, []string{"id: 1\nda", "ta: x\n"}, broken, false}, 502, ""},
		{"no event, with its last bytes", false, scriptedBody{"application/json", []string{"{"}, broken, true}, 502, ""},
		{"nothing", false, scriptedBody{events, nil, broken, false}, 502, ""},
		{"in the second event", false, scriptedBody{events, []string{"id: 1\ndata: x\n\nid: 2"}, broken, false}, 0, "id: 1\ndata: x\n\nid: 2"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			w := newFakePlatform()
			w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindStream, Resumable: test.resumable, MaxAttempts: 1, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
			sink := &recordingSink{}
			v := w.newForwarderTo(t, &test.body).Serve(context.Background(), newProxyRequest(w), sink)
			c.Assert(v.Status, qt.Equals, test.status)
			c.Assert(v.Truncated, qt.Equals, test.status == 0)
			c.Assert(sink.text.String(), qt.Equals, test.text)
			c.Assert(sink.status == 0, qt.Equals, test.status != 0)
		})
	}
}
