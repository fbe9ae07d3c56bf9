package http1

import (
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// checkHead returns an error for a response that net/http accepts, but that must not be passed on,
// nor what follows it on its connection.
func checkHead(r *http.Response) error {
	if r.StatusCode < http.StatusContinue || r.StatusCode == http.StatusSwitchingProtocols { // no request asks for another protocol
		return fmt.Errorf("received a response with the invalid status %q", r.Status)
	}
	// net/http accepts blanks in names, and overlooks a length or encoding that has one.
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("received a response with the invalid header name %q", name)
		}
	}
	return nil
}
