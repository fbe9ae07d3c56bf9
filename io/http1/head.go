package http1

import (
	"fmt"
	"net/http"
)

// checkHead returns an error for a response that net/http accepts, but that must not be passed on,
// nor what follows it on its connection.
func checkHead(r *http.Response) error {
	if r.StatusCode < http.StatusContinue || r.StatusCode == http.StatusSwitchingProtocols { // no request asks for another protocol
		return fmt.Errorf("received a response with the invalid status %q", r.Status)
	}
	return nil
}
