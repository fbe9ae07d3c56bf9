// Package list speaks to the platform's list of instances over HTTP. Besides
// the client it exports its options and the form of a line.
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

// Path is where the list is read.
const Path = "/instances"

const encodingGzip = "gzip"

// Bounds of what reading the list may take.
const (
	// DefaultRate is in bytes a second, as sent over the network.
	DefaultRate = 700
	// DefaultBurst is the number of bytes that may be read at once after a
	// time without changes.
	DefaultBurst = 256 << 10
	maxAnswer    = 64 << 20
)

// Options configures a client.
type Options struct {
	Addr netip.AddrPort
	// Rate and Burst bound the bytes read, if above 0.
	Rate  float64
	Burst int
	// Now is the clock; nil for the machine's.
	Now func() time.Time
}

// Line is the wire form of an instance.
type Line struct {
	Name    string         `json:"name"`
	Role    string         `json:"role"`
	Addr    netip.AddrPort `json:"addr"`
	Pool    string         `json:"pool,omitempty"`
	Domain  string         `json:"domain"`
	Region  string         `json:"region"`
	Leaving bool           `json:"leaving,omitempty"`
}

// List is a client of the list. It asks only for a list that has changed,
// where the platform gives entity tags, and compressed, where it can do that.
// A large list that changes often is read less often.
type List struct {
	opts Options
	http *http.Client
	// pace falls below zero while what was read is more than the rate allows.
	pace *rate.Limiter

	mu sync.Mutex
	// tag belongs to last, the list as it was last read.
	tag  string
	last []sequoialead.Instance
}

var _ sequoialead.List = (*List)(nil)

// New returns a client of the list at an address.
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
		http: &http.Client{Transport: &http.Transport{DisableCompression: true}}, // decompressed here, to count
		pace: rate.NewLimiter(rate.Limit(opts.Rate), opts.Burst),
	}
}

// Close drops idle connections.
func (l *List) Close() error {
	l.http.CloseIdleConnections()
	return nil
}

// Instances returns the list as the platform knows it now or, where reading it
// again would take too much, as it was last read.
func (l *List) Instances(ctx context.Context) ([]sequoialead.Instance, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.opts.Addr.String()+Path, nil)
	if err != nil {
		return nil, sequoialead.ErrSettings.Wrap(err, "the instance list cannot be asked; check 'list'")
	}
	request.Header.Set("Accept-Encoding", encodingGzip)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.last != nil && l.pace.TokensAt(l.opts.Now()) < 0 {
		return l.last, nil
	}
	if l.tag != "" {
		request.Header.Set("If-None-Match", l.tag)
	}
	response, err := l.http.Do(request)
	if err != nil {
		return nil, sequoialead.ErrPlatform.Wrap(err, "the instance list at %s does not answer; check it and 'list'", l.opts.Addr)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return l.last, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, sequoialead.ErrPlatform.New("the instance list at %s answered %d; check it", l.opts.Addr, response.StatusCode)
	}
	lines, err := l.read(response)
	if err != nil {
		return nil, sequoialead.ErrPlatform.Wrap(err, "the instance list at %s cannot be read; check it", l.opts.Addr)
	}
	instances := make([]sequoialead.Instance, 0, len(lines))
	for _, line := range lines {
		instances = append(instances, line.instance())
	}
	l.tag, l.last = response.Header.Get("ETag"), instances
	return instances, nil
}

// read reads the lines of an answer and takes its size from the pace.
func (l *List) read(response *http.Response) ([]Line, error) {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, err
	}
	l.pace.ReserveN(l.opts.Now(), min(len(raw), l.opts.Burst))
	var body io.Reader = bytes.NewReader(raw)
	if response.Header.Get("Content-Encoding") == encodingGzip {
		if body, err = gzip.NewReader(body); err != nil {
			return nil, err
		}
	}
	var lines []Line
	err = json.NewDecoder(io.LimitReader(body, maxAnswer)).Decode(&lines)
	return lines, err
}

func (l Line) instance() sequoialead.Instance {
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
