package http1

import (
	"context"
	"net"
	"net/http"
)

// transport is a transport for clients that use net/http.
type transport struct{ *http.Transport }

// NewTransport returns a transport for clients that use net/http, with the settings of base, which
// must have no DialContext. Like Client, it doesn't take the failure of a connection for the end of
// an answer, and fails on a malformed one.
func NewTransport(base *http.Transport) http.RoundTripper {
	base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: conn}, nil
	}
	return transport{base}
}

// RoundTrip sends a request and reads the head of its response.
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = response.Body.Close() // closes the connection, unless the body was read to its end
		return nil, err
	}
	return response, nil
}
