package sse_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead/core/sse"
)

func TestHoldsBackIncompleteEvents(t *testing.T) {
	c := qt.New(t)
	s := sse.New()
	c.Assert(string(s.Feed([]byte("id: 1\ndata: a\n\nid: 2\nda"))), qt.Equals, "id: 1\ndata: a\n\n")
	c.Assert(s.LastID(), qt.Equals, "1")
	c.Assert(string(s.Feed([]byte("ta: b\n"))), qt.Equals, "")
	c.Assert(string(s.Feed([]byte("\n"))), qt.Equals, "id: 2\ndata: b\n\n")
	c.Assert(s.LastID(), qt.Equals, "2")
	s.Feed([]byte("id: 3\n"))
	c.Assert(s.Pending(), qt.Equals, len("id: 3\n"))
	c.Assert(s.LastID(), qt.Equals, "2")
}

// Events that are passed on as they come are known to be complete or not, whatever the reads.
func TestSkimFindsTheEndOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
		events := strings.Repeat("id: 1"+newline+"data: "+strings.Repeat("x", rapid.IntRange(0, 40).Draw(t, "length"))+newline+newline, rapid.IntRange(1, 4).Draw(t, "events"))
		partial := rapid.SampledFrom([]string{"", "d", "data: y", "data: y" + newline, strings.Repeat("z", 40)}).Draw(t, "partial")
		rest := events + partial
		s := sse.New()
		for rest != "" {
			k := rapid.IntRange(1, len(rest)).Draw(t, "cut")
			s.Skim([]byte(rest[:k]))
			rest = rest[k:]
		}
		if (s.Pending() > 0) != (partial != "") {
			t.Fatalf("%d bytes pending after %q", s.Pending(), partial)
		}
	})
}

// The same complete events are returned however the stream is divided into reads.
func TestSplitDoesNotDependOnReadSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		newline := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "end")
		n := rapid.IntRange(1, 8).Draw(t, "events")
		var text strings.Builder
		for i := range n {
			fmt.Fprintf(&text, "id: %d%sdata: %s%s%s", i+1, newline, rapid.StringMatching(`[a-z :]{0,9}`).Draw(t, "data"), newline, newline)
		}
		rest := text.String()
		s := sse.New()
		var got strings.Builder
		for rest != "" {
			k := rapid.IntRange(1, len(rest)).Draw(t, "cut")
			got.Write(s.Feed([]byte(rest[:k])))
			rest = rest[k:]
		}
		if got.String() != text.String() || s.LastID() != fmt.Sprint(n) {
			t.Fatalf("%q became %q, last ID %s", text.String(), got.String(), s.LastID())
		}
	})
}
