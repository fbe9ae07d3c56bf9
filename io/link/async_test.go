package link_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gorilla/websocket"

	"sequoialead"
	"sequoialead/core/protocol"
	"sequoialead/io/link"
)

// newLinkPair returns the two ends of one connection. The handler is called
// for frames that arrive at the server.
func newLinkPair(t *testing.T, handle func(*link.Link, protocol.Frame)) (client, server *link.Link) {
	t.Helper()
	accepted := make(chan *link.Link, 1)
	httpServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn, err := (&websocket.Upgrader{}).Upgrade(w, r, nil)
		if err != nil {
			return
		}
		accepted <- link.New(link.Options{Conn: conn, Handle: handle})
	}))
	t.Cleanup(httpServer.Close)
	conn, response, err := websocket.DefaultDialer.Dial("ws"+strings.TrimPrefix(httpServer.URL, "http"), nil)
	qt.Assert(t, err, qt.IsNil)
	_ = response.Body.Close()
	client = link.New(link.Options{Conn: conn, Handle: func(*link.Link, protocol.Frame) {}})
	server = <-accepted
	t.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client, server
}

func TestSendAsyncPreservesOrder(t *testing.T) {
	c := qt.New(t)
	got := make(chan sequence, 100)
	near, _ := newLinkPair(t, func(_ *link.Link, f protocol.Frame) { got <- sequence(f.Ping.Version) })
	for i := range 100 {
		near.SendAsync(protocol.Frame{Ping: &protocol.Ping{Version: version(i)}})
	}
	for i := range 100 {
		select {
		case n := <-got:
			c.Assert(n, qt.Equals, sequence(i))
		case <-time.After(5 * time.Second):
			c.Fatal("a frame was not received within 5 s")
		}
	}
}

// A handler may call SendAsync after the link was closed, if a response becomes
// ready at that moment. This must not panic or block.
func TestSendAsyncOnClosedLink(t *testing.T) {
	near, _ := newLinkPair(t, func(*link.Link, protocol.Frame) {})
	_ = near.Close()
	near.SendAsync(protocol.Frame{Ping: &protocol.Ping{}})
}

type sequence uint64

func version(i int) sequoialead.Version { return sequoialead.Version(i) }
