// Package standin speaks to the stand-ins of backend servers, to set faults.
package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"

	"sequoialead"
	"sequoialead/core/mix"
	"sequoialead/fake/engine"
)

const slowFactor = 10

// Client speaks to one stand-in.
type Client struct {
	addr netip.AddrPort
}

// New returns a client of the stand-in at an address.
func New(addr netip.AddrPort) *Client { return &Client{addr: addr} }

// Fault sets the fault that a verb of a mix names; any other verb mends.
func (c *Client) Fault(ctx context.Context, verb string) error {
	var fault engine.Fault
	switch verb {
	case mix.VerbCold:
		fault.Cold = true
	case mix.VerbSlow:
		fault.Slow = slowFactor
	case mix.VerbFail:
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
		return sequoialead.ErrPlatform.Wrap(err, "stand-in %s does not answer; is the site running?", c.addr)
	}
	return response.Body.Close()
}
