package http1_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"sequoialead/io/http1"
)

// A connection that has carried a malformed response must not carry another request, also if the
// response has no body.
func TestTransportClosesConnectionAfterMalformedResponse(t *testing.T) {
	tests := []struct {
		desc string
		head string
	}{
		{"a name with a blank, no body", "HTTP/1.1 200 OK\r\nX Note: y\r\nContent-Length: 0\r\n\r\n"},
		{"a name with a blank, a body", "HTTP/1.1 200 OK\r\nX Note: y\r\nContent-Length: 2\r\n\r\n"},
		{"status 000, no body", "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			p := newFakeServer(t, func(n int, conn net.Conn, r *bufio.Reader) {
				for {
					if _, _, err := readRequest(r); err != nil {
						return
					}
					if n == 1 {
						write(conn, test.head)
						continue
					}
					write(conn, completeResponse)
				}
			})
			client := http.Client{Transport: http1.NewTransport(&http.Transport{})}
			defer client.CloseIdleConnections()
			post := func() (*http.Response, error) {
				request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+p.addr.String(), strings.NewReader("body"))
				c.Assert(err, qt.IsNil)
				return client.Do(request)
			}
			_, err := post() //nolint:bodyclose // there is no response
			c.Assert(err, qt.IsNotNil)
			response, err := post()
			c.Assert(err, qt.IsNil)
			c.Assert(response.Body.Close(), qt.IsNil)
			c.Assert(p.connCount(), qt.Equals, 2)
		})
	}
}
