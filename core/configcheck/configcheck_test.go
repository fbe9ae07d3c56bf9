package configcheck_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"

	qt "github.com/frankban/quicktest"

	"sequoialead/core/configcheck"
	"sequoialead/core/proxyconfig"
	"sequoialead/platform"
)

// valid is a configuration like those of the stand-ins, with all fields that they use.
const valid = `{"version":7,"routes":[
 {"name":"check","host":"h","path_prefix":"/check/","kind":"safe","timeout_ms":2000,"slo_ms":500,"priority":2,"service":"desk","max_attempts":2,"public":false,"sticky":false,"resumable":false},
 {"name":"hold","host":"h","path_prefix":"/hold/","kind":"unsafe","timeout_ms":2000,"slo_ms":500,"backends":[{"service":"desk","weight":90},{"service":"desk2","weight":10}],"max_attempts":1},
 {"name":"draft","host":"h","path_prefix":"/draft/","kind":"streaming","timeout_ms":9000,"slo_ms":900,"gap_aim_ms":300,"service":"model","max_attempts":2,"resumable":true,
  "stages":[{"service":"encode","after":[],"bytes":10},{"service":"encode","after":[0],"bytes":10}]}],
 "services":[{"name":"desk","health_path":"/healthz","max_conns":50,"protocol":"h1","tls":false,"cold_start_s":0,"cold_per_s":0},{"name":"desk2","max_conns":50},
  {"name":"model","max_conns":50,"engine":{"slots":8,"kv_tokens":10000}},
  {"name":"encode","max_conns":50,"pieces":{"slots":1,"queue":2,"batch":8,"call_ms":240,"item_ms":10,"room_mb":1,"handle_s":4,"link_mbps":10000}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":1000000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"mere","api_keys":["k1"]},{"name":"rata","api_keys":["k2","k3"],"priority":1}]}`

