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

// fakeRunner gives the same answer to each request, after streaming some text.
type fakeRunner struct {
	answer sequoialead.Answer
	text   []string
	runs   int
}

func (r *fakeRunner) Run(_ context.Context, _ sequoialead.Request, _ config.Customer, _ time.Duration, sink sequoialead.Sink) sequoialead.Answer {
	r.runs++
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

func (r *fakeRunner) Ready() sequoialead.Reason { return "" }

type fakeConfiguration struct {
	version sequoialead.Version
}

func (f fakeConfiguration) Current() (*config.Config, sequoialead.Version) {
	customers := map[string]config.Customer{digest.Of("key"): {Name: "c", Weight: 1}}
	return &config.Config{Customers: customers}, f.version
}

// result is the HTTP response that a caller got.
type result struct {
	status     int
	retryAfter string
	body       string
}

func postRequest(c *qt.C, r *fakeRunner, version sequoialead.Version, body string) result {
	mux := goji.NewMux()
	caller.New(caller.Options{Runner: r, Configuration: fakeConfiguration{version: version}}).Mount(mux)
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
	return result{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), body: string(raw)}
}

func TestStatusCodeOfOutcome(t *testing.T) {
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
				got := postRequest(c, &fakeRunner{answer: tt.answer}, 1, body)
				c.Assert(got.status, qt.Equals, tt.want)
				c.Assert(got.retryAfter != "", qt.Equals, tt.retry)
			}
		})
	}
}

// Once the first token is sent, the HTTP status cannot report a failure any
// more, so the last event must report it.
func TestIncompleteStreamEndsWithFailedEvent(t *testing.T) {
	c := qt.New(t)
	r := &fakeRunner{text: []string{"a", "b"}, answer: sequoialead.Answer{Outcome: sequoialead.OutcomeFailed, Reason: sequoialead.ReasonBackend}}
	got := postRequest(c, r, 1, `{"stream":true}`)
	c.Assert(got.status, qt.Equals, 200)
	c.Assert(strings.Count(got.body, "event: token\n"), qt.Equals, 2)
	last := got.body[strings.LastIndex(got.body, "event: "):]
	c.Assert(last, qt.Matches, `(?s)event: failed\ndata: \{"outcome":"failed".*`)
}

func TestRequestWithoutConfigurationIsRefused(t *testing.T) {
	c := qt.New(t)
	r := &fakeRunner{answer: sequoialead.Answer{Outcome: sequoialead.OutcomeDone}}
	got := postRequest(c, r, 0, `{}`)
	c.Assert(got.status, qt.Equals, 503)
	c.Assert(got.body, qt.Contains, `"reason":"unready"`)
	c.Assert(r.runs, qt.Equals, 0)
}
