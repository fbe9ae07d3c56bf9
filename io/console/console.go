// Package console is the operators' client of the entries. Besides the client
// it exports its options.
package console

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"sequoialead"
	"sequoialead/io/operator"
)

const (
	maxAnswer = 64 << 20
	timeout   = 15 * time.Second
)

// Options configures a client.
type Options struct {
	// Entries are tried in order.
	Entries []netip.AddrPort
	// Key is the operator's key.
	Key string
}

// Console speaks to the entries on an operator's behalf.
type Console struct {
	opts Options
	http *http.Client
}

// New returns a client.
func New(opts Options) (*Console, error) {
	if len(opts.Entries) == 0 {
		return nil, sequoialead.ErrSettings.New("no entry is given; give --entry IP:PORT or SEQUOIALEAD_ENTRY")
	}
	return &Console{opts: opts, http: &http.Client{Timeout: timeout, Transport: &http.Transport{}}}, nil
}

// Close drops idle connections.
func (c *Console) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Patch offers a patch. The same request may be offered again.
func (c *Console) Patch(ctx context.Context, request operator.PatchRequest) (operator.PatchAnswer, error) {
	var answer operator.PatchAnswer
	raw, err := json.Marshal(request)
	if err != nil {
		return answer, sequoialead.ErrInvalid.Wrap(err, "the patch cannot be encoded; report this as a defect")
	}
	err = c.any(ctx, http.MethodPost, operator.PathPatch, raw, &answer)
	return answer, err
}

// Show returns the configuration, at a version or the current one.
func (c *Console) Show(ctx context.Context, version string) (operator.ShowAnswer, error) {
	var answer operator.ShowAnswer
	err := c.any(ctx, http.MethodGet, operator.PathShow+"?version="+url.QueryEscape(version), nil, &answer)
	return answer, err
}

// Audit returns the audit trail, oldest first.
func (c *Console) Audit(ctx context.Context) ([]sequoialead.Audit, error) {
	var answer []sequoialead.Audit
	err := c.any(ctx, http.MethodGet, operator.PathAudit, nil, &answer)
	return answer, err
}

// Status returns what the first entry that answers knows.
func (c *Console) Status(ctx context.Context) (operator.StatusAnswer, error) {
	var answer operator.StatusAnswer
	err := c.any(ctx, http.MethodGet, operator.PathStatus, nil, &answer)
	return answer, err
}

// StatusOf returns what one entry knows.
func (c *Console) StatusOf(ctx context.Context, entry netip.AddrPort) (operator.StatusAnswer, error) {
	var answer operator.StatusAnswer
	err := c.one(ctx, entry, http.MethodGet, operator.PathStatus, nil, &answer)
	return answer, err
}

// any asks the entries in order until one answers.
func (c *Console) any(ctx context.Context, method, path string, body []byte, answer any) error {
	var err error
	for _, entry := range c.opts.Entries {
		if err = c.one(ctx, entry, method, path, body, answer); err == nil {
			return nil
		}
	}
	return err
}

func (c *Console) one(ctx context.Context, entry netip.AddrPort, method, path string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.String()+path, bytes.NewReader(body))
	if err != nil {
		return sequoialead.ErrSettings.Wrap(err, "entry %s cannot be asked; check --entry", entry)
	}
	request.Header.Set("Authorization", "Bearer "+c.opts.Key)
	response, err := c.http.Do(request)
	if err != nil {
		return sequoialead.ErrPlatform.Wrap(err, "entry %s does not answer; give another with --entry", entry)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return sequoialead.ErrLost.Wrap(err, "entry %s did not finish its answer; ask again", entry)
	}
	isJSON := strings.HasPrefix(response.Header.Get("Content-Type"), "application/json")
	switch {
	case response.StatusCode == http.StatusUnauthorized:
		return sequoialead.ErrDenied.New("%s", strings.TrimSpace(string(raw)))
	case !isJSON:
		return sequoialead.ErrInvalid.New("entry %s: %s", entry, strings.TrimSpace(string(raw)))
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return sequoialead.ErrProtocol.Wrap(err, "entry %s sent an answer that cannot be read; use a client of the same version", entry)
	}
	return nil
}
