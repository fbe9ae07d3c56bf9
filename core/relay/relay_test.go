package relay_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"sequoialead"
	"sequoialead/core/membership"
	"sequoialead/core/protocol"
	"sequoialead/core/relay"
)

// fakePeers answers for the entries that have an age in ages. A negative age
// means no answer.
type fakePeers struct {
	ages       map[string]time.Duration
	eras       map[string]sequoialead.Era
	incomplete bool
	asked      []string
}

func (p *fakePeers) EnsureConnected(name string) bool { _, ok := p.ages[name]; return ok }

func (p *fakePeers) QueryRecords(_ context.Context, name string, request protocol.RecordsRequest) (protocol.RecordsResponse, bool) {
	p.asked = append(p.asked, name)
	if p.ages[name] < 0 {
		return protocol.RecordsResponse{}, false
	}
	return protocol.RecordsResponse{Complete: !p.incomplete, Next: request.From, Age: p.ages[name], Era: p.eras[name]}, true
}

func newEntries(n int) []membership.Member {
	var list []membership.Member
	for i := range n {
		list = append(list, membership.Member{Name: fmt.Sprintf("e%d", i), Domain: string(rune('a' + i%4))})
	}
	return list
}

const topic = sequoialead.TopicServers

// readers returns the entries that consider themselves the topic's reader.
func readers(entries []membership.Member) []string {
	var names []string
	for _, e := range entries {
		r := relay.New(relay.Options{Self: e, Peers: &fakePeers{}, Now: func() time.Time { return time.Unix(1000, 0) }})
		if r.IsReader(topic, entries) {
			names = append(names, e.Name)
		}
	}
	return names
}

func TestEntriesAgreeOnReader(t *testing.T) {
	c := qt.New(t)
	c.Assert(readers(newEntries(1)), qt.HasLen, 0) // there is no other entry
	c.Assert(readers(newEntries(2)), qt.HasLen, 1)
	c.Assert(readers(newEntries(27)), qt.HasLen, 1)
	c.Assert(readers(newEntries(100)), qt.HasLen, 4) // one in each failure domain
}

// A small machine that reads for many others has too little left for its callers.
func TestStrongEntryReads(t *testing.T) {
	c := qt.New(t)
	for i := range 12 {
		entries := newEntries(12)
		for k := range entries {
			entries[k].CPU = 0.144
		}
		entries[i].CPU = 0.8
		c.Assert(readers(entries), qt.DeepEquals, []string{entries[i].Name})
	}
}

// Rank counts the entries whose records are too old, since these are about to read
// again, but not those that don't answer.
func TestRank(t *testing.T) {
	c := qt.New(t)
	entries := newEntries(9)
	first := readers(entries)[0]
	self := entries[0]
	if self.Name == first {
		self = entries[1]
	}
	peers := &fakePeers{ages: map[string]time.Duration{}}
	for _, e := range entries {
		peers.ages[e.Name] = time.Hour
	}
	now := time.Unix(1000, 0)
	r := relay.New(relay.Options{Self: self, Peers: peers, Now: func() time.Time { return now }})
	before := r.Rank(topic, entries)
	c.Assert(before > 0 && before <= 4, qt.IsTrue)
	_, _, ok := r.Read(context.Background(), protocol.RecordsRequest{Topic: topic}, entries, time.Second)
	c.Assert(ok, qt.IsFalse)
	c.Assert(r.Rank(topic, entries), qt.Equals, before)
	now = now.Add(time.Second)
	for _, e := range entries {
		peers.ages[e.Name] = -1
	}
	for range entries {
		r.ReadAny(context.Background(), protocol.RecordsRequest{Topic: topic}, entries, time.Second)
	}
	c.Assert(r.Rank(topic, entries), qt.Equals, 0)
	c.Assert(relay.New(relay.Options{Self: self, Peers: peers, Now: time.Now}).Rank(topic, entries[:0]), qt.Equals, 0)
}

func TestReadAsksBestEntriesInTurn(t *testing.T) {
	entries := newEntries(5)
	first := readers(entries)[0]
	second := ""
	var rest []membership.Member
	for _, e := range entries {
		if e.Name != first {
			rest = append(rest, e)
		}
	}
	second = readers(rest)[0]
	var self membership.Member
	for _, e := range entries {
		if e.Name != first && e.Name != second {
			self = e
		}
	}
	const fresh, old, silent = time.Millisecond, time.Minute, -1
	tests := []struct {
		desc  string
		ages  map[string]time.Duration
		from  string
		asked []string
	}{
		{"the reader", map[string]time.Duration{first: fresh, second: fresh}, first, []string{first}},
		{"the next one, as the reader's records are too old", map[string]time.Duration{first: old, second: fresh}, second, []string{first, second}},
		{"the next one, as the reader does not answer", map[string]time.Duration{first: silent, second: fresh}, second, []string{first, second}},
		{"the next one, as the reader can't be reached", map[string]time.Duration{second: fresh}, second, []string{second}},
		{"neither has an answer", map[string]time.Duration{first: old, second: silent}, "", []string{first, second}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			p := &fakePeers{ages: test.ages}
			r := relay.New(relay.Options{Self: self, Peers: p, Now: func() time.Time { return now }})
			_, from, ok := r.Read(context.Background(), protocol.RecordsRequest{Topic: topic, From: 7}, entries, time.Second)
			c.Assert(from, qt.Equals, test.from)
			c.Assert(ok, qt.Equals, test.from != "")
			c.Assert(p.asked, qt.DeepEquals, test.asked)
		})
	}
}

