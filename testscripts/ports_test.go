package testscripts

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
)

// ports gives out ports below those that the system gives to connections, so
// that no process of another fleet takes one in between.
type ports struct {
	next atomic.Int32
}

const firstPort = 11000

func (p *ports) take() (netip.AddrPort, error) {
	for range 1000 {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+p.next.Add(1)))
		l, err := net.Listen("tcp", addr.String())
		if err == nil {
			return addr, l.Close()
		}
	}
	return netip.AddrPort{}, fmt.Errorf("no port is free above %d", firstPort)
}