// edit returns the valid configuration with replacements of which each must apply once.
func edit(c *qt.C, pairs ...string) []byte {
	text := valid
	for i := 0; i < len(pairs); i += 2 {
		c.Assert(strings.Count(text, pairs[i]), qt.Equals, 1, qt.Commentf("%s", pairs[i]))
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	return []byte(text)
}

func brief(findings []configcheck.Finding) []string {
	list := []string{}
	for _, f := range findings {
		list = append(list, fmt.Sprintf("%s %s %s", f.Severity, f.Code, f.Path))
	}
	return list
}

// Each kind of fault is found at its place, and nothing else is.
func TestCheck(t *testing.T) {
	tests := []struct {
		desc  string
		pairs []string
		want  []string
	}{
		{"no fault", nil, nil},
		{"case of names", []string{`"limits"`, `"Limits"`}, nil},
		{"syntax", []string{`"hold","host"`, `"hold" "host"`}, []string{"error invalid "}},
		{"a value of another type", []string{`"timeout_ms":9000`, `"timeout_ms":"9s"`}, []string{"error invalid routes[2].timeout_ms"}},
		{"a fraction", []string{`"weight":90`, `"weight":0.9`}, []string{"error invalid routes[1].backends[0].weight"}},
		{"a string for a list", []string{`"after":[]`, `"after":""`}, []string{"error invalid routes[2].stages[0].after"}},
		{"a list for a string", []string{`"name":"mere"`, `"name":[["mere"]]`}, []string{"error invalid tenants[0].name"}},
		{"an object for a list", []string{`"api_keys":["k1"]`, `"api_keys":{"k1":1}`}, []string{"error invalid tenants[0].api_keys"}},
		{"two invalid routes", []string{`"unsafe"`, `"once"`, `"path_prefix":"/draft/",`, ``}, []string{"error invalid routes[1]", "error invalid routes[2]"}},
		{"a stage after itself", []string{`"after":[0]`, `"after":[1]`}, []string{"error invalid routes[2]"}},
		{"no version", []string{`"version":7,`, ``}, []string{"error version "}},
		{"unknown field", []string{`"slo_ms":900`, `"slo":900`}, []string{"warning unknown routes[2].slo"}},
		{"unknown field that is known elsewhere", []string{`"kv_tokens":10000`, `"kv_tokens":10000,"room_mb":1`}, []string{"warning unknown services[2].engine.room_mb"}},
		{"repeated field", []string{`"slo_ms":900`, `"slo_ms":900,"SLO_ms":800`}, []string{"warning duplicate routes[2].SLO_ms"}},
		{"null", []string{valid, `null`}, []string{"error version ", "warning empty ", "warning unlimited ", "warning unlimited ", "warning unlimited "}},
		{"route of the same prefix", []string{`"/hold/"`, `"/check/"`}, []string{"warning shadowed routes[1]"}},
		{"host with a port and in capitals", []string{`"host":"h","path_prefix":"/hold/"`, `"host":"H:80","path_prefix":"/check/"`}, []string{"warning shadowed routes[1]"}},
		{"a broader prefix later is none", []string{`"/hold/"`, `"/hold/a"`, `"/draft/"`, `"/"`}, nil},
		{"IPv6 host", []string{`"host":"h","path_prefix":"/hold/"`, `"host":"[::1]:80","path_prefix":"/hold/"`}, nil},
		{"prefix with a query", []string{`"/hold/"`, `"/hold?a"`}, []string{"warning unmatched routes[1].path_prefix"}},
		{"prefix without a slash", []string{`"/hold/"`, `"hold/"`}, []string{"warning unmatched routes[1].path_prefix"}},
		{"no host", []string{`"host":"h","path_prefix":"/hold/"`, `"path_prefix":"/hold/"`}, []string{"warning unmatched routes[1]"}},
		{"two routes of a name", []string{`"name":"hold"`, `"name":"check"`}, []string{"warning duplicate routes[1]"}},
		{"service without use", []string{`{"name":"desk2",`, `{"name":"old","max_conns":1},{"name":"desk2",`}, []string{"warning unused services[1]"}},
		{"service twice", []string{`{"name":"desk2",`, `{"name":"desk","max_conns":1},{"name":"desk2",`}, []string{"warning duplicate services[1]"}},
		{"service of a route is missing", []string{`"service":"desk2"`, `"service":"desk3"`}, []string{"warning missing routes[1].backends[1].service", "warning unused services[1]"}},
		{"only service of a route is missing", []string{`"service":"model"`, `"service":"models"`}, []string{"warning missing routes[2].service", "warning unused services[2]"}},
		{"service of a stage is missing", []string{`"service":"encode","after":[0]`, `"service":"decode","after":[0]`}, []string{"warning missing routes[2].stages[1].service"}},
		{"service of a stage makes no pieces", []string{`"service":"encode","after":[0]`, `"service":"desk","after":[0]`}, []string{"warning pieceless routes[2].stages[1].service"}},
		{"customer without keys", []string{`["k1"]`, `[]`}, []string{"warning keyless tenants[0]"}},
		{"customer without a list of keys", []string{`,"api_keys":["k1"]`, ``}, []string{"warning keyless tenants[0]"}},
		{"empty key", []string{`"k3"`, `""`}, []string{"warning emptykey tenants[1].api_keys[1]"}},
		{"no customer", []string{`{"name":"mere","api_keys":["k1"]},{"name":"rata","api_keys":["k2","k3"],"priority":1}`, ``}, []string{"warning keyless tenants"}},
		{"key of two customers", []string{`"k3"`, `"k1"`}, []string{"warning sharedkey tenants[1].api_keys[1]"}},
		{"key twice at one customer", []string{`"k3"`, `"k2"`}, nil},
		{"two customers of a name", []string{`"rata"`, `"mere"`}, []string{"warning duplicate tenants[1]"}},
		{"objective above the timeout", []string{`"slo_ms":900`, `"slo_ms":9001`}, []string{"warning objective routes[2].slo_ms"}},
		{"objective at the timeout", []string{`"slo_ms":900`, `"slo_ms":9000`}, nil},
		{"negative objective", []string{`"slo_ms":900`, `"slo_ms":-1`}, []string{"warning negative routes[2].slo_ms"}},
		{"result above the room", []string{`"after":[0],"bytes":10`, `"after":[0],"bytes":1000001`}, []string{"warning room routes[2].stages[1].bytes"}},
		{"result at the room", []string{`"after":[0],"bytes":10`, `"after":[0],"bytes":1000000`}, nil},
		{"negative result", []string{`"after":[0],"bytes":10`, `"after":[0],"bytes":-1`}, []string{"warning negative routes[2].stages[1].bytes"}},
		{"path above the objective", []string{`"slo_ms":900`, `"slo_ms":499`}, []string{"warning slow routes[2].slo_ms"}},
		{"path at the objective", []string{`"slo_ms":900`, `"slo_ms":500`}, nil},
		{"stages side by side", []string{`"slo_ms":900`, `"slo_ms":499`, `"after":[0]`, `"after":[]`}, nil},
		{"path above the timeout", []string{`"timeout_ms":9000,"slo_ms":900`, `"timeout_ms":400`}, []string{"warning slow routes[2].timeout_ms"}},
		{"negative call", []string{`"call_ms":240`, `"call_ms":-240`}, []string{"warning negative services[3].pieces.call_ms"}},
		{"negative item", []string{`"item_ms":10`, `"item_ms":-10`}, []string{"warning negative services[3].pieces.item_ms"}},
		{"weights of zero", []string{`"weight":90`, `"weight":0`, `"weight":10`, `"weight":0`}, []string{"warning weights routes[1].backends[0]"}},
		{"one weight of zero", []string{`"weight":10`, `"weight":0`}, nil},
		{"negative weights", []string{`"weight":90`, `"weight":-9`, `"weight":10`, `"weight":-1`}, []string{"warning weights routes[1].backends[0]"}},
		{"one negative weight", []string{`"weight":10`, `"weight":-1`}, []string{"warning weights routes[1].backends[1].weight"}},
		{"repeated unsafe requests", []string{`"max_attempts":1`, `"max_attempts":2`}, []string{"warning repeat routes[1].max_attempts"}},
		{"repeated streams", []string{`"resumable":true`, `"resumable":false`}, []string{"warning repeat routes[2].max_attempts"}},
		{"no limits", []string{`"max_header_bytes":16384`, `"max_header_bytes":0`, `"max_body_bytes":1000000,`, ``, `"idle_timeout_ms":15000`, `"idle_timeout_ms":0`},
			[]string{"warning unlimited ", "warning unlimited limits.max_header_bytes", "warning unlimited limits.idle_timeout_ms"}},
		{"no timeout", []string{`"timeout_ms":9000`, `"timeout_ms":0`}, []string{"warning unlimited routes[2].timeout_ms"}},
		{"no limit of connections", []string{`{"name":"desk2","max_conns":50}`, `{"name":"desk2"}`}, []string{"warning unlimited services[1]"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			raw := edit(c, test.pairs...)
			source := platform.Decoder{}.Source(raw)
			c.Assert(brief(configcheck.Check(source)), qt.DeepEquals, append([]string{}, test.want...))

			// The check must not accept a version that gateways ignore, or refuse another.
			conf, err := platform.Decoder{}.Config(raw)
			c.Assert(source.Errors == nil, qt.Equals, err == nil)
			c.Assert(source.Config, qt.DeepEquals, conf)
		})
	}
}

// Lines and columns count from 1, columns in characters.
func TestPlaces(t *testing.T) {
	c := qt.New(t)
	raw := "{\"version\":1,\n \"routes\":[{\"name\":\"mānuka\",\"extra\":1}],\n\t\"limits\" : { \"idle_timeout_ms\": \"x\" } }"
	findings := configcheck.Check(platform.Decoder{}.Source([]byte(raw)))
	c.Assert(findings, qt.HasLen, 2)
	c.Assert(findings[0].Place, qt.Equals, proxyconfig.Place{Path: "routes[0].extra", Line: 2, Column: 29})
	c.Assert(findings[1].Place, qt.Equals, proxyconfig.Place{Path: "limits.idle_timeout_ms", Line: 3, Column: 34})
}

// A document that is cut at any byte is reported as an error and ends no process.
func TestTruncatedDocuments(t *testing.T) {
	c := qt.New(t)
	for n := range len(valid) {
		findings := configcheck.Check(platform.Decoder{}.Source([]byte(valid[:n])))
		c.Assert(brief(findings), qt.DeepEquals, []string{"error invalid "}, qt.Commentf("%d bytes", n))
		c.Assert(findings[0].Line > 0, qt.IsTrue)
	}
}

// Keys are secrets: findings contain at most a part of their digests.
func TestFindingsHoldNoKeys(t *testing.T) {
	c := qt.New(t)
	const key = "jnbanfqasnmgkcuyj8pj"
	raw := edit(c, `"k1"`, `"`+key+`"`, `"k3"`, `"`+key+`"`)
	next := platform.Decoder{}.Source(raw)
	old := platform.Decoder{}.Source([]byte(valid))
	for _, f := range append(configcheck.Check(next), append(configcheck.Compare(old.Config, next), configcheck.Compare(next.Config, old)...)...) {
		c.Assert(f.Text, qt.Not(qt.Contains), key)
	}
}

// Each kind of difference is reported, and nothing else is.
func TestCompare(t *testing.T) {
	tests := []struct {
		desc  string
		pairs []string
		want  []string
		text  string
	}{
		{"a new version without changes", nil, nil, ""},
		{"keys in another order", []string{`["k2","k3"]`, `["k3","k2"]`}, nil, ""},
		{"a key taken away", []string{`,"k3"`, ``}, []string{"change loses tenants[1]"}, `customer "rata" loses 1 key (digest `},
		{"the last key taken away", []string{`["k1"]`, `[]`}, []string{"change loses tenants[0]"}, "and has none left"},
		{"a customer removed", []string{`{"name":"mere","api_keys":["k1"]},`, ``}, []string{"change loses tenants"}, "and has none left"},
		{"a key added", []string{`"k1"`, `"k1","k4"`}, []string{"change gets tenants[0]"}, `customer "mere" gets 1 key (digest `},
		{"a key moved", []string{`"k1"`, `"k1","k2"`, `"k2","k3"`, `"k3"`}, []string{"change loses tenants[1]", "change gets tenants[0]"}, ""},
		{"urgency of a customer", []string{`,"priority":1`, ``}, []string{"change priority tenants[1]"}, "from 1 to that of the route"},
		{"no keys any more", []string{`"tenants":[{"name":"mere","api_keys":["k1"]},{"name":"rata","api_keys":["k2","k3"],"priority":1}]`, `"tenants":null`},
			[]string{"change open tenants", "change loses tenants", "change loses tenants"}, "requests need no key any more"},
		{"a route added", []string{`"routes":[`, `"routes":[{"name":"new","host":"h","path_prefix":"/new/","kind":"safe","service":"desk"},`}, []string{"change added routes[0]"}, "for h/new/, to desk"},
		{"an unreachable route added", []string{`"routes":[`, `"routes":[{"name":"check","host":"h","path_prefix":"/check/","kind":"safe","timeout_ms":2000,"slo_ms":500,"priority":2,"service":"desk","max_attempts":2},`}, nil, ""},
		{"a route for other requests", []string{`"/hold/"`, `"/check/hold/"`}, []string{"change added routes[1]", "change removed routes"}, `route "hold" is added for h/check/hold/, to desk 90%, desk2 10%`},
		{"a route replaced by a broader one", []string{`"/hold/"`, `"/"`}, []string{"change added routes[1]", "change removed routes"}, ""},
		{"renamed", []string{`"name":"hold"`, `"name":"keep"`}, []string{"change renamed routes[1]"}, ""},
		{"moved", []string{`"service":"model"`, `"service":"desk"`}, []string{"change moved routes[2].service"}, "from model to desk"},
		{"split", []string{`"service":"model"`, `"backends":[{"service":"model","weight":3},{"service":"desk","weight":1}]`}, []string{"change split routes[2].backends[0]"}, "from model to desk 25%, model 75%"},
		{"other shares", []string{`"weight":90`, `"weight":10`}, []string{"change split routes[1].backends[0]"}, "from desk 90%, desk2 10% to desk 50%, desk2 50%"},
		{"the same shares", []string{`"weight":90`, `"weight":9`, `"weight":10`, `"weight":1`}, nil, ""},
		{"one target left", []string{`"weight":10`, `"weight":0`}, []string{"change moved routes[1].backends[0]"}, "to desk"},
		{"timeout", []string{`"timeout_ms":9000`, `"timeout_ms":8000`}, []string{"change timeout routes[2].timeout_ms"}, "from 9s to 8s"},
		{"objective", []string{`"slo_ms":900`, `"slo_ms":800`}, []string{"change objective routes[2].slo_ms"}, "from 900ms to 800ms"},
		{"stages", []string{`"after":[0]`, `"after":[]`}, []string{"change stages routes[2]"}, "from encode, encode after [0] to encode, encode"},
		{"result", []string{`"after":[0],"bytes":10`, `"after":[0],"bytes":20`}, []string{"change grows routes[2].stages[1].bytes"}, "grows from 10 to 20"},
		{"kind", []string{`"unsafe"`, `"safe"`}, []string{"change changed routes[1]"}, "from unsafe to safe"},
		{"urgency", []string{`"priority":2`, `"priority":0`}, []string{"change changed routes[0]"}, ""},
		{"attempts", []string{`"max_attempts":1`, `"max_attempts":3`}, []string{"change changed routes[1].max_attempts"}, ""},
		{"public", []string{`"public":false`, `"public":true`}, []string{"change changed routes[0]"}, "access without a key"},
		{"resumable", []string{`"resumable":true`, `"resumable":false`}, []string{"change changed routes[2]"}, ""},
		{"service added", []string{`{"name":"desk2",`, `{"name":"old","max_conns":1},{"name":"desk2",`}, []string{"change added services[1]"}, ""},
		{"service removed", []string{`,{"name":"desk2","max_conns":50}`, ``}, []string{"change removed "}, `"desk2" is removed`},
		{"connections", []string{`{"name":"desk2","max_conns":50}`, `{"name":"desk2","max_conns":60}`}, []string{"change grows services[1].max_conns"}, "from 50 to 60"},
		{"connections without a limit", []string{`{"name":"desk2","max_conns":50}`, `{"name":"desk2"}`}, []string{"change grows services[1]"}, "from 50 to no limit"},
		{"cold rate", []string{`"cold_per_s":0`, `"cold_per_s":2.5`}, []string{"change shrinks services[0]"}, "from no limit to 2.5"},
		{"engine", []string{`"slots":8,"kv_tokens":10000`, `"slots":9,"kv_tokens":9000`}, []string{"change grows services[2]", "change shrinks services[2]"}, ""},
		{"pieces", []string{`"batch":8,"call_ms":240,"item_ms":10,"room_mb":1`, `"batch":9,"call_ms":250,"item_ms":9,"room_mb":2`},
			[]string{"change grows services[3]", "change grows services[3].pieces.call_ms", "change shrinks services[3].pieces.item_ms", "change grows services[3].pieces.room_mb"}, ""},
		{"no pieces", []string{`"pieces"`, `"former"`}, []string{"change changed services[3]"}, "from true to false"},
		{"limits", []string{`"max_header_bytes":16384,"max_body_bytes":1000000`, `"max_header_bytes":8192,"max_body_bytes":0`, `15000`, `16000`},
			[]string{"change shrinks limits.max_header_bytes", "change grows limits.max_body_bytes", "change grows limits.idle_timeout_ms"}, "from 1000000 to no limit"},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			c := qt.New(t)
			inForce, err := platform.Decoder{}.Config([]byte(valid))
			c.Assert(err, qt.IsNil)
			next := platform.Decoder{}.Source(edit(c, append(test.pairs, `"version":7`, `"version":8`)...))
			findings := configcheck.Compare(inForce, next)
			c.Assert(brief(findings), qt.DeepEquals, append([]string{}, test.want...))
			var text strings.Builder
			for _, f := range findings {
				text.WriteString(f.Text + "\n")
			}
			c.Assert(text.String(), qt.Contains, test.text)
		})
	}
}

