// Package standin is a client for the fake backend servers of package
// fake/engine. It injects faults into them.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"sequoialead"
	"sequoialead/core/workload"
	"sequoialead/fake/engine"
)

// slowFactor is the factor by which workload.VerbSlow slows a backend server down.
const slowFactor = 10

// Client is a client of a fake backend server.
type Client struct {
	addr netip.AddrPort
}

// New returns a client of the fake backend server at an address.
func New(addr netip.AddrPort) *Client { return &Client{addr: addr} }

// Inject injects the fault that a verb of package workload stands for. Any other
// verb clears all faults.
func (c *Client) Inject(ctx context.Context, verb string) error {
	var fault engine.Fault
	switch verb {
	case workload.VerbCold:
		fault.Cold = true
	case workload.VerbSlow:
		fault.Slow = slowFactor
	case workload.VerbFail:
		fault.Fail = true
	}
	raw, err := json.Marshal(fault)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.addr.String()+"/fault", bytes.NewReader(raw))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return sequoialead.ErrPlatform.Wrap(err, "fake backend server %s does not answer; check that the site is running", c.addr)
	}
	return response.Body.Close()
}
