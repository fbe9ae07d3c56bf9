package caller_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"goji.io"

	"sequoialead"
	"sequoialead/common/digest"
	"sequoialead/core/config"
	"sequoialead/io/caller"
)

// runner is a small fake that gives one answer, after some text.
type runner struct {
	answer sequoialead.Answer
	text   []string
	ran    int
}

func (r *runner) Run(_ context.Context, _ sequoialead.Request, _ config.Customer, _ time.Duration, sink sequoialead.Sink) sequoialead.Answer {
	r.ran++
	if sink == nil {
		return r.answer
	}
	for _, text := range r.text {
		if sink.Token([]byte(text)) != nil || sink.Flush() != nil {
			return sequoialead.Answer{Outcome: sequoialead.OutcomeFailed}
		}
	}
	return r.answer
}

func (r *runner) Ready() sequoialead.Reason { return "" }

type configuration struct {
	version sequoialead.Version
}

func (f configuration) Current() (*config.Config, sequoialead.Version) {
	customers := map[string]config.Customer{digest.Of("key"): {Name: "c", Share: 1}}
	return &config.Config{Customers: customers}, f.version
}

// reply is what a caller got.
type reply struct {
	status int
	retry  string
	body   string
}

func post(c *qt.C, r *runner, version sequoialead.Version, body string) reply {
	mux := goji.NewMux()
	caller.New(caller.Options{Runner: r, Configuration: configuration{version: version}}).Mount(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL+"/v1/pipelines/p", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	request.Header.Set("Authorization", "Bearer key")
	response, err := http.DefaultClient.Do(request)
	c.Assert(err, qt.IsNil)
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	c.Assert(err, qt.IsNil)
	return reply{status: response.StatusCode, retry: response.Header.Get("Retry-After"), body: string(raw)}
}

func TestStatusTellsTheOutcome(t *testing.T) {
	tests := []struct {
		desc   string
		answer sequoialead.Answer
		want   int
		retry  bool
	}{
		{"done", sequoialead.Answer{Outcome: sequoialead.OutcomeDone}, 200, false},
		{"failed", sequoialead.Answer{Outcome: sequoialead.OutcomeFailed, Reason: sequoialead.ReasonBackend}, 502, false},
		{"unknown", sequoialead.Answer{Outcome: sequoialead.OutcomeUnknown, Reason: sequoialead.ReasonSilent}, 504, false},
		{"full", sequoialead.Answer{Outcome: sequoialead.OutcomeNotRun, Reason: sequoialead.ReasonFull}, 429, true},
		{"no claim", sequoialead.Answer{Outcome: sequoialead.OutcomeNotRun, Reason: sequoialead.ReasonClaim}, 503, true},
		{"repeat", sequoialead.Answer{Outcome: sequoialead.OutcomeNotRun, Reason: sequoialead.ReasonRepeat}, 409, false},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			c := qt.New(t)
			for _, body := range []string{`{}`, `{"stream":true}`} {
				got := post(c, &runner{answer: tt.answer}, 1, body)
				c.Assert(got.status, qt.Equals, tt.want)
				c.Assert(got.retry != "", qt.Equals, tt.retry)
			}
		})
	}
}

// A stream that began tells its end by its last event, since its status was
// sent with the first token.
func TestStreamTellsThatItIsNotWhole(t *testing.T) {
	c := qt.New(t)
	r := &runner{text: []string{"a", "b"}, answer: sequoialead.Answer{Outcome: sequoialead.OutcomeFailed, Reason: sequoialead.ReasonBackend}}
	got := post(c, r, 1, `{"stream":true}`)
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(strings.Count(got.body, "event: token\n"), qt.Equals, 2)
	last := got.body[strings.LastIndex(got.body, "event: "):]
	c.Assert(last, qt.Matches, `(?s)event: failed\ndata: \{"outcome":"failed".*`)
}

func TestRefusesWithoutConfiguration(t *testing.T) {
	c := qt.New(t)
	r := &runner{answer: sequoialead.Answer{Outcome: sequoialead.OutcomeDone}}
	got := post(c, r, 0, `{}`)
	c.Assert(got.status, qt.Equals, 503)
	c.Assert(got.body, qt.Contains, `"reason":"unready"`)
	c.Assert(r.ran, qt.Equals, 0)
}
