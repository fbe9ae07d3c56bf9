package proxyconfig_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"sequoialead/core/proxyconfig"
)

func TestMatch(t *testing.T) {
	config := &proxyconfig.Config{Routes: map[string][]*proxyconfig.Route{"h.example": {
		{Name: "long", Prefix: "/a/b/"}, {Name: "short", Prefix: "/a/"},
	}}}
	tests := []struct {
		desc   string
		host   string
		target string
		want   string
	}{
		{"the longest prefix wins", "h.example", "/a/b/c", "long"},
		{"a shorter one serves the rest", "h.example", "/a/bc", "short"},
		{"case and port of the host do not matter", "H.Example:80", "/a/b/", "long"},
		{"the query is no part of the path", "h.example", "/a/?x=/a/b/", "short"},
		{"escapes are not decoded", "h.example", "/a%2fb/", ""},
		{"a path without its slash is another", "h.example", "/a", ""},
		{"another host has no route", "g.example", "/a/b/c", ""},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			got := ""
			if r := config.Match(test.host, test.target); r != nil {
				got = r.Name
			}
			c.Assert(got, qt.Equals, test.want)
		})
	}
}

func TestPoolFollowsWeights(t *testing.T) {
	c := qt.New(t)
	r := &proxyconfig.Route{Pools: []proxyconfig.WeightedPool{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 10}, {Pool: "c"}}}
	n := map[string]int{}
	for i := range 5000 {
		id := fmt.Sprint(i)
		c.Assert(r.Pool(id), qt.Equals, r.Pool(id))
		n[r.Pool(id)]++
	}
	c.Assert(n["a"] > 4350 && n["a"] < 4650, qt.IsTrue, qt.Commentf("%v", n))
	c.Assert(n["c"], qt.Equals, 0)
}

func TestRepeatable(t *testing.T) {
	c := qt.New(t)
	c.Assert((&proxyconfig.Route{Kind: proxyconfig.KindSafe}).Repeatable(), qt.IsTrue)
	c.Assert((&proxyconfig.Route{Kind: proxyconfig.KindUnsafe, Resumable: true}).Repeatable(), qt.IsFalse)
	c.Assert((&proxyconfig.Route{Kind: proxyconfig.KindStream}).Repeatable(), qt.IsFalse)
	c.Assert((&proxyconfig.Route{Kind: proxyconfig.KindStream, Resumable: true}).Repeatable(), qt.IsTrue)
}
