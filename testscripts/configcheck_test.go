package testscripts

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rogpeppe/go-internal/testscript"

	"sequoialead/core/configcheck"
	"sequoialead/fake/store"
	"sequoialead/platform"
)

// TestCheckOfSiteConfigurations guards against findings in configurations that the tests of
// gateways show to work, and against none in one that they show to fail.
func TestCheckOfSiteConfigurations(t *testing.T) {
	text := fmt.Sprintf(configTemplate, 2, 500, `,"k2"`)
	for name, text := range map[string]string{"site": text, "streams": wideConfig()} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(configcheck.Check(platform.Decoder{}.Source([]byte(text))), qt.HasLen, 0)
		})
	}
	c := qt.New(t)
	large := strings.Replace(text, `"bytes":10`, `"bytes":2000000`, 1)
	findings := configcheck.Check(platform.Decoder{}.Source([]byte(large)))
	c.Assert(findings, qt.HasLen, 1)
	c.Assert(findings[0].Code, qt.Equals, "room")
}

// storeCommands returns the commands of scripts that use the platform's store. The command
// store starts a stand-in, which holds the given file as the operator's configuration,
// and sets STORE to its address. Without a file the stand-in is empty.
func storeCommands() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"store": func(ts *testscript.TestScript, _ bool, args []string) {
			s := store.New()
			if len(args) > 0 {
				s.Put("keyed.op", "evacuate/a", []byte("{}"))
				s.Put("keyed.op", "config", []byte(ts.ReadFile(args[0])))
			}
			server := httptest.NewServer(http.Handler(s))
			ts.Defer(server.Close)
			ts.Setenv("STORE", strings.TrimPrefix(server.URL, "http://"))
		},
	}
}
