package http1

import (
	"context"
	"net"
	"net/http"
)

// NewTransport returns a transport for clients that use net/http, with the settings of base, which
// must have no DialContext. Like Client, it doesn't take the failure of a connection for the end of
// an answer.
func NewTransport(base *http.Transport) http.RoundTripper {
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
	return base
}
