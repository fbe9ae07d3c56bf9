package forward_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/proxyconfig"
)

// boundedSink has room for a number of bytes of held back answers.
type boundedSink struct {
	recordingSink
	room     int64
	reserved int64
}

func (s *boundedSink) Reserve(bytes int64) bool {
	if s.reserved+bytes > s.room {
		return false
	}
	s.reserved += bytes
	return true
}

// textServer answers each request with a text and then ends with err.
type textServer struct {
	text string
	err  error
}

func (s textServer) Exchange(context.Context, sequoialead.ProxyAttempt) (*sequoialead.Response, error) {
	return &sequoialead.Response{Status: http.StatusOK, Header: http.Header{}, Stamped: true, Length: -1, Body: &textBody{strings.NewReader(s.text), s.err}}, nil
}

type textBody struct {
	text *strings.Reader
	err  error
}

func (b *textBody) Read(p []byte) (int, error) {
	n, err := b.text.Read(p)
	if err != nil {
		err = b.err
	}
	return n, err
}
func (b *textBody) Buffered() int { return 0 }
func (b *textBody) Close() error  { return nil }

// TestAnswersAreHeldBackOnlyWithRoom guards against holding back more of an answer than there is
// room for, against losing bytes where it is passed on in parts, and against counting small answers.
func TestAnswersAreHeldBackOnlyWithRoom(t *testing.T) {
	part := strings.Repeat("x", 10<<10)
	lost := sequoialead.ErrLost.New("lost")
	tests := []struct {
		desc     string
		parts    int
		err      error
		room     int64
		reserved int64
		status   int
		whole    bool
	}{
		{"small", 1, io.EOF, 0, 0, 0, true},
		{"large, with room", 10, io.EOF, 1 << 20, 256 << 10, 0, true},
		{"large, without room", 10, io.EOF, 1000, 0, 0, true},
		{"very large, with room", 50, io.EOF, 1 << 20, 256 << 10, 0, true},
		{"very large, without room", 50, io.EOF, 1000, 0, 0, true},
		{"large and cut, with room", 10, lost, 1 << 20, 256 << 10, http.StatusBadGateway, false},
		{"large and cut, without room", 10, lost, 1000, 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			w := newFakePlatform()
			w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindUnsafe, MaxAttempts: 1, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
			text := strings.Repeat(part, test.parts)
			sink := &boundedSink{room: test.room}
			v := w.newForwarderTo(t, textServer{text, test.err}).Serve(context.Background(), newProxyRequest(w), sink)
			c.Assert(v.Status, qt.Equals, test.status)
			c.Assert(v.Truncated, qt.Equals, !test.whole && test.status == 0)
			c.Assert(sink.text.String() == text, qt.Equals, test.status == 0)
			c.Assert(sink.reserved, qt.Equals, test.reserved)
		})
	}
}