// Gateways ignore a version that is not above the one in force, so it must not pass.
func TestCompareVersions(t *testing.T) {
	c := qt.New(t)
	same := platform.Decoder{}.Source([]byte(valid))
	c.Assert(brief(configcheck.Compare(same.Config, same)), qt.DeepEquals, []string{"error version version"})
	older := platform.Decoder{}.Source(edit(c, `"version":7`, `"version":6`))
	c.Assert(brief(configcheck.Compare(same.Config, older)), qt.DeepEquals, []string{"error version version"})
	c.Assert(brief(configcheck.Compare(older.Config, same)), qt.DeepEquals, []string{})
}

// A first version is compared with an empty configuration.
func TestCompareWithNothing(t *testing.T) {
	c := qt.New(t)
	codes := map[string]int{}
	for _, f := range configcheck.Compare(&proxyconfig.Config{}, platform.Decoder{}.Source([]byte(valid))) {
		c.Assert(f.Severity, qt.Equals, configcheck.SeverityChange)
		codes[f.Code]++
	}
	c.Assert(codes, qt.DeepEquals, map[string]int{"closed": 1, "gets": 2, "added": 7, "shrinks": 3})
}

// The configurations of the stand-ins in review/_standin, as they write them to the store,
// have no findings, except the one whose added route is larger than the room.
func TestStandIns(t *testing.T) {
	files, err := filepath.Glob("testdata/*.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.HasLen, 6)
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			c := qt.New(t)
			raw, err := os.ReadFile(name)
			c.Assert(err, qt.IsNil)
			want := []string{}
			if filepath.Base(name) == "room-large.json" {
				want = []string{"warning room routes[2].stages[0].bytes"}
			}
			c.Assert(brief(configcheck.Check(platform.Decoder{}.Source(raw))), qt.DeepEquals, want)
		})
	}
}

// Columns are found by blocks of bytes. On a long line with characters of several bytes,
// each must be that of its field.
func TestPlacesOnLongLine(t *testing.T) {
	c := qt.New(t)
	var text strings.Builder
	text.WriteString("{\"version\":1,\"routes\":[],\"tenants\":[\n")
	want := []int{}
	column := 1
	for i := range 300 {
		item := fmt.Sprintf(`{"name":"mā€nuka%d","api_keys":["k%d"],"x":1},`, i, i)
		want = append(want, column+utf8.RuneCountInString(item[:strings.Index(item, `"x"`)]))
		column += utf8.RuneCountInString(item)
		text.WriteString(item)
	}
	text.WriteString(`{"name":"last","api_keys":["k"]}]}`)
	got := []int{}
	for _, f := range configcheck.Check(platform.Decoder{}.Source([]byte(text.String()))) {
		if f.Code == "unknown" {
			c.Assert(f.Line, qt.Equals, 2)
			got = append(got, f.Column)
		}
	}
	c.Assert(got, qt.DeepEquals, want)
}
