package list_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	fakelist "sequoialead/fake/list"
	"sequoialead/io/list"
)

// countingWriter counts the bytes of response bodies.
type countingWriter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (c countingWriter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.ResponseWriter.Write(p)
}

func TestUnchangedListIsNotResent(t *testing.T) {
	c := qt.New(t)
	first := []list.Instance{{Name: "a", Role: "agent", Addr: netip.MustParseAddrPort("127.0.0.1:1")}}
	second := append(first, list.Instance{Name: "b", Role: "agent", Addr: netip.MustParseAddrPort("127.0.0.1:2"), Leaving: true})
	platform := fakelist.New(first)
	var bytes atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		platform.ServeHTTP(countingWriter{w, &bytes}, r)
	}))
	defer server.Close()
	client := list.New(list.Options{Addr: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))})
	defer func() { c.Check(client.Close(), qt.IsNil) }()

	got, err := client.Instances(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, 1)
	sent := bytes.Load()
	for range 3 {
		got, err = client.Instances(context.Background())
		c.Assert(err, qt.IsNil)
		c.Assert(got, qt.HasLen, 1)
	}
	c.Assert(bytes.Load(), qt.Equals, sent)

	platform.Set(second)
	got, err = client.Instances(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.HasLen, 2)
	c.Assert(got[1].Leaving, qt.IsTrue)

	platform.SetFault(0, true)
	_, err = client.Instances(context.Background())
	c.Assert(err, qt.ErrorMatches, ".*answered 503; check it.*")
}

// Reading a large list that changes often must not take more bandwidth than
// the configured rate. After an hour without reads, a change must be seen at
// once.
func TestReadRateOfLargeList(t *testing.T) {
	const (
		bytesPerSecond = 700
		instanceCount  = 6440
		hours          = 1
		pollSeconds    = 5
		changeSeconds  = 40
	)
	c := qt.New(t)
	instances := make([]list.Instance, instanceCount)
	for i := range instances {
		instances[i] = list.Instance{Name: fmt.Sprint("instance-", i), Role: "agent", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Pool: fmt.Sprint("pool-", i%40), Domain: fmt.Sprint("domain-", i%17), Region: fmt.Sprint("region-", i%6)}
	}
	platform := fakelist.New(instances)
	var bytes atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		platform.ServeHTTP(countingWriter{w, &bytes}, r)
	}))
	defer server.Close()
	now := time.Unix(0, 0)
	client := list.New(list.Options{
		Addr:  netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")),
		Rate:  bytesPerSecond,
		Burst: list.DefaultBurst,
		Now:   func() time.Time { return now },
	})
	defer func() { c.Check(client.Close(), qt.IsNil) }()
	for second := 0; second < hours*3600; second += pollSeconds {
		if second%changeSeconds == 0 {
			changed := slices.Clone(instances)
			changed[second%instanceCount].Leaving = true
			platform = fakelist.New(changed)
		}
		_, err := client.Instances(context.Background())
		c.Assert(err, qt.IsNil)
		now = now.Add(pollSeconds * time.Second)
	}
	c.Assert(bytes.Load() <= hours*3600*bytesPerSecond+2*list.DefaultBurst, qt.IsTrue, qt.Commentf("%d bytes", bytes.Load()))

	now = now.Add(time.Hour)
	changed := slices.Clone(instances)
	changed[0].Leaving = true
	platform = fakelist.New(changed)
	got, err := client.Instances(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(got[0].Leaving, qt.IsTrue)
}
