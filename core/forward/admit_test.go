package forward_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/proxyconfig"
)

func TestAdmission(t *testing.T) {
	tests := []struct {
		desc   string
		change func(w *fakePlatform, p *sequoialead.ProxyRequest)
		status int
		reason sequoialead.Reason
	}{
		{"a known key", func(*fakePlatform, *sequoialead.ProxyRequest) {}, 0, ""},
		{"an unknown key", func(_ *fakePlatform, p *sequoialead.ProxyRequest) { p.Key = "other" }, 401, sequoialead.ReasonKey},
		{"no key", func(_ *fakePlatform, p *sequoialead.ProxyRequest) { p.Key = "" }, 401, sequoialead.ReasonKey},
		{"the last key was revoked", func(w *fakePlatform, _ *sequoialead.ProxyRequest) {
			w.config.Customers = map[string]*proxyconfig.Customer{}
		}, 401, sequoialead.ReasonKey},
		{"no key, and the last one was revoked", func(w *fakePlatform, p *sequoialead.ProxyRequest) {
			p.Key = ""
			w.config.Customers = map[string]*proxyconfig.Customer{}
		}, 401, sequoialead.ReasonKey},
		{"the last key was revoked, and the last read of the store is too old", func(w *fakePlatform, p *sequoialead.ProxyRequest) {
			w.config.Customers = map[string]*proxyconfig.Customer{}
			p.ArrivedAt = w.now.Add(4800 * time.Millisecond)
		}, 503, sequoialead.ReasonStale},
		{"a public route after the last key was revoked", func(w *fakePlatform, _ *sequoialead.ProxyRequest) {
			w.config.Customers = map[string]*proxyconfig.Customer{}
			w.config.Routes["h"][0].Public = true
		}, 0, ""},
		{"no customers are configured", func(w *fakePlatform, p *sequoialead.ProxyRequest) {
			p.Key = ""
			w.config.Customers = nil
		}, 0, ""},
		{"no key on a public route", func(w *fakePlatform, p *sequoialead.ProxyRequest) {
			p.Key = ""
			w.config.Routes["h"][0].Public = true
		}, 0, ""},
		{"no route", func(_ *fakePlatform, p *sequoialead.ProxyRequest) { p.Host = "g" }, 404, sequoialead.ReasonRoute},
		{"no configuration", func(w *fakePlatform, _ *sequoialead.ProxyRequest) { w.config = nil }, 503, sequoialead.ReasonUnready},
		{"last read of the store is too old to trust keys", func(w *fakePlatform, p *sequoialead.ProxyRequest) {
			p.ArrivedAt = w.now.Add(4800 * time.Millisecond)
		}, 503, sequoialead.ReasonStale},
		{"a public route needs no recent read of the store", func(w *fakePlatform, p *sequoialead.ProxyRequest) {
			w.config.Routes["h"][0].Public = true
			p.ArrivedAt = w.now.Add(time.Hour)
		}, 0, ""},
		{"an unknown key may be newer than the last read", func(w *fakePlatform, p *sequoialead.ProxyRequest) {
			p.Key = "other"
			p.ArrivedAt = w.now.Add(3 * time.Second)
		}, 503, sequoialead.ReasonStale},
		{"an unknown route may be newer than the last read", func(w *fakePlatform, p *sequoialead.ProxyRequest) {
			p.Host = "g"
			p.ArrivedAt = w.now.Add(3 * time.Second)
		}, 503, sequoialead.ReasonStale},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			w := newFakePlatform()
			w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindSafe, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
			f := w.newForwarder(t)
			p := newProxyRequest(w)
			test.change(w, p)
			v := f.Serve(context.Background(), p, &recordingSink{})
			c.Assert(v.Status, qt.Equals, test.status)
			c.Assert(v.Reason, qt.Equals, test.reason)
			if test.status != 0 {
				c.Assert(w.attempts, qt.HasLen, 0)
			}
		})
	}
}

func TestCustomerAndTimeLeftAreSent(t *testing.T) {
	c := qt.New(t)
	w := newFakePlatform()
	w.config.Customers["key"].Priority = 7
	w.setRoute(proxyconfig.Route{Kind: proxyconfig.KindSafe, Timeout: 2 * time.Second, Priority: 1, Pools: []proxyconfig.WeightedPool{{Pool: "desk", Weight: 1}}})
	p := newProxyRequest(w)
	p.ArrivedAt = w.now.Add(-500 * time.Millisecond)
	w.newForwarder(t).Serve(context.Background(), p, &recordingSink{})
	c.Assert(w.attempts[0].Customer, qt.Equals, "mere")
	c.Assert(w.attempts[0].Urgency, qt.Equals, 7)
	c.Assert(w.attempts[0].TimeLeft, qt.Equals, 1500*time.Millisecond)
}
