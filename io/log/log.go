// Package log is an HTTP client for the platform's append-only log.
package log

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"sequoialead"
	"sequoialead/io/http1"
)

const (
	maxBodyBytes = 64 << 20
	dialTimeout  = time.Second
	// readGrace is the time that a read may take beyond the wait asked for.
	readGrace = 2 * time.Second
)

// Record is the JSON form of a record.
type Record struct {
	Offset uint64    `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Batch is the JSON body of the response to a read. For its fields see
// sequoialead.Batch.
type Batch struct {
	Records []Record `json:"records"`
	Oldest  uint64   `json:"oldest"`
	Next    uint64   `json:"next"`
}

// AppendResult is the JSON body of the response to an append.
type AppendResult struct {
	// Offset is that of the appended record.
	Offset uint64 `json:"offset"`
}

// Client is a client of the log.
type Client struct {
	addr netip.AddrPort
	http *http.Client
}

var _ sequoialead.Log = (*Client)(nil)

// New returns a client of the log at an address.
func New(addr netip.AddrPort) *Client {
	return &Client{addr: addr, http: &http.Client{Transport: http1.NewTransport(&http.Transport{MaxIdleConnsPerHost: 16})}}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Append adds a record and returns its offset. After an error the record may
// or may not have been appended.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	var answer AppendResult
	url := fmt.Sprintf("http://%s/streams/%s", c.addr, stream)
	if err := c.do(ctx, http.MethodPost, url, data, &answer); err != nil {
		return 0, err
	}
	return answer.Offset, nil
}

// Read returns records from an offset on. It waits up to the given time for
// one.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait time.Duration) (sequoialead.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	var answer Batch
	url := fmt.Sprintf("http://%s/streams/%s?from=%d&wait=%s", c.addr, stream, from, wait)
	if err := c.do(ctx, http.MethodGet, url, nil, &answer); err != nil {
		return sequoialead.Batch{}, err
	}
	batch := sequoialead.Batch{Oldest: answer.Oldest, Next: answer.Next}
	for _, r := range answer.Records {
		batch.Records = append(batch.Records, sequoialead.Record(r))
	}
	return batch, nil
}

func (c *Client) do(ctx context.Context, method, url string, body []byte, answer any) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return sequoialead.ErrSettings.Wrap(err, "the address of the log is invalid; check 'log'")
	}
	request.GetBody = nil // keeps net/http from sending an append again
	response, err := c.http.Do(request)
	if err != nil {
		return sequoialead.ErrPlatform.Wrap(err, "the log at %s does not answer; check it and 'log'", c.addr)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return sequoialead.ErrPlatform.New("the log at %s answered %d; check it", c.addr, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(answer); err != nil {
		return sequoialead.ErrPlatform.Wrap(err, "the log at %s sent an invalid response; check it", c.addr)
	}
	return nil
}
