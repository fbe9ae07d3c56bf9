package http1

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"
)

// transport checks the heads of the responses of net/http.
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
		return transportConn{&checkedConn{Conn: conn}}, nil
	}
	return transport{base}
}

// RoundTrip sends a request and reads the head of its response.
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var conn net.Conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info.Conn }}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := checkHead(response); err != nil {
		_ = conn.Close() // after a response without a body, net/http may have given it to another request already
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// transportConn is a connection of net/http.
type transportConn struct{ *checkedConn }

// Write writes to the connection. It drops what the peer resets after it has ended its side: on an
// error net/http would close the connection, and with it what was not read of the answer.
func (c transportConn) Write(p []byte) (int, error) {
	n, err := c.checkedConn.Write(p)
	if errors.Is(err, syscall.EPIPE) {
		return len(p), nil
	}
	return n, err
}
