package link_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/websocket"

	"sequoialead/core/protocol"
	"sequoialead/io/link"
)

// The peer may be gone before the link's goroutines have started.
func TestNewOverClosedConnection(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		upgrader := websocket.Upgrader{}
		if conn, err := upgrader.Upgrade(w, r, nil); err == nil {
			_ = conn.Close()
		}
	}))
	defer server.Close()
	conn, _, err := websocket.DefaultDialer.Dial("ws"+strings.TrimPrefix(server.URL, "http"), nil) //nolint:bodyclose // the dialer closes it
	c.Assert(err, qt.IsNil)
	c.Assert(conn.Close(), qt.IsNil)
	for range 20_000 {
		l := link.New(link.Options{Conn: conn, Handle: func(*link.Link, protocol.Frame) {}})
		<-l.Done()
		c.Assert(l.Close(), qt.IsNil)
	}
}
