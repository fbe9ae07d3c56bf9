package proxy_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead/fake/proxy"
)

// A connection whose data is stopped in one direction still works in the other.
func TestOneWayFaults(t *testing.T) {
	tests := []struct {
		desc     string
		fault    proxy.Fault
		toServer bool
		toClient bool
	}{
		{"healthy", proxy.Fault{}, true, true},
		{"nothing reaches the server", proxy.Fault{CutToServer: true}, false, true},
		{"nothing reaches the client", proxy.Fault{CutToClient: true}, true, false},
		{"nothing passes", proxy.Fault{Cut: true}, false, false},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			p, err := proxy.New(netip.MustParseAddrPort(l.Addr().String()))
			c.Assert(err, qt.IsNil)
			c.Assert(p.Start(context.Background()), qt.IsNil)
			client, err := net.Dial("tcp", p.Addr().String())
			c.Assert(err, qt.IsNil)
			server, err := l.Accept()
			c.Assert(err, qt.IsNil)
			p.SetFault(test.fault)
			c.Assert(byteArrives(client, server), qt.Equals, test.toServer)
			c.Assert(byteArrives(server, client), qt.Equals, test.toClient)
			p.SetFault(proxy.Fault{})
			_ = client.Close()
			_ = server.Close()
			c.Assert(p.Close(), qt.IsNil)
			c.Assert(l.Close(), qt.IsNil)
		})
	}
}

// byteArrives reports whether a byte arrives at the other end within 200 ms.
func byteArrives(from, to net.Conn) bool {
	if _, err := from.Write([]byte("x")); err != nil {
		return false
	}
	_ = to.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	_, err := io.ReadFull(to, make([]byte, 1))
	return err == nil
}
