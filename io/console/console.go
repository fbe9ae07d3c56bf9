// Package console is the client of the entries' HTTP API for operators.
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
	"sequoialead/io/http1"
	"sequoialead/io/operator"
)

const (
	maxAnswerBytes = 64 << 20
	requestTimeout = 15 * time.Second
)

// Options configures a client.
type Options struct {
	// Entries are the addresses of entries, tried in this order.
	Entries []netip.AddrPort
	// Key is the operator's key.
	Key string
}

// Client is a client of the API for operators.
type Client struct {
	opts Options
	http *http.Client
}

// New returns a client. The error is ErrSettings if no entry is given.
func New(opts Options) (*Client, error) {
	if len(opts.Entries) == 0 {
		return nil, sequoialead.ErrSettings.New("no entry is given; use --entry IP:PORT or SEQUOIALEAD_ENTRY")
	}
	return &Client{opts: opts, http: &http.Client{Timeout: requestTimeout, Transport: http1.NewTransport(&http.Transport{})}}, nil
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Patch requests a patch of the configuration and returns its outcome.
// Repeating a request with the same ID is safe.
func (c *Client) Patch(ctx context.Context, request operator.PatchRequest) (operator.PatchResponse, error) {
	var answer operator.PatchResponse
	raw, err := json.Marshal(request)
	if err != nil {
		return answer, sequoialead.ErrInvalid.Wrap(err, "the patch cannot be encoded; report this as a bug")
	}
	err = c.any(ctx, http.MethodPost, operator.PathPatch, raw, &answer)
	return answer, err
}

// Show returns the configuration at a version, or the current one if it is
// empty.
func (c *Client) Show(ctx context.Context, version string) (operator.ShowResponse, error) {
	var answer operator.ShowResponse
	err := c.any(ctx, http.MethodGet, operator.PathShow+"?version="+url.QueryEscape(version), nil, &answer)
	return answer, err
}

// Audit returns the audit trail, oldest line first.
func (c *Client) Audit(ctx context.Context) ([]sequoialead.Audit, error) {
	var answer []sequoialead.Audit
	err := c.any(ctx, http.MethodGet, operator.PathAudit, nil, &answer)
	return answer, err
}

// Status returns the status of the first entry that answers.
func (c *Client) Status(ctx context.Context) (operator.StatusResponse, error) {
	var answer operator.StatusResponse
	err := c.any(ctx, http.MethodGet, operator.PathStatus, nil, &answer)
	return answer, err
}

// StatusOf returns the status of the given entry.
func (c *Client) StatusOf(ctx context.Context, entry netip.AddrPort) (operator.StatusResponse, error) {
	var answer operator.StatusResponse
	err := c.query(ctx, entry, http.MethodGet, operator.PathStatus, nil, &answer)
	return answer, err
}

// any sends a request to the entries in order until one answers it, and
// decodes the JSON answer. The error is that of the last entry.
func (c *Client) any(ctx context.Context, method, path string, body []byte, answer any) error {
	var err error
	for _, entry := range c.opts.Entries {
		if err = c.query(ctx, entry, method, path, body, answer); err == nil {
			return nil
		}
	}
	return err
}

// query sends a request to an entry and decodes the JSON answer. The error is
// ErrPlatform if the entry does not answer, ErrLost if its answer is
// incomplete, ErrDenied if it does not accept the key, ErrInvalid if it
// rejects the request, and ErrProtocol if the answer cannot be decoded.
func (c *Client) query(ctx context.Context, entry netip.AddrPort, method, path string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entry.String()+path, bytes.NewReader(body))
	if err != nil {
		return sequoialead.ErrSettings.Wrap(err, "entry %s has no valid address; check --entry", entry)
	}
	request.Header.Set("Authorization", "Bearer "+c.opts.Key)
	response, err := c.http.Do(request)
	if err != nil {
		return sequoialead.ErrPlatform.Wrap(err, "entry %s does not answer; give another with --entry", entry)
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return sequoialead.ErrLost.Wrap(err, "the answer of entry %s was truncated; try again", entry)
	}
	isJSON := strings.HasPrefix(response.Header.Get("Content-Type"), "application/json")
	switch {
	case response.StatusCode == http.StatusUnauthorized:
		return sequoialead.ErrDenied.New("%s", strings.TrimSpace(string(raw)))
	case !isJSON:
		return sequoialead.ErrInvalid.New("entry %s: %s", entry, strings.TrimSpace(string(raw)))
	}
	if err := json.Unmarshal(raw, answer); err != nil {
		return sequoialead.ErrProtocol.Wrap(err, "entry %s sent an invalid answer; use a client of the same version", entry)
	}
	return nil
}
