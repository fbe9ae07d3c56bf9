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
)

// Path is the HTTP path of the list.
const Path = "/instances"

const encodingGzip = "gzip"

// Limits of reading the list.
const (
	// DefaultRate is the average number of bytes per second, as sent over the
	// network.
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
	// Rate is the average number of bytes read per second, and Burst the number
	// that may be read at once after a time in which the list did not change; 0
	// for DefaultRate and DefaultBurst.
	Rate  float64
	Burst int
	// Now is the clock; nil for time.Now.
	Now func() time.Time
}

// Line is the JSON form of an instance.
type Line struct {
	Name    string         `json:"name"`
	Role    string         `json:"role"`
	Addr    netip.AddrPort `json:"addr"`
	Pool    string         `json:"pool,omitempty"`
	Domain  string         `json:"domain"`
	Region  string         `json:"region"`
	Leaving bool           `json:"leaving,omitempty"`
}

// List is a client of the list. It uses entity tags, so that an unchanged
// list is not transferred again, and gzip, both if the platform supports
// them. A large list that changes often is read less often, to keep to the
// rate.
type List struct {
	opts Options
	http *http.Client
	// limiter holds the bytes that may still be read. It is below zero after a
	// read that took more than was left; the list is not read again until it
	// recovers.
	limiter *rate.Limiter

	mu sync.Mutex
	// etag is the entity tag of cached, which is the list as last read; nil
	// before that.
	etag   string
	cached []sequoialead.Instance
}

var _ sequoialead.List = (*List)(nil)

// New returns a client of the list.
func New(opts Options) *List {
	if opts.Rate == 0 {
		opts.Rate = DefaultRate
	}
	if opts.Burst == 0 {
		opts.Burst = DefaultBurst
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &List{
		opts: opts,
		// decode decompresses the list, to count the bytes as sent.
		http:    &http.Client{Transport: &http.Transport{DisableCompression: true}},
		limiter: rate.NewLimiter(rate.Limit(opts.Rate), opts.Burst),
	}
}

// Close closes idle connections.
func (l *List) Close() error {
	l.http.CloseIdleConnections()
	return nil
}

// Instances returns the current list or, while the rate does not allow
// reading it again, the list as last read. The error is ErrPlatform if the
// list could not be read.
func (l *List) Instances(ctx context.Context) ([]sequoialead.Instance, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.opts.Addr.String()+Path, nil)
	if err != nil {
		return nil, sequoialead.ErrSettings.Wrap(err, "the address of the instance list is invalid; check 'list'")
	}
	request.Header.Set("Accept-Encoding", encodingGzip)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cached != nil && l.limiter.TokensAt(l.opts.Now()) < 0 {
		return l.cached, nil
	}
	if l.etag != "" {
		request.Header.Set("If-None-Match", l.etag)
	}
	response, err := l.http.Do(request)
	if err != nil {
		return nil, sequoialead.ErrPlatform.Wrap(err, "the instance list at %s does not answer; check it and 'list'", l.opts.Addr)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return l.cached, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, sequoialead.ErrPlatform.New("the instance list at %s answered %d; check it", l.opts.Addr, response.StatusCode)
	}
	lines, err := l.decode(response)
	if err != nil {
		return nil, sequoialead.ErrPlatform.Wrap(err, "the instance list at %s cannot be read; check it", l.opts.Addr)
	}
	instances := make([]sequoialead.Instance, 0, len(lines))
	for _, line := range lines {
		instances = append(instances, line.toInstance())
	}
	l.etag, l.cached = response.Header.Get("ETag"), instances
	return instances, nil
}

// decode reads the lines of a response and charges its size to the limiter,
// at most Burst, because the limiter rejects more.
func (l *List) decode(response *http.Response) ([]Line, error) {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	l.limiter.ReserveN(l.opts.Now(), min(len(raw), l.opts.Burst))
	var body io.Reader = bytes.NewReader(raw)
	if response.Header.Get("Content-Encoding") == encodingGzip {
		if body, err = gzip.NewReader(body); err != nil {
			return nil, err
		}
	}
	var lines []Line
	err = json.NewDecoder(io.LimitReader(body, maxBodyBytes)).Decode(&lines)
	return lines, err
}

func (l Line) toInstance() sequoialead.Instance {
	return sequoialead.Instance{
		Name:    l.Name,
		Role:    sequoialead.Role(l.Role),
		Addr:    l.Addr,
		Pool:    l.Pool,
		Domain:  l.Domain,
		Region:  l.Region,
		Leaving: l.Leaving,
	}
}
