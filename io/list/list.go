// Package list is an HTTP client for the platform's list of instances. It
// limits the bandwidth that reading the list takes.
package list

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"sequoialead"
	"sequoialead/io/http1"
)

// Path is the HTTP path of the list.
const Path = "/instances"

const encodingGzip = "gzip"

// Limits of reading the list.
const (
	// DefaultRate is the maximum average rate in bytes per second, as sent over
	// the network.
	DefaultRate = 700
	// DefaultBurst is the number of bytes that may be read at once after a time
	// in which the list did not change.
	DefaultBurst = 256 << 10
	// maxBodyBytes limits the body both as sent and decompressed.
	maxBodyBytes = 64 << 20
)

// Options configures a client.
type Options struct {
	Addr netip.AddrPort
	// Rate is the maximum average number of bytes read per second, and Burst the
	// number that may be read at once after a time in which the list did not
	// change; 0 for DefaultRate and DefaultBurst.
	Rate  float64
	Burst int
	// Now is the clock; nil for time.Now.
	Now func() time.Time
}

// Instance is the JSON form of an instance.
type Instance struct {
	Name    string         `json:"name"`
	Role    string         `json:"role"`
	Addr    netip.AddrPort `json:"addr"`
	Pool    string         `json:"pool,omitempty"`
	Domain  string         `json:"domain"`
	Region  string         `json:"region"`
	Leaving bool           `json:"leaving,omitempty"`
}

// Client is a client of the list. It uses entity tags, so that an unchanged
// list is not transferred again, and gzip, both if the platform supports
// them. A large list that changes often is read less often, to keep to the
// rate.
type Client struct {
	opts Options
	http *http.Client
	// limiter is a token bucket with a token for each byte that may be read. It
	// is below zero after a read that took more than was left. The list is not
	// read again until it is back at zero.
	limiter *rate.Limiter

	mu sync.Mutex
	// etag is the entity tag of cached, which is the list as last read; nil
	// before that.
	etag   string
	cached []sequoialead.Instance
}

var _ sequoialead.List = (*Client)(nil)

// New returns a client of the list.
func New(opts Options) *Client {
	if opts.Rate == 0 {
		opts.Rate = DefaultRate
	}
	if opts.Burst == 0 {
		opts.Burst = DefaultBurst
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Client{
		opts: opts,
		// Decompression is left to decode, which first counts the bytes as sent
		// over the network.
		http:    &http.Client{Transport: http1.NewTransport(&http.Transport{DisableCompression: true})},
		limiter: rate.NewLimiter(rate.Limit(opts.Rate), opts.Burst),
	}
}

// Close closes idle connections.
func (c *Client) Close() error {
	c.http.CloseIdleConnections()
	return nil
}

// Instances returns the current list or, while the rate does not allow
// reading it again, the list as last read. The error is ErrPlatform if the
// list could not be read.
func (c *Client) Instances(ctx context.Context) ([]sequoialead.Instance, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.opts.Addr.String()+Path, nil)
	if err != nil {
		return nil, sequoialead.ErrSettings.Wrap(err, "the address of the instance list is invalid; check 'list'")
	}
	request.Header.Set("Accept-Encoding", encodingGzip)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cached != nil && c.limiter.TokensAt(c.opts.Now()) < 0 {
		return c.cached, nil
	}
	if c.etag != "" {
		request.Header.Set("If-None-Match", c.etag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, sequoialead.ErrPlatform.Wrap(err, "the instance list at %s does not answer; check it and 'list'", c.opts.Addr)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return c.cached, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, sequoialead.ErrPlatform.New("the instance list at %s answered %d; check it", c.opts.Addr, response.StatusCode)
	}
	decoded, err := c.decode(response)
	if err != nil {
		return nil, sequoialead.ErrPlatform.Wrap(err, "the instance list at %s cannot be read; check it", c.opts.Addr)
	}
	instances := make([]sequoialead.Instance, 0, len(decoded))
	for _, instance := range decoded {
		instances = append(instances, instance.toInstance())
	}
	c.etag, c.cached = response.Header.Get("ETag"), instances
	return instances, nil
}

// decode reads the instances in a response and charges its size to the
// limiter, at most Burst, because the limiter rejects more.
func (c *Client) decode(response *http.Response) ([]Instance, error) {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	c.limiter.ReserveN(c.opts.Now(), min(len(raw), c.opts.Burst))
	var body io.Reader = bytes.NewReader(raw)
	if response.Header.Get("Content-Encoding") == encodingGzip {
		if body, err = gzip.NewReader(body); err != nil {
			return nil, err
		}
	}
	var instances []Instance
	err = json.NewDecoder(io.LimitReader(body, maxBodyBytes)).Decode(&instances)
	return instances, err
}

func (i Instance) toInstance() sequoialead.Instance {
	return sequoialead.Instance{
		Name:    i.Name,
		Role:    sequoialead.Role(i.Role),
		Addr:    i.Addr,
		Pool:    i.Pool,
		Domain:  i.Domain,
		Region:  i.Region,
		Leaving: i.Leaving,
	}
}
