// Package list speaks to the platform's list of instances over HTTP. Besides
// the client it exports the form of a line.
package list

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"

	"sequoialead"
)

// Path is where the list is read.
const Path = "/instances"

const maxAnswer = 64 << 20

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
// where the platform gives entity tags.
type List struct {
	addr netip.AddrPort
	http *http.Client

	mu sync.Mutex
	// tag belongs to last, the list as it was last read.
	tag  string
	last []sequoialead.Instance
}

var _ sequoialead.List = (*List)(nil)

// New returns a client of the list at an address.
func New(addr netip.AddrPort) *List {
	return &List{addr: addr, http: &http.Client{Transport: &http.Transport{}}}
}

// Close drops idle connections.
func (l *List) Close() error {
	l.http.CloseIdleConnections()
	return nil
}

// Instances returns the list as the platform knows it now.
func (l *List) Instances(ctx context.Context) ([]sequoialead.Instance, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+l.addr.String()+Path, nil)
	if err != nil {
		return nil, sequoialead.ErrSettings.Wrap(err, "the instance list cannot be asked; check 'list'")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tag != "" {
		request.Header.Set("If-None-Match", l.tag)
	}
	response, err := l.http.Do(request)
	if err != nil {
		return nil, sequoialead.ErrPlatform.Wrap(err, "the instance list at %s does not answer; check it and 'list'", l.addr)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return l.last, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, sequoialead.ErrPlatform.New("the instance list at %s answered %d; check it", l.addr, response.StatusCode)
	}
	var lines []Line
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswer)).Decode(&lines); err != nil {
		return nil, sequoialead.ErrPlatform.Wrap(err, "the instance list at %s cannot be read; check it", l.addr)
	}
	instances := make([]sequoialead.Instance, 0, len(lines))
	for _, line := range lines {
		instances = append(instances, line.instance())
	}
	l.tag, l.last = response.Header.Get("ETag"), instances
	return instances, nil
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
