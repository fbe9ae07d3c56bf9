package config_test

import (
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"sequoialead"
	"sequoialead/common/digest"
	"sequoialead/core/config"
	"sequoialead/core/document"
)

func decode(c *qt.C, text string) (*config.Config, error) {
	doc, err := document.Parse("test", []byte(text))
	c.Assert(err, qt.IsNil)
	return config.Decode(doc)
}

func TestErrorsNameTheRemedy(t *testing.T) {
	tests := []struct {
		desc, text, want string
	}{
		{"section", "[colour.red]\na = 1", `(?s).*\[colour.red\] section: is not known; use policy.*`},
		{"key", "[domain.a]\nstat = out", `(?s).*\[domain.a\] stat: is not known; use one of state.*`},
		{"number", "[pool.p]\nfull = many", `(?s).*full: "many" is not a whole number from 1.*`},
		{"order", "[pool.p]\nfull = 2\ncold = 3", `(?s).*cold: 3 is above full, which is 2; lower it.*`},
		{"pool", "[stage.s]\npool = p\nop = embed", `(?s).*pool "p" is not defined; add a section \[pool.p\].*`},
		{"op", "[pool.p]\nfull = 2\n[stage.s]\npool = p\nop = sing", `(?s).*op: "sing" is not known; use embed.*`},
		{"path", "[pool.p]\nfull = 2\n[stage.s]\npool = p\nop = invoke", `(?s).*path: "" does not start with a slash.*`},
		{"stage", "[pipeline.x]\ndeadline = 5s\nstages = s", `(?s).*stage "s" is not defined; add a section \[stage.s\].*`},
		{"deadline", "[pipeline.x]\ndeadline = 5\nstages = s", `(?s).*deadline: "5" is not a duration.*`},
		{"customer", "[customer.c]\nkey = abc", `(?s).*is not a SHA-256.*'sequoialead key'.*`},
		{"state", "[backend.b]\nstate = out", `(?s).*"out" is not known; use in or drained.*`},
		{"flag", "[policy]\nearly = maybe", `(?s).*"maybe" is neither yes nor no.*`},
		{"router", "[policy]\nrouter = best", `(?s).*"best" is not known; use two, round or affinity.*`},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			_, err := decode(c, tt.text)
			c.Assert(err, qt.ErrorMatches, tt.want)
		})
	}
}

func TestAllErrorsAreReported(t *testing.T) {
	c := qt.New(t)
	_, err := decode(c, "[pool.p]\nfull = 0\n[policy]\nearly = maybe")
	c.Assert(err, qt.ErrorMatches, `(?s).*full.*early.*`)
}

func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"whiskerlane", "malabar"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			raw, err := os.ReadFile("../../examples/" + name + "/configuration.ini")
			c.Assert(err, qt.IsNil)
			conf, err := decode(c, string(raw))
			c.Assert(err, qt.IsNil)
			c.Assert(conf.Customers, qt.HasLen, 5)
			for _, p := range conf.Pipelines {
				c.Assert(p.Deadline > 0 && p.Deadline <= 5*time.Second, qt.IsTrue)
			}
		})
	}
}

func TestInvokeIsNotIdempotentByDefault(t *testing.T) {
	c := qt.New(t)
	conf, err := decode(c, "[pool.p]\nfull = 2\n[stage.s]\npool = p\nop = invoke\npath = /s\n[pipeline.x]\ndeadline = 1s\nstages = s")
	c.Assert(err, qt.IsNil)
	c.Assert(conf.Pipelines["x"].Idempotent(), qt.IsFalse)
}

// Applying patches one by one with Update must give the same configuration as
// Decode of the resulting document, and must fail exactly when Decode fails.
func TestUpdateEqualsDecode(t *testing.T) {
	key := func(i int) string { return digest.Of(fmt.Sprint(i)) }
	rapid.Check(t, func(t *rapid.T) {
		doc := document.New()
		conf, err := config.Decode(doc)
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 30).Draw(t, "patches") {
			var changes []sequoialead.Change
			for range rapid.IntRange(1, 3).Draw(t, "changes") {
				section := rapid.SampledFrom([]string{"customer.a", "customer.b", "customer.c", "customer.", "customers", "domain.d", "pool.p"}).Draw(t, "section")
				changes = append(changes, rapid.SampledFrom([]sequoialead.Change{
					{Section: section, Key: "key", Value: key(rapid.IntRange(0, 3).Draw(t, "key"))},
					{Section: section, Key: "share", Value: rapid.SampledFrom([]string{"2", "0"}).Draw(t, "share")},
					{Section: section, Key: "state", Value: "out"},
					{Section: section, Key: "share", Remove: true},
					{Section: section, Key: "key", Remove: true},
					{Section: section, Remove: true},
				}).Draw(t, "change"))
			}
			next := doc.Apply(changes)
			decoded, decodeErr := config.Decode(next)
			updated, err := config.Update(conf, doc, next, changes)
			if (err == nil) != (decodeErr == nil) {
				t.Fatalf("update: %v, decode: %v", err, decodeErr)
			}
			if err != nil {
				continue
			}
			if !reflect.DeepEqual(updated, decoded) {
				t.Fatalf("update: %v, decode: %v", updated, decoded)
			}
			doc, conf = next, updated
		}
	})
}