// An entry whose records were too old is skipped for a while, and then asked
// again.
func TestStaleReaderIsSkipped(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	entries := newEntries(2)
	first := readers(entries)[0]
	self := entries[0]
	if self.Name == first {
		self = entries[1]
	}
	p := &fakePeers{ages: map[string]time.Duration{first: time.Minute}}
	r := relay.New(relay.Options{Self: self, Peers: p, Now: func() time.Time { return now }})
	c.Assert(r.IsReader(topic, entries), qt.IsFalse)
	for range 3 {
		_, _, ok := r.Read(context.Background(), protocol.RecordsRequest{Topic: topic}, entries, time.Second)
		c.Assert(ok, qt.IsFalse)
	}
	c.Assert(p.asked, qt.HasLen, 1)
	c.Assert(r.IsReader(topic, entries), qt.IsTrue) // it takes over as reader
	now = now.Add(3 * time.Second)
	p.ages[first] = time.Millisecond
	_, _, ok := r.Read(context.Background(), protocol.RecordsRequest{Topic: topic}, entries, time.Second)
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.IsReader(topic, entries), qt.IsFalse)
}

// An entry that lacks some of the records is not skipped.
func TestEntryWithMissingRecordsIsNotSkipped(t *testing.T) {
	c := qt.New(t)
	entries := newEntries(3)
	first := readers(entries)[0]
	p := &fakePeers{ages: map[string]time.Duration{first: 0}, incomplete: true}
	for _, self := range entries {
		if self.Name != first {
			r := relay.New(relay.Options{Self: self, Peers: p, Now: func() time.Time { return time.Unix(1000, 0) }})
			for range 2 {
				_, _, ok := r.ReadAny(context.Background(), protocol.RecordsRequest{Topic: topic}, entries, time.Second)
				c.Assert(ok, qt.IsFalse)
			}
		}
	}
	c.Assert(len(p.asked) >= 4, qt.IsTrue)
}

// Records of another era of the store than the asked one are not used, and the newest era is
// told. An entry of an older era is skipped for a while, one of a newer era is not.
func TestReadWithinEra(t *testing.T) {
	tests := []struct {
		desc string
		eras []sequoialead.Era
		// from is the index of the entry that the records come from; -1 for none.
		from int
		told sequoialead.Era
		// askedAgain is the number of entries asked by a second read.
		askedAgain int
	}{
		{"same era", []sequoialead.Era{4, 4}, 0, 4, 1},
		{"the first is behind", []sequoialead.Era{3, 4}, 1, 4, 1},
		{"the first doesn't tell", []sequoialead.Era{0, 4}, 1, 4, 1},
		{"the first is ahead", []sequoialead.Era{5, 4}, 1, 4, 2},
		{"both are ahead", []sequoialead.Era{5, 6}, -1, 6, 2},
		{"both are behind", []sequoialead.Era{3, 3}, -1, 3, 0},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			entries := newEntries(3)
			now := time.Unix(1000, 0)
			ages := map[string]time.Duration{"e0": 0, "e1": 0, "e2": 0}
			order := &fakePeers{ages: ages, incomplete: true}
			r := relay.New(relay.Options{Self: membership.Member{Name: "self"}, Peers: order, Now: func() time.Time { return now }})
			_, _, ok := r.Read(context.Background(), protocol.RecordsRequest{Topic: topic}, entries, time.Second)
			c.Assert(ok, qt.IsFalse)
			c.Assert(order.asked, qt.HasLen, 2)

			peers := &fakePeers{ages: ages, eras: map[string]sequoialead.Era{order.asked[0]: test.eras[0], order.asked[1]: test.eras[1]}}
			r = relay.New(relay.Options{Self: membership.Member{Name: "self"}, Peers: peers, Now: func() time.Time { return now }})
			entries = slices.DeleteFunc(entries, func(e membership.Member) bool { return !slices.Contains(order.asked, e.Name) })
			response, from, ok := r.Read(context.Background(), protocol.RecordsRequest{Topic: topic, Era: 4}, entries, time.Second)
			c.Assert(ok, qt.Equals, test.from >= 0)
			if ok {
				c.Assert(from, qt.Equals, order.asked[test.from])
			}
			c.Assert(response.Complete, qt.Equals, ok)
			c.Assert(response.Era, qt.Equals, test.told)
			peers.asked = nil
			_, _, _ = r.Read(context.Background(), protocol.RecordsRequest{Topic: topic, Era: 4}, entries, time.Second)
			c.Assert(peers.asked, qt.HasLen, test.askedAgain)
		})
	}
}
