package list_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	fakelist "sequoialead/fake/list"
	"sequoialead/io/list"
)

// counter counts the bytes of answers.
type counter struct {
	http.ResponseWriter
	bytes *atomic.Int64
}

func (c counter) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.ResponseWriter.Write(p)
}

func TestUnchangedListIsNotSentAgain(t *testing.T) {
	c := qt.New(t)
	first := []list.Line{{Name: "a", Role: "agent", Addr: netip.MustParseAddrPort("127.0.0.1:1")}}
	second := append(first, list.Line{Name: "b", Role: "agent", Addr: netip.MustParseAddrPort("127.0.0.1:2"), Leaving: true})
	platform := fakelist.New(first)
	var bytes atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		platform.ServeHTTP(counter{w, &bytes}, r)
	}))
	defer server.Close()
	client := list.New(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
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

	platform.Fail(0, true)
	_, err = client.Instances(context.Background())
	c.Assert(err, qt.ErrorMatches, ".*answered 503; check it.*")
}
