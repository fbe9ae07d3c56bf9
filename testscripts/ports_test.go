package testscripts

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
)

// portAllocator allocates ports below the ephemeral range, so that no outgoing
// connection of another fleet takes one before its process listens on it.
type portAllocator struct {
	next atomic.Int32
}

const firstPort = 11000

func (p *portAllocator) allocate() (netip.AddrPort, error) {
	for range 1000 {
		addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(firstPort+p.next.Add(1)))
		l, err := net.Listen("tcp", addr.String())
		if err == nil {
			return addr, l.Close()
		}
	}
	return netip.AddrPort{}, fmt.Errorf("no free port found above %d", firstPort)
}
